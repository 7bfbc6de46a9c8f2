#!/usr/bin/env bash
# After all gateways were killed, a client sends requests that are larger than a runner's memory.
# Exits with 1 if less than a quarter of the other requests is served then (RECOVER), with 0 if not,
# with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/grebedeck ] && [ -x target/review-2/release/oversize ] || exit 2
exec target/review-2/release/oversize review/6/record.txt
