#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into target/review/.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review/harness .
