#!/usr/bin/env bash
# Runs clang-tidy over every unit of src/, bench/ and platform/ that the build knows.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.cpp' 'bench/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2> /dev/null
