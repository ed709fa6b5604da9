#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review under target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$home/bin/javac" -d target/review-2 -cp 'target/entry/lib/*' review/standin-2/*.java
