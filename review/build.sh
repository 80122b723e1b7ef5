#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g0 -DBOOST_LOG_DYN_LINK -Inet/include -Ibase/include)
libraries=(target/net/libcarawayvalve_net.a target/base/libcarawayvalve_base.a
  -lboost_log -lboost_thread -lboost_filesystem -lboost_system -lcrypto -lxxhash -lpthread)
for unit in tests/platform/backend tests/soak/link; do
  g++ "${flags[@]}" -c "$unit.cc" -o "$out/$(basename "$unit").o" &
done
for case in review/standin/*.cpp; do
  g++ "${flags[@]}" -c "$case" -o "$out/$(basename "$case" .cpp).o" &
done
wait
for case in review/standin/*.cpp; do
  name=$(basename "$case" .cpp)
  g++ "$out/$name.o" "$out/backend.o" "$out/link.o" "${libraries[@]}" -o "$out/$name"
done
