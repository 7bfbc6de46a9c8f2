#!/usr/bin/env bash
# The store is silent for half a second just after the entry of a runner that leaves has gone. Exits
# with 1 if the runner gets requests that the rule DRAIN forbids, with 0 if not, with 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/grebedeck ] && [ -x target/review-2/release/gone ] || exit 2
exec target/review-2/release/gone review/6/record.txt
