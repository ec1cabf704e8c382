#!/usr/bin/env bash
# Proofs with the real daemons over loopback: kills, freezes, a lost disk and then a second one, racing
# operators, resends, a balancer that was down, a data centre cut off. Waits on conditions only.
set -uo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/release
work=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work"' EXIT

wrong=0
check() {
    local what=$1
    shift
    if "$@"; then
        echo "ok: $what"
    else
        echo "wrong: $what"
        wrong=$((wrong + 1))
    fi
}

# field FILE-OR-JSON KEY: a number or word of one-level JSON output.
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

# status KIND NUMBER: the status that one process answers by itself.
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

# The replica that all of its peers call the leader.
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
check "replicas join by themselves" wait_for 20 three_voters
propose_version 0
check "a bundle is accepted" grep -q 'version=1' "$work/propose.log"
check "it is in force on every balancer" wait_for 10 in_force 1

# Racing operators, a lost answer and a resend.
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
check "of two equally numbered changes one wins" [ "$((first_code + second_code))" -eq 4 ]
winner=one
[ "$first_code" -eq 0 ] || winner=two
robinrail bundle propose "$work/$winner.json" > "$work/again.log" 2>&1
check "a resend gets the same answer" cmp -s "$work/$winner.log" "$work/again.log"
check "and applies once" grep -q 'version=2 ' "$work/again.log"

# kill -9 of the leader in the midst of changes.
old=$(leader)
version=2
for _ in 1 2 3; do
    propose_version "$version" && version=$((version + 1))
done
kill -9 "${control_pid[$old]}"
wait_gone "${control_pid[$old]}"
propose_version "$version"
check "changes go on after the leader is killed" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
check "in force with one control VM dead" wait_for 10 in_force "$version"
start_control "$old"

# A frozen leader returns with its old view.
check "the killed replica is back" wait_for 20 three_voters
frozen=$(leader)
kill -STOP "${control_pid[$frozen]}"
propose_version "$version"
check "changes go on while the leader is frozen" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
kill -CONT "${control_pid[$frozen]}"
follower_again() { status_has control "$frozen" '"role":"follower"' && status_has control "$frozen" "\"version\":$version[,}]"; }
check "the frozen leader steps down and takes the new version" wait_for 20 follower_again

# A lost disk, repaired, and then the loss of a second replica.
lost=3
kill -9 "${control_pid[$lost]}"
wait_gone "${control_pid[$lost]}"
rm -rf "$work/control-$lost"
start_control "$lost"
repaired() { three_voters && status_has control "$lost" "\"version\":$version[,}]" && status_has control "$lost" '"role":"follower"\|"role":"leader"'; }
check "a replica with a lost disk learns and votes again" wait_for 30 repaired
second=2
kill -9 "${control_pid[$second]}"
wait_gone "${control_pid[$second]}"
propose_version "$version"
check "the loss of a second replica after the repair loses nothing" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
start_control "$second"
check "all three are back" wait_for 30 three_voters

# A balancer is down for 300 changes and comes back.
kill -9 "${balancer_pid[3]}"
wait_gone "${balancer_pid[3]}"
for _ in $(seq 300); do
    propose_version "$version" && version=$((version + 1))
done
start_balancer 3
check "a balancer catches up at once" wait_for 10 in_force "$version"

# Cut off from every control replica, a balancer serves on and says that it is unconfirmed.
post_drop 127.1.0.1 8080 '{"replicas": [1, 2, 3]}'
check "a balancer that is cut off calls its version unconfirmed" wait_for 10 status_has balancer 1 '"confirmed":false'
check "and keeps it in force" status_has balancer 1 "\"version\":$version[,}]"
post_drop 127.1.0.1 8080 '{}'
check "and is confirmed again after" wait_for 10 status_has balancer 1 '"confirmed":true'

# A replica that is cut off can't accept a change.
cut=$(leader)
post_drop "127.5.0.$cut" 7080 '{"replicas": [1, 2, 3]}'
propose_version "$version"
check "a cut-off leader is passed over" grep -q "version=$((version + 1)) " "$work/propose.log"
version=$((version + 1))
post_drop "127.5.0.$cut" 7080 '{}'
caught_up() { status_has control "$cut" "\"version\":$version[,}]"; }
check "and takes the new version when it is joined again" wait_for 20 caught_up

# A replica comes back with an empty disk on a VM whose address the settings of the others do not have: it dials them, and
# they must answer it there. Without that it asks to be taken in for ever and two replicas remain for what three promise.
moved=3
kill -9 "${control_pid[$moved]}"
wait_gone "${control_pid[$moved]}"
rm -rf "$work/control-$moved"
sed -i "s/\"listen\": {\"links\": \"127.5.0.$moved:7000\"/\"listen\": {\"links\": \"127.5.0.1$moved:7000\"/" "$work/control-$moved.json"
start_control "$moved"
moved_votes() { three_voters && status_has control "$moved" "\"version\":$version[,}]" && status_has control "$moved" '"role":"follower"\|"role":"leader"'; }
check "a replica that moved to another address learns and votes again" wait_for 30 moved_votes

check "the audit trail is whole" robinrail audit verify
bad_settings_refused() {
    sed 's/"dataCentre": "ktm-bhakta"/"dataCentre": "nowhere"/' "$work/balancer-2.json" > "$work/bad.json"
    "$bin/robinrail-balancer" --settings="$work/bad.json" --check > /dev/null 2>&1
    [ $? -eq 2 ]
}
check "settings with a fault are refused with 2" bad_settings_refused
foreign_folder_refused() {
    sed 's/"replica": 1,$/"replica": 2,/; s/control-2"/control-1"/' "$work/control-1.json" > "$work/foreign.json"
    timeout 10 "$bin/robinrail-control" --settings="$work/foreign.json" > /dev/null 2>&1
    [ $? -eq 3 ]
}
check "a folder of another replica is refused with 3" foreign_folder_refused

echo "daemon checks that were wrong: $wrong"
[ "$wrong" -eq 0 ]
