#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into build/review-2. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$name" "$source"
done
