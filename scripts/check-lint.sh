#!/usr/bin/env bash
# Runs clang-tidy over every unit of src/, bench/, platform/ and soak/ that the build knows.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files 'src/*.cpp' 'bench/*.cpp' 'platform/*.cpp' 'soak/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2> /dev/null
