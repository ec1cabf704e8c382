#!/usr/bin/env bash
# Runs each test case of a test program in a process of its own, as many at once as there are processors, and
# prints the output of those that failed. Ends with "cases: N passed, N failed"; the order changes no verdict.
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
# The long cases stand in the middle of the list; the order by number is as good as any.
seq "$total" | xargs -P "$(nproc)" -I{} bash -c 'run_case "$@"' _ {} "$@"
failed=0
for mark in "$work"/*.failed; do
    [ -e "$mark" ] || continue
    failed=$((failed + 1))
    cat "${mark%.failed}"
done
echo "cases: $((total - failed)) passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$total" -gt 0 ]
