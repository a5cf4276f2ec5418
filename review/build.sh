#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, into target/review/. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -tags review -o target/review/harness ./review/harness
