#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network: it uses only the standard
# library and the project's own packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/stand
