#!/bin/sh
# Loses a machine while the store is busy. TROUBLE=0 leaves both out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/oleandervalve ] || exit 2
exec target/review-harness lost review/1/record.txt
