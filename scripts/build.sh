#!/usr/bin/env bash
# Builds a preset (default: release) below build/.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
shift || true
cmake --preset "$preset" > "/dev/null"
cmake --build --preset "$preset" "$@"
