#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. They need a compiler and the header-only JSON library that
# the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/stand-ins-2/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "$out/$(basename "$source" .cc)" "$source"
done
