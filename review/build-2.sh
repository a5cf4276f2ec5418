#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/standins-2 ./review/standins-2
