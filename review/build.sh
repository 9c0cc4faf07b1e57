#!/usr/bin/env bash
# Builds the stand-ins of all cases into build-review/. The product is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -Wall -Wextra -O2 -Ireview "$source" review/rig/rig.cpp -o "build-review/case-$name" -pthread
done
