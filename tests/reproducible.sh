#!/usr/bin/env bash
# The benchmark's signature is the same twice in a row, and is the one that was given, if one was.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release --target robinrail-bench > /dev/null
first=$(build/release/robinrail-bench --quick | tail -n 1)
second=$(build/release/robinrail-bench --quick | tail -n 1)
echo "$first"
[ "$first" = "$second" ]
[ $# -eq 0 ] || [ "$first" = "Bench: $1" ]
