#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
