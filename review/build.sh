#!/usr/bin/env bash
# Builds the review's stand-ins into build/review. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[1-3]; do
    if [ -f "$case/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins -o "build/review/case-${case##*/}" "$case/case.cpp"
    fi
done
