#!/bin/sh
# Builds the harness that the scripts of the cases start, with its stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
