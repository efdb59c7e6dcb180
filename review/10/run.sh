#!/usr/bin/env bash
# Planned restarts; daemons forget which request crashes servers.
# With TROUBLE=0: no daemon is restarted.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/rig ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x target/source/daemon/wisteriayoked ] || { echo "build deploy/system.toml first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec build/review-2/rig crashing-request review/10/record.txt
