#!/usr/bin/env bash
# Builds the stand-ins and the operators' tool that the scripts under review/
# start, apart from the daemon, which the build of deploy/system.toml makes.
cd "$(dirname "$0")/.." || exit 1
mkdir -p build/review || exit 1
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standins/slow_service.cc \
  -o build/review/slow_service || exit 1
for program in model_fleet stream_callers; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -DASIO_STANDALONE \
    "review/standins/$program.cc" -o "build/review/$program" || exit 1
done
cmake -S . -B build/review -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DWISTERIAYOKE_BUILD_TESTS=OFF &&
  cmake --build build/review -j"$(nproc)" \
    --target fake_row_store fake_layered_worker wisteriayokectl
