#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs no network: they use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
