#!/usr/bin/env bash
# Exits with 1 if tasks of jobs run on whose cancellation was acknowledged, 0 if not, 2 if the case could not run.
# TROUBLE=0 cuts nothing off.
exec "$(dirname "$0")/../run-case.sh" lost-cancel "$(dirname "$0")"
