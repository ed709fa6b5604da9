#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; with TROUBLE=0 no answer of the store is lost.
# Writes record.txt beside it.
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../standin-2/run.sh" CancelledWithoutAnswer "$folder"
