#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2. The node is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$folder/case.cpp" ] || continue
    g++ -std=c++20 -O1 -o "target/review-2/case-$(basename "$folder")" "$folder/case.cpp" review/rig-2/kit.cpp -pthread
done
