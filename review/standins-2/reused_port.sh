#!/usr/bin/env bash
# Requesters open flows from the ports of closed ones while a balancer is frozen (reused_port.txt). TROUBLE=0: it is not frozen.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/deployment.sh"
[ -x build/review-2/reused_port ] || cannot_run "review/build-2.sh was not run"

for index in 0 1 2; do
    start_control "$index" true
done
balancers=()
for index in 0 1 2; do
    start_balancer "$index"
    balancers+=("$last_pid")
done
RECORD=$record TROUBLE=${TROUBLE:-1} build/review-2/reused_port "$network" "${balancers[@]}"
exit $?
