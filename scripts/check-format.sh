#!/usr/bin/env bash
# Checks that every C++ file is formatted; prints what is not.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
