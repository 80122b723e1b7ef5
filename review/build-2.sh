#!/usr/bin/env bash
# Builds the stand-ins of the cases of review/REPORT-2.md into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/$name" "$source"
done
