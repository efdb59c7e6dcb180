#!/usr/bin/env bash
# A part that crashes servers, while hardly any other stream is sent.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/rig ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x target/source/daemon/wisteriayoked ] || { echo "build deploy/system.toml first" >&2; exit 2; }
exec build/review-2/rig crashing-part review/10/record.txt
