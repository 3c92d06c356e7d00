#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/stand-3 ./review/stand-3
