#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use
# none of the project's sources.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
pids=()
for source in review/standins-2/*.cc; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wno-mismatched-new-delete -c "$source" \
    -o "$out/$(basename "$source" .cc).o" &
  pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
"${CXX:-g++}" "$out"/*.o -o "$out/rig" -lpthread
