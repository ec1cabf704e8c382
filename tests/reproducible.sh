#!/usr/bin/env bash
# Checks that two runs of the quick benchmark print the same signature, and that it equals the argument, if one is given.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release --target robinrail-bench > /dev/null
first=$(build/release/robinrail-bench --quick | tail -n 1)
second=$(build/release/robinrail-bench --quick | tail -n 1)
echo "$first"
[ "$first" = "$second" ]
[ $# -eq 0 ] || [ "$first" = "Bench: $1" ]
