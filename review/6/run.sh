#!/usr/bin/env bash
# Case 6: the manifest moves a route while hosts of its first service are full. TROUBLE=0: the manifest does not change.
set -uo pipefail
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../standins-2/deployment.sh"
[ -x build/review-2/moved_route ] || cannot_run "review/build-2.sh was not run"

for index in 0 1 2; do
    start_control "$index" true
done
balancers=()
for index in 0 1 2; do
    start_balancer "$index"
    balancers+=("$last_pid")
done
RECORD=$record TROUBLE=${TROUBLE:-1} build/review-2/moved_route "$network"
exit $?
