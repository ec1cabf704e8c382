#!/usr/bin/env bash
# The entry soak-late-answers of KNOWN-RED.txt: late answers to opening packets while a balancer is replaced and the core machine that
# the balancers follow is frozen. Not one of the cases. TROUBLE=0: nothing is disturbed.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/deployment.sh"
[ -x build/review-2/late_answer ] || cannot_run "review/build-2.sh was not run"

control=()
for index in 0 1 2; do
    start_control "$index" true
    control+=("$last_pid")
done
balancers=()
for index in 0 1 2; do
    start_balancer "$index"
    balancers+=("$last_pid")
done
RECORD=$record TROUBLE=${TROUBLE:-1} build/review-2/late_answer "$network" "$work" "${balancers[0]}" "${control[0]}"
exit $?
