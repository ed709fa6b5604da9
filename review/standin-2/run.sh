#!/usr/bin/env bash
# Runs a case of the second review: run.sh CLASS FOLDER
set -u
cd "$(dirname "$0")/../.."
home=$(bin/find-jdk) || exit 2
[ -x target/entry/runtime/bin/java ] && [ -f "target/review-2/$1.class" ] || exit 2
exec "$home/bin/java" -Xmx256m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.maxIdleConnections=2000 \
    -Dsun.net.httpserver.idleInterval=300 -cp 'target/review-2:target/entry/lib/*' "$1" "$2"
