#!/usr/bin/env bash
# Builds the unit tests with the address and undefined-behaviour sanitizers and runs all except the long ones.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh sanitize --target robinrail_tests > /dev/null
export RC_PARAMS="seed=20261202 max_success=20 max_size=40"
export ASAN_OPTIONS=detect_leaks=1
tests/shards.sh build/sanitize/robinrail_tests --test-case-exclude='*thousands of changes*,*1.2 million*,every*'
