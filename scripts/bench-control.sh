#!/usr/bin/env bash
# Measures the control side with real daemons on loopback: 3 replicas, 8 balancers. Prints figures only.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release > /dev/null
bin=$PWD/build/release
work=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work"' EXIT

milliseconds() { echo $(($(date +%s%N) / 1000000)); }

# quantiles FILE: median, p99 and highest of one number a line.
quantiles() {
    sort -n "$1" | awk '{ v[NR] = $1 } END { print "median", v[int((NR + 1) / 2)], "p99", v[int(NR * 0.99 + 0.5)], "highest", v[NR] }'
}

# counter HOST:PORT NAME: one metric.
counter() {
    local host=${1%:*} port=${1#*:}
    exec 7<> "/dev/tcp/$host/$port"
    printf 'GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n' >&7
    awk -v name="$2" '$1 == name { printf "%.0f", $2 }' <&7
    exec 7>&-
}

memory() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

write_control 3
write_balancers 8 3
start control-1 "$bin/robinrail-control" --settings="$work/control-1.json" --bootstrap
control=("$last_pid")
for id in 2 3; do
    start "control-$id" "$bin/robinrail-control" --settings="$work/control-$id.json"
    control+=("$last_pid")
done
balancers=()
for id in $(seq 8); do
    start "balancer-$id" "$bin/robinrail-balancer" --settings="$work/balancer-$id.json"
    balancers+=("$last_pid")
done
wait_for 20 ready 127.5.0.1:7080
propose examples/kathmandu.json 0 > /dev/null
robinrail rollout watch > /dev/null

version=1
change() {
    local started accepted ended
    rm -f "$work/change.json"
    robinrail bundle sign examples/kathmandu.json --base="$version" --out="$work/change.json" > /dev/null
    started=$(milliseconds)
    robinrail bundle propose "$work/change.json" > /dev/null || return 1
    accepted=$(milliseconds)
    robinrail rollout watch > /dev/null
    ended=$(milliseconds)
    echo $((accepted - started)) >> "$work/accept"
    echo $((ended - started)) >> "$work/force"
    version=$((version + 1))
}

sent_control() { counter 127.5.0.1:7080 robinrail_control_link_bytes_sent_total; }
sent_balancer() { counter 127.1.0.1:8080 robinrail_control_bytes_total; }

before=$(sent_control)
before_balancer=$(sent_balancer)
sleep 10
echo "idle, bytes a second: replica 1 links $((($(sent_control) - before) / 10)), balancer 1 to peers $((($(sent_balancer) - before_balancer) / 10))"
echo "idle, KiB of memory: replica $(memory "${control[0]}"), balancer $(memory "${balancers[0]}")"

for _ in $(seq 200); do change; done
echo "accepted, ms from the command's start: $(quantiles "$work/accept")"
echo "in force on 8 balancers, ms from the command's start: $(quantiles "$work/force")"

before=$(sent_control)
for _ in $(seq 17); do
    change
    sleep 0.57
done
echo "about 100 changes a minute, bytes a second: replica 1 links $((($(sent_control) - before) / 10))"
echo "after $version versions, KiB of memory: replica $(memory "${control[0]}"), balancer $(memory "${balancers[0]}")"

# Elections: the time until a change is accepted after the leader is killed.
for _ in 1 2 3 4 5; do
    for id in 1 2 3; do
        if [ "$(counter "127.5.0.$id:7080" robinrail_control_leader)" = 1 ]; then
            break
        fi
    done
    kill -9 "${control[id - 1]}"
    rm -f "$work/change.json"
    robinrail bundle sign examples/kathmandu.json --base="$version" --out="$work/change.json" > /dev/null
    started=$(milliseconds)
    robinrail bundle propose "$work/change.json" > /dev/null && version=$((version + 1))
    robinrail rollout watch > /dev/null
    echo $(($(milliseconds) - started)) >> "$work/election"
    start "control-$id" "$bin/robinrail-control" --settings="$work/control-$id.json"
    control[id - 1]=$last_pid
    wait_for 20 ready "127.5.0.$id:7080"
    sleep 1
done
echo "in force after the leader was killed, ms: $(quantiles "$work/election")"
