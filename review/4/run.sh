#!/bin/sh
# Cancels jobs while executors leave orders unanswered. TROUBLE=0 leaves all orders answered.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/oleandervalve ] || exit 2
exec target/review-harness queued review/4/record.txt
