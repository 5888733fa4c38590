#!/bin/sh
# Builds the stand-ins that the cases 4 to 8 start. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-2 ./review/_standin-2
