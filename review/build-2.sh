#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/standin2 .
