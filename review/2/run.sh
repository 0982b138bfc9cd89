#!/bin/sh
# Kills the agent of one executor while more than 500 runs end there. TROUBLE=0 leaves the kill out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/oleandervalve ] || exit 2
exec target/review-harness ends review/2/record.txt
