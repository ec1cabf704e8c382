#!/usr/bin/env bash
# Functions that write the settings of a deployment on loopback and start its processes. Sourced by the
# demonstration and by the tests with real daemons; the caller sets `bin` and `work`.

token="demonstration-token-0123456789"
cluster_key=$(printf '5a%.0s' {1..32})
id_key=$(printf '3c%.0s' {1..16})
data_centres='["ktm-lalit", "ktm-bhakta", "ktm-thamel"]'
data_centre_names=(ktm-lalit ktm-bhakta ktm-thamel)
pids=()

# Starts a program in the background with its output in a log and sets last_pid.
start() {
    local log=$1
    shift
    "$@" > "$work/$log.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

# Ends what is still running of what was started here.
stop_all() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
}

# Waits until a command succeeds, at most $1 seconds.
wait_for() {
    local tries=$(($1 * 20))
    shift
    while ! "$@" > /dev/null 2>&1; do
        tries=$((tries - 1))
        if [ "$tries" -le 0 ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        sleep 0.05
    done
}

robinrail() {
    "$bin/robinrail" "$@" --config="$work/robinrail.json"
}

# write_control REPLICAS: settings of control replicas 1 to REPLICAS on 127.5.0.x, and the operators' keys.
write_control() {
    local replicas="" count=$1 id
    for id in $(seq "$count"); do
        replicas+="${replicas:+, }{\"replica\": $id, \"links\": \"127.5.0.$id:7000\", \"admin\": \"127.5.0.$id:7080\"}"
    done
    local first_key second_key
    first_key=$("$bin/robinrail" keygen --out="$work/first.key" | sed 's/publicKey=//')
    second_key=$("$bin/robinrail" keygen --out="$work/second.key" | sed 's/publicKey=//')
    for id in $(seq "$count"); do
        cat > "$work/control-$id.json" << END
{
    "replica": $id,
    "listen": {"links": "127.5.0.$id:7000", "admin": "127.5.0.$id:7080"},
    "replicas": [$replicas],
    "keys": {"cluster": "$cluster_key"},
    "adminToken": "$token",
    "dataFolder": "$work/control-$id",
    "firstOperators": [
        {"name": "first", "key": "$first_key", "role": "administrator"},
        {"name": "second", "key": "$second_key", "role": "author"}
    ]
}
END
    done
}

# write_balancers BALANCERS REPLICAS: settings of balancers on 127.1.0.x, in turn over the data centres.
write_balancers() {
    local count=$1 replicas=$2 id peers="" control="" balancers=""
    for id in $(seq "$count"); do
        peers+="${peers:+, }{\"balancer\": $id, \"address\": \"127.1.0.$id:5000\"}"
        balancers+="${balancers:+, }{\"balancer\": $id, \"admin\": \"127.1.0.$id:8080\"}"
    done
    for id in $(seq "$replicas"); do
        control+="${control:+, }\"127.5.0.$id:7000\""
    done
    for id in $(seq "$count"); do
        cat > "$work/balancer-$id.json" << END
{
    "balancer": $id,
    "dataCentres": $data_centres,
    "dataCentre": "${data_centre_names[$(((id - 1) % 3))]}",
    "services": [
        {"name": "rate-desk", "listen": "127.1.0.$id:4001"},
        {"name": "doc-vault", "listen": "127.1.0.$id:4002"}
    ],
    "listen": {"peers": "127.1.0.$id:5000", "targets": "127.1.0.$id:5001", "admin": "127.1.0.$id:8080"},
    "peers": [$peers],
    "control": [$control],
    "keys": {"cluster": "$cluster_key", "connectionIds": [{"version": 1, "key": "$id_key"}]},
    "adminToken": "$token",
    "dataFolder": "$work/balancer-$id",
    "lingerMs": 4000
}
END
    done
    control=${control//:7000/:7080}
    cat > "$work/robinrail.json" << END
{
    "control": [$control],
    "balancers": [$balancers],
    "token": "$token",
    "operator": "first",
    "keyFile": "$work/first.key"
}
END
}

# write_fabric BALANCERS: the fabric's addresses on 127.4.0.1.
write_fabric() {
    local id rate="" docs="" targets=""
    for id in $(seq "$1"); do
        rate+="${rate:+, }\"127.1.0.$id:4001\""
        docs+="${docs:+, }\"127.1.0.$id:4002\""
        targets+="${targets:+, }\"127.1.0.$id:5001\""
    done
    cat > "$work/fabric.json" << END
{
    "routes": [
        {"listen": "127.4.0.1:4001", "balancers": [$rate]},
        {"listen": "127.4.0.1:4002", "balancers": [$docs]},
        {"listen": "127.4.0.1:4100", "balancers": [$targets]}
    ],
    "seed": 7,
    "duplicate": 0.02,
    "drop": 0.01
}
END
}

# start_target ID SERVICE SERVICE_MS PARTS: a target on 127.3.0.x; sets last_pid.
start_target() {
    cat > "$work/target-$1.json" << END
{
    "id": $1,
    "service": $2,
    "dataCentre": $(($1 % 3 + 1)),
    "listen": "127.3.0.$1:9000",
    "announceTo": "127.4.0.1:4100",
    "slots": 3,
    "connections": 2000,
    "serviceMs": $3,
    "parts": $4,
    "report": "$work/target-$1.report"
}
END
    start "target-$1" "$bin/robinrail" standin target "$work/target-$1.json"
}

# propose FILE BASE: signs a bundle and proposes it.
propose() {
    rm -f "$work/change.json"
    robinrail bundle sign "$1" --base="$2" --out="$work/change.json"
    robinrail bundle propose "$work/change.json"
}

ready() {
    [ "$(curl_path "$1" /readyz)" = 200 ]
}

# The HTTP status of a GET, through bash alone.
curl_path() {
    local host=${1%:*} port=${1#*:} line
    exec 9<> "/dev/tcp/$host/$port" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: robinrail\r\nConnection: close\r\n\r\n' "$2" >&9
    read -r line <&9
    exec 9>&-
    line=${line#* }
    echo "${line%% *}"
}
