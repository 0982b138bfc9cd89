#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standins3
