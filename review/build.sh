#!/usr/bin/env bash
# Builds the stand-ins of the cases into FOLDER/review: review/build.sh [FOLDER]
# FOLDER holds a build, whose libraries they use; by default target, that of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-target}"
out="$folder/review"
mkdir -p "$out"
flags=(-std=c++20 -O1 -g0 -DBOOST_LOG_DYN_LINK -Inet/include -Ibase/include)
libraries=("$folder/net/libcarawayvalve_net.a" "$folder/base/libcarawayvalve_base.a"
  -lboost_log -lboost_thread -lboost_filesystem -lboost_system -lcrypto -lxxhash -lpthread)
jobs=()
for unit in tests/platform/backend tests/platform/link; do
  g++ "${flags[@]}" -c "$unit.cc" -o "$out/$(basename "$unit").o" &
  jobs+=($!)
done
for case in review/standin/*.cpp; do
  g++ "${flags[@]}" -c "$case" -o "$out/$(basename "$case" .cpp).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for case in review/standin/*.cpp; do
  name=$(basename "$case" .cpp)
  g++ "$out/$name.o" "$out/backend.o" "$out/link.o" "${libraries[@]}" -o "$out/$name"
done
