#!/bin/sh
# Builds the stand-ins of all cases. Run it after the build of the deploy file; it needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins ./review/_standins
