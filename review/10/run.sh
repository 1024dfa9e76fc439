#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/rig ] && [ -x target/fulmard ] || exit 2
exec target/review-2/rig ninth-service "$here/record.txt"
