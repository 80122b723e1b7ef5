#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into
# target/review-3. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-3/$(basename "$source" .cpp)"
done
