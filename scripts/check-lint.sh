#!/usr/bin/env bash
# Runs clang-tidy over every unit of src/, bench/, platform/ and soak/ that the build knows.
set -euo pipefail
cd "$(dirname "$0")/.."
# Text from outside is parsed by parseStrictJson() alone: nlohmann::json::parse() limits neither depth nor size.
if git grep -nE '[Jj]son::parse\(' -- src platform ':!src/json_schema.cpp'; then
    echo "use parseStrictJson() or parseJsonResponse()"
    exit 1
fi
git ls-files 'src/*.cpp' 'bench/*.cpp' 'platform/*.cpp' 'soak/*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2> /dev/null
