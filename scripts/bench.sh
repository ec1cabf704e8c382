#!/usr/bin/env bash
# Builds and runs the benchmark. Without arguments everything, the hot path timed too; with --check only
# the deterministic figures against their bounds, for CI; other arguments go to the benchmark.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release --target robinrail-bench > /dev/null
case "${1:-}" in
    --check) exec build/release/robinrail-bench --quick --bounds=bench/bounds.json ;;
    "") exec build/release/robinrail-bench --timed --bounds=bench/bounds.json ;;
    *) exec build/release/robinrail-bench "$@" ;;
esac
