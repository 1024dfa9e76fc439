#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/11/rig"
mkdir -p ../../../target/review-3
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../../target/review-3/rig .
