#!/usr/bin/env bash
# End-to-end tests with the real daemons over loopback: killed and frozen processes, a lost disk followed by the loss of a
# second replica, concurrent operators, resent changes, a restarted balancer, network partitions. Waits for conditions only.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release
work=$(mktemp -d)
source scripts/deployment.sh
source scripts/checks.sh
trap 'stop_all; rm -rf "$work"' EXIT

# field JSON KEY: prints a number or word from JSON text with one level.
field() {
    sed -n "s/.*\"$2\": *\"\{0,1\}\([A-Za-z0-9.-]*\).*/\1/p" <<< "$1" | head -n 1
}

declare -A control_pid
start_control() {
    start "control-$1" "$bin/robinrail-control" --settings="$work/control-$1.json" --test-faults "${@:2}"
    control_pid[$1]=$last_pid
}

declare -A balancer_pid
start_balancer() {
    start "balancer-$1" "$bin/robinrail-balancer" --settings="$work/balancer-$1.json" --test-faults
    balancer_pid[$1]=$last_pid
}

# status KIND NUMBER: prints the status reported by one process.
status() {
    local kind=$1 number=$2 host=127.5.0.$2 port=7080
    [ "$kind" = control ] || { host=127.1.0.$2; port=8080; }
    exec 8<> "/dev/tcp/$host/$port" || return 1
    printf 'GET /v1/status HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n' "$token" >&8
    tail -n 1 <&8
    exec 8>&-
}

post_drop() {
    local host=$1 port=$2 body=$3
    exec 8<> "/dev/tcp/$host/$port" || return 1
    printf 'POST /v1/test/drop HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' "$token" "${#body}" "$body" >&8
    tail -n 1 <&8 > /dev/null
    exec 8>&-
}

status_has() {
    local output
    output=$(status "$1" "$2" 2> /dev/null) && grep -q "$3" <<< "$output"
}

# Prints the number of the first replica that reports the role of leader.
leader() {
    local id output
    for id in 1 2 3; do
        output=$(status control "$id" 2> /dev/null) || continue
        if grep -q '"role":"leader"' <<< "$output"; then
            echo "$id"
            return 0
        fi
    done
    return 1
}

three_voters() {
    local output
    output=$(status control "$(leader)" 2> /dev/null) && grep -q '"configCommitted":true' <<< "$output" \
        && [ "$(grep -o '"voter":true' <<< "$output" | wc -l)" -eq 3 ] \
        && [ "$(grep -o '"replica":[0-9]*,"voter"' <<< "$output" | sort -u | wc -l)" -eq 3 ]
}

in_force() {
    local id
    for id in "${!balancer_pid[@]}"; do
        status_has balancer "$id" "\"version\":$1[,}]" || return 1
    done
}

propose_version() {
    propose examples/kathmandu.json "$1" > "$work/propose.log" 2>&1
}

wait_gone() {
    wait "$1" 2> /dev/null
    true
}

write_control 3
write_balancers 3 3
start_control 1 --bootstrap
start_control 2
start_control 3
for id in 1 2 3; do
    start_balancer "$id"
done
check "replicas join automatically" wait_for 20 three_voters
propose_version 0
check "a bundle is accepted" grep -q 'version=1' "$work/propose.log"
check "the bundle is in force on every balancer" wait_for 10 in_force 1

# Two operators propose changes on the same base version; then the successful change is sent again.
rm -f "$work/one.json" "$work/two.json"
robinrail bundle sign examples/kathmandu.json --base=1 --out="$work/one.json" > /dev/null
robinrail bundle sign examples/kathmandu.json --base=1 --out="$work/two.json" > /dev/null
robinrail bundle propose "$work/one.json" > "$work/one.log" 2>&1 &
first=$!
robinrail bundle propose "$work/two.json" > "$work/two.log" 2>&1 &
second=$!
wait "$first"
first_code=$?
wait "$second"
second_code=$?
check "exactly one of two changes on the same base version is accepted" [ "$((first_code + second_code))" -eq 4 ]
winner=one
[ "$first_code" -eq 0 ] || winner=two
robinrail bundle propose "$work/$winner.json" > "$work/again.log" 2>&1
check "a resent change gets the same answer" cmp -s "$work/$winner.log" "$work/again.log"
check "a resent change is applied once" grep -q 'version=2 ' "$work/again.log"

# kill -9 of the leader between changes.
old=$(leader)
version=2
for _ in 1 2 3; do
    propose_version "$version" && version=$((version + 1))
