#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Run it after the build of the deploy file; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin ./review/standin
