#!/usr/bin/env bash
# Uploads of 3 MiB in chunks while workers crash one at a time. TROUBLE=0: no worker crashes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/heathercroft-sidecar" ] || { echo "target/heathercroft-sidecar is missing: run the build of the deploy file"; exit 2; }
[ -x "$root/review/bin/stand" ] || { echo "review/bin/stand is missing: run review/build.sh"; exit 2; }
exec timeout --signal=TERM --kill-after=5 110 "$root/review/bin/stand" uploads "$root" "$here/record.txt"
