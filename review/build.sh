#!/usr/bin/env bash
# Builds every stand-in of the review into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
    name=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "target/review/case-$name" "$source"
done