done
kill -9 "${control_pid[$old]}"
wait_gone "${control_pid[$old]}"
propose_version "$version"
check "changes are accepted after the leader was killed" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
check "the change is in force with one control VM down" wait_for 10 in_force "$version"
start_control "$old"

# A frozen leader resumes with its old term.
check "the killed replica is a voter again" wait_for 20 three_voters
frozen=$(leader)
kill -STOP "${control_pid[$frozen]}"
propose_version "$version"
check "changes are accepted while the former leader is frozen" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
kill -CONT "${control_pid[$frozen]}"
follower_again() { status_has control "$frozen" '"role":"follower"' && status_has control "$frozen" "\"version\":$version[,}]"; }
check "the resumed leader steps down and catches up" wait_for 20 follower_again

# Loss of a disk, repair, then loss of a second replica.
lost=3
kill -9 "${control_pid[$lost]}"
wait_gone "${control_pid[$lost]}"
rm -rf "$work/control-$lost"
start_control "$lost"
repaired() { three_voters && status_has control "$lost" "\"version\":$version[,}]" && status_has control "$lost" '"role":"follower"\|"role":"leader"'; }
check "a replica with a lost disk catches up and votes again" wait_for 30 repaired
second=2
kill -9 "${control_pid[$second]}"
wait_gone "${control_pid[$second]}"
propose_version "$version"
check "changes are accepted after a second replica is lost" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
start_control "$second"
check "all three replicas vote again" wait_for 30 three_voters

# A balancer restarts after missing 300 changes.
kill -9 "${balancer_pid[3]}"
wait_gone "${balancer_pid[3]}"
for _ in $(seq 300); do
    propose_version "$version" && version=$((version + 1))
done
start_balancer 3
check "a restarted balancer catches up" wait_for 10 in_force "$version"

# A balancer that is partitioned from all control replicas keeps its version and reports it as unconfirmed.
post_drop 127.1.0.1 8080 '{"replicas": [1, 2, 3]}'
check "a partitioned balancer reports its version as unconfirmed" wait_for 10 status_has balancer 1 '"confirmed":false'
check "a partitioned balancer keeps its version in force" status_has balancer 1 "\"version\":$version[,}]"
post_drop 127.1.0.1 8080 '{}'
check "the version is confirmed again after the partition" wait_for 10 status_has balancer 1 '"confirmed":true'

# A partitioned leader can't accept a change.
cut=$(leader)
post_drop "127.5.0.$cut" 7080 '{"replicas": [1, 2, 3]}'
propose_version "$version"
check "changes are accepted while the former leader is partitioned" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
post_drop "127.5.0.$cut" 7080 '{}'
caught_up() { status_has control "$cut" "\"version\":$version[,}]"; }
check "the former leader catches up after the partition" wait_for 20 caught_up

# A replica restarts with an empty disk at an address that is not in the settings of the others. They must answer over the
# links that it opened; otherwise its requests to join stay unanswered, and the cluster keeps two voters instead of three.
moved=3
kill -9 "${control_pid[$moved]}"
wait_gone "${control_pid[$moved]}"
rm -rf "$work/control-$moved"
sed -i "s/\"listen\": {\"links\": \"127.5.0.$moved:7000\"/\"listen\": {\"links\": \"127.5.0.1$moved:7000\"/" "$work/control-$moved.json"
start_control "$moved"
moved_votes() { three_voters && status_has control "$moved" "\"version\":$version[,}]" && status_has control "$moved" '"role":"follower"\|"role":"leader"'; }
check "a replica that moved to another address catches up and votes again" wait_for 30 moved_votes

check "the audit trail is complete" robinrail audit verify
bad_settings_refused() {
    sed 's/"dataCentre": "ktm-bhakta"/"dataCentre": "nowhere"/' "$work/balancer-2.json" > "$work/bad.json"
    "$bin/robinrail-balancer" --settings="$work/bad.json" --check > /dev/null 2>&1
    [ $? -eq 2 ]
}
check "invalid settings are rejected with exit code 2" bad_settings_refused
foreign_folder_refused() {
    sed 's/"replica": 1,$/"replica": 2,/; s/control-2"/control-1"/' "$work/control-1.json" > "$work/foreign.json"
    timeout 10 "$bin/robinrail-control" --settings="$work/foreign.json" > /dev/null 2>&1
    [ $? -eq 3 ]
}
check "the data folder of another replica is rejected with exit code 3" foreign_folder_refused

echo "daemon checks that failed: $wrong"
[ "$wrong" -eq 0 ]
