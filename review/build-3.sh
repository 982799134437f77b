#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/standin-3 ./review/standin-3
