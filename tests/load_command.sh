#!/usr/bin/env bash
# End-to-end test of `robinrail load` with the real programs over loopback: a replica, two balancers, and targets of which one
# drains. Guards against metrics of a balancer that the command can't read, and against balancers that are left out silently.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release
work=$(mktemp -d)
source scripts/deployment.sh
source scripts/checks.sh
source platform/standin_calls.sh
trap 'stop_all; rm -rf "$work"' EXIT

replica=127.7.0.1:7080
balancers=(127.7.0.2:8080 127.7.0.3:8080)

# settings NODE LISTEN: prints the settings of a node.
settings() {
    echo "{\"node\": \"$1\", \"dataCentre\": \"ktm-lalit\", \"dataCentres\": [\"ktm-lalit\", \"ktm-thamel\"], \"listen\": $2,
          \"seeds\": [\"$replica\"], \"linkPort\": 7000, \"firstStart\": true, \"announceIntervalMs\": 770, \"borneLosses\": 0,
          \"drainMs\": 2000, \"graceMs\": 2000, \"dataFolder\": \"$work/$1.data\"}"
}

announce_all() {
    local sequence=0
    while sequence=$((sequence + 1)); do
        announce "$replica" 1 quotes ktm-lalit ready "$sequence"
        announce "$replica" 2 quotes ktm-lalit draining "$sequence"
        announce "$replica" 3 quotes ktm-thamel ready "$sequence"
        sleep 0.5
    done
}

load() {
    "$bin/robinrail" load "$@" > "$work/load.txt" 2> "$work/load.error"
}

shows() {
    grep -q -- "$1" "$work/load.txt" || { cat "$work/load.txt"; false; }
}

# exits_with CODE ARGUMENTS: whether the command ends with this exit code.
exits_with() {
    local code=$1
    shift
    load "$@"
    [ "$?" -eq "$code" ]
}

mkdir "$work/replica-1.data"
settings replica-1 "{\"admin\": \"$replica\"}" > "$work/replica-1.json"
start replica-1 "$bin/robinrail-platform-control" --settings="$work/replica-1.json"
for id in 0 1; do
    settings "balancer-$id" "{\"admin\": \"${balancers[$id]}\", \"packets\": \"${balancers[$id]%:*}:4000\"}" > "$work/balancer-$id.json"
    start "balancer-$id" "$bin/robinrail-platform-balancer" --settings="$work/balancer-$id.json"
done
check "a routing document is accepted" wait_for 10 put_document "$replica" quotes
announce_all > /dev/null 2>&1 &
pids+=("$!")
check "both balancers are ready" wait_for 10 eval 'ready "${balancers[0]}" && ready "${balancers[1]}"'
sees_all() {
    load "${balancers[@]}" --over=0 && grep -q 'data-centre=ktm-lalit serving=1 .* draining=1 ' "$work/load.txt" \
        && grep -q 'data-centre=ktm-thamel serving=1 ' "$work/load.txt"
}
check "targets are counted by service, data centre and state" wait_for 10 sees_all
check "the draining target is listed with its reason and both balancers" shows '^excluded=2 service=quotes data-centre=ktm-lalit .* reason=draining balancers=2'
check "without a limit none is shown" shows 'limit=none'
check "flows are counted for a time" exits_with 0 "${balancers[@]}" --over=1
check "JSON has the same" exits_with 0 "${balancers[@]}" --over=0 --json
check "JSON names the service" shows '"service": "quotes"'
kill -9 "$last_pid"
check "a balancer that does not answer gives exit code 3" exits_with 3 "${balancers[@]}" --over=0
check "and is named" shows '^failed=127.7.0.3:8080 error="did not respond"'
check "and the others are still reported" shows 'data-centre=ktm-lalit serving=1 '
check "an invalid address gives exit code 2" exits_with 2 127.7.0.2
check "and a message that names it" grep -q 'BALANCER: found "127.7.0.2"' "$work/load.error"
check "an invalid time gives exit code 2" exits_with 2 "${balancers[0]}" --over=-1
check "a balancer given twice gives exit code 2" exits_with 2 "${balancers[0]}" "${balancers[0]}"
check "an unknown option gives exit code 2" exits_with 2 --every=1

[ "$wrong" -eq 0 ]
