#!/usr/bin/env bash
# The main job: the Kathmandu deployment on loopback, under traffic and change. Installs, builds, runs,
# prints what happened and ends by itself; exit code 0 only if all that must be 0 is 0.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh release

bin=$PWD/build/release
work=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work"' EXIT

say() { printf '\n== %s\n' "$*"; }

say "3 control replicas, 8 balancers in 3 data centres, a fabric, 14 + 4 targets"
write_control 3
write_balancers 8 3
write_fabric 8
start control-1 "$bin/robinrail-control" --settings="$work/control-1.json" --bootstrap
start control-2 "$bin/robinrail-control" --settings="$work/control-2.json"
start control-3 "$bin/robinrail-control" --settings="$work/control-3.json"
balancers=()
for id in $(seq 8); do
    start "balancer-$id" "$bin/robinrail-balancer" --settings="$work/balancer-$id.json"
    balancers+=("$last_pid")
done
start fabric "$bin/robinrail" standin fabric "$work/fabric.json"
targets=()
for id in $(seq 14); do
    start_target "$id" 1 30 1
    targets+=("$last_pid")
done
for id in $(seq 15 18); do
    start_target "$id" 2 40 5
    targets+=("$last_pid")
done
wait_for 20 ready 127.5.0.1:7080

say "bundle 1 is signed, accepted and rolled out"
robinrail bundle check examples/kathmandu.json
propose examples/kathmandu.json 0
first_rollout=$(robinrail rollout watch --json | sed -n 's/.*"watchedSeconds": \([0-9.]*\).*/\1/p')
for id in $(seq 8); do
    wait_for 20 ready "127.1.0.$id:8080"
done

say "traffic for 24 s; meanwhile a drain, a kill, a target that leaves, one that joins, bundle 2"
cat > "$work/caller.json" << END
{
    "rateDesk": "127.4.0.1:4001",
    "docVault": "127.4.0.1:4002",
    "feeds": 40,
    "clients": 30,
    "seconds": 24,
    "thinkMs": 100,
    "report": "$work/caller.report"
}
END
start caller "$bin/robinrail" standin caller "$work/caller.json"
caller=$last_pid
sleep 4
echo "drain balancer 8"
robinrail drain vm 8
sleep 3
echo "kill balancer 7"
kill -9 "${balancers[6]}"
sleep 2
echo "target 14 leaves, target 19 joins"
kill -USR1 "${targets[13]}"
start_target 19 1 30 1
targets+=("$last_pid")
sleep 2
sed 's/"maxQueueDelayMs": 250/"maxQueueDelayMs": 300/' examples/kathmandu.json > "$work/second.json"
propose "$work/second.json" 1
second_rollout=$(robinrail rollout watch --json | sed -n 's/.*"watchedSeconds": \([0-9.]*\).*/\1/p')
robinrail bundle diff 1 2
wait "$caller"

say "what happened"
robinrail audit verify
for pid in "${targets[@]}"; do
    kill -TERM "$pid"
done
reports=""
for id in $(seq 19); do
    wait_for 10 test -s "$work/target-$id.report"
    reports+="${reports:+, }\"$work/target-$id.report\""
done
cat > "$work/verify.json" << END
{
    "targets": [$reports],
    "callers": "$work/caller.report",
    "firstRolloutSeconds": ${first_rollout:-0},
    "rolloutSeconds": ${second_rollout:-0}
}
END
"$bin/robinrail" standin verify "$work/verify.json"
