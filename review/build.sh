#!/usr/bin/env bash
# Builds the stand-ins and the cases of the scripts into target/review; run the build command of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$home/bin/javac" -encoding UTF-8 -cp 'target/entry/lib/*' -d target/review review/standin/*.java
