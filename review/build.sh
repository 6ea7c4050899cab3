#!/bin/sh
# Builds the stand-ins of the scripted cases.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/stub ./review/_stub
