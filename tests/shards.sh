#!/usr/bin/env bash
# Runs each test case of a test program in a separate process, in parallel on all processors, and prints the output of
# those that failed. The last line is "cases: N passed, N failed". Results do not depend on the order of execution.
# Usage: tests/shards.sh PROGRAM [FILTER...]
set -uo pipefail
program=$1
shift
export work program
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
total=$("$program" "$@" --count | sed -nE 's/.*passing the current filters: ([0-9]+)$/\1/p')
run_case() {
    local number=$1
    shift
    "$program" "$@" --first="$number" --last="$number" > "$work/$number" 2>&1 || touch "$work/$number.failed"
}
export -f run_case
# In list order: the long cases are in the middle of the list, so another order would save little.
seq "$total" | xargs -P "$(nproc)" -I{} bash -c 'run_case "$@"' _ {} "$@"
failed=0
for mark in "$work"/*.failed; do
    [ -e "$mark" ] || continue
    failed=$((failed + 1))
    cat "${mark%.failed}"
done
echo "cases: $((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$total" -gt 0 ]
