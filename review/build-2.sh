#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10: bin/standin-2. It needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -buildvcs=false -o bin/standin-2 ./review/_standin-2
