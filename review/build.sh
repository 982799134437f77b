#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file. It needs no network and no further module.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review_standin ./review/standin
