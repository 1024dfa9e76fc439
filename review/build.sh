#!/bin/sh
# Builds the stand-ins that the scripts of cases 2 and 3 start. Needs no network.
set -e
cd "$(dirname "$0")/2/rig"
mkdir -p ../../../target/review
GOWORK=off GOFLAGS=-mod=mod go build -o ../../../target/review/rig .
