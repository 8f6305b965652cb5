#!/bin/bash
# Builds the programs of the cases, with the stand-ins that they contain.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review/ ./review/...
