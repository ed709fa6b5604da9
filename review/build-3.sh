#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 under target/review-3, after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$home/bin/javac" -Werror -d target/review-3 -cp 'target/entry/lib/*' review/standin-3/*.java
