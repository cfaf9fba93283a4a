#!/usr/bin/env bash
# Builds the stand-ins of review cases 11 and later into target/review-3. Needs g++ and nlohmann-json, as the build does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$(basename "$source" .cc)" "$source"
done
