#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
[ -x target/heathercroft-sidecar ] && [ -x target/review-2/stand-2 ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
exec target/review-2/stand-2 forgetting review/9/record.txt "$TROUBLE"
