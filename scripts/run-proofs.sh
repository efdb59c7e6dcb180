#!/usr/bin/env bash
# Runs the property tests repeatedly for SECONDS, each time with the next seed:
# run-proofs.sh SECONDS [SEED]. Prints each seed before its run and exits with 1
# at the first seed that fails.
cd "$(dirname "$0")/.." || exit 1
if [ $# -lt 1 ]; then
  echo "usage: run-proofs.sh SECONDS [SEED]" >&2
  exit 6
fi
seed="${2:-$(date +%s)}"
end=$((SECONDS + $1))
while [ "$SECONDS" -lt "$end" ]; do
  for library in decisions wire; do
    echo "seed=$seed library=$library"
    RC_PARAMS="seed=$seed max_success=2000" \
      "build/release/tests/$library/${library}_test" >/dev/null 2>&1 || {
      echo "failed: RC_PARAMS=\"seed=$seed max_success=2000\" ${library}_test" >&2
      exit 1
    }
  done
  seed=$((seed + 1))
done
