#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/_harness
