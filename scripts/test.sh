#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs every test. Ends with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1

passed=0
failed=0
failures=()

# A known fault is printed and does not count, as KNOWN-RED.txt says; it names the step first on its line.
known_red() {
    [ -f KNOWN-RED.txt ] && grep -q "^$1:" KNOWN-RED.txt
}

step() {
    local name=$1
    shift
    echo "== $name"
    if "$@"; then
        passed=$((passed + 1))
    elif known_red "$name"; then
        grep "^$name:" KNOWN-RED.txt
    else
        failed=$((failed + 1))
        failures+=("$name")
    fi
}

# Runs the unit tests and counts each case.
unit_tests() {
    local log
    log=$(mktemp)
    tests/shards.sh build/release/robinrail_tests > "$log" 2>&1
    local result=$?
    cat "$log"
    local cases
    cases=$(sed -nE 's/^cases: ([0-9]+) passed.*/\1/p' "$log")
    rm -f "$log"
    # The step itself counts as one.
    passed=$((passed + ${cases:-1} - 1))
    return "$result"
}

step build scripts/build.sh release
step format scripts/check-format.sh
step lint scripts/check-lint.sh
step unit unit_tests
step bench-bounds scripts/bench.sh --check
step model spec/check.sh
step fuzz-corpus tests/fuzz_corpus.sh
step daemons tests/daemons.sh
step load-command tests/load_command.sh
step request-limits tests/platform_request_limits.sh
step soak scripts/soak.sh --regressions
step sanitizers tests/sanitizers.sh

for name in "${failures[@]}"; do
    echo "failed: $name"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
