#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/6/rig"
mkdir -p ../../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../../target/review-2/rig .
