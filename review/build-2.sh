#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/6 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/second ./review/.second
