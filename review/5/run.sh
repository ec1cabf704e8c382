#!/usr/bin/env bash
# Case 5: the operator sends an invalid manifest of nested lists. TROUBLE=0: the invalid manifest is a valid one cut short.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standins-2/deployment.sh"
[ -x build/review-2/invalid_manifest ] || cannot_run "review/build-2.sh was not run"

control=()
for index in 0 1 2; do
    start_control "$index" true
    control+=("$last_pid")
done
for index in 0 1; do
    start_balancer "$index"
done
sleep 1
for index in 0 1 2; do
    sed -i 's/"firstStart": true/"firstStart": false/' "$work/core-$index.json"
done
RECORD=$record TROUBLE=${TROUBLE:-1} build/review-2/invalid_manifest "$network" "$work" "${control[@]}"
exit $?
