#!/usr/bin/env bash
# Runs a case: review/run-case.sh NAME FOLDER. Ends the processes that it started, by their ids, on every way out.
set -u
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
home=$(bin/find-jdk) || exit 2
if [ ! -f target/review/review/Main.class ] || [ ! -x target/entry/runtime/bin/java ]; then
    echo "run deploy/build and review/build.sh first" >&2
    exit 2
fi
directory=$(mktemp -d) || exit 2
driver=
finish() {
    if [ -n "$driver" ]; then kill -KILL "$driver" 2> /dev/null; fi
    if [ -f "$directory/pids" ]; then
        while read -r pid; do
            # an identifier may have been used again since
            if tr '\0' ' ' 2> /dev/null < "/proc/$pid/cmdline" | grep -q org.acaciafold.entry.EntryMain; then
                kill -KILL "$pid" 2> /dev/null
            fi
        done < "$directory/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS"; cp "$directory"/*.log "$KEEP_LOGS"; fi
    rm -rf "$directory"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"$home/bin/java" -Xmx768m -XX:+UseSerialGC -cp 'target/review:target/entry/lib/*' review.Main "$name" "$folder" "$directory" &
driver=$!
wait "$driver"
status=$?
driver=
# 1 is also what a Java program ends with that fails by itself
case $status in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
