# Starts a small deployment on loopback addresses for the cases of the second review: three control nodes and some balancers, by the
# commands of deploy/system.toml and with the settings that its templates give. Sourced by the run.sh of a case, which sets `case`.
#
# Exit codes of a case: 0 the rule held, 1 it was broken, 2 the case could not run.

root=$(cd "$case/../.." && pwd)
record=$case/record.txt
work=$(mktemp -d)
pids=()
zones=(ktm-lalit ktm-bhakta ktm-thamel)

note() {
    echo "$*" | tee -a "$record"
}

end_all() {
    if [ -f "$work/pids" ]; then
        mapfile -t -O "${#pids[@]}" pids < "$work/pids"
    fi
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
    note "could not run: $*"
    exit 2
}

# Whether nobody listens on the addresses of a network octet.
is_free() {
    ! (exec 3<> "/dev/tcp/127.$1.0.10/8166") 2> /dev/null && ! (exec 3<> "/dev/tcp/127.$1.1.10/8167") 2> /dev/null
}

choose_network() {
    local try
    for try in 0 1 2 3 4; do
        network=$((40 + ($$ + try * 37) % 200))
        if is_free "$network"; then
            return
        fi
    done
    cannot_run "no free network of loopback addresses"
}

common_settings() {
    cat << END
    "dataCentres": ["ktm-lalit", "ktm-bhakta", "ktm-thamel"],
    "seeds": ["127.$network.0.10:8166", "127.$network.0.11:8166", "127.$network.0.12:8166"],
    "linkPort": 7720,
    "firstStart": $1,
    "announceIntervalMs": 770,
    "borneLosses": 1,
    "borneDataCentres": 1,
    "drainMs": 3000,
    "graceMs": 6000
END
}

# start_control INDEX FIRST_START: sets last_pid.
start_control() {
    local index=$1
    mkdir -p "$work/core-$index"
    cat > "$work/core-$index.json" << END
{
    "node": "core-${zones[$index]}-1",
    "dataCentre": "${zones[$index]}",
    "listen": { "admin": "127.$network.0.$((10 + index)):8166" },
    "dataFolder": "$work/core-$index",
$(common_settings "$2")
}
END
    ROBINRAIL_CONFIG=$work/core-$index.json target/robinrail-platform-control >> "$work/core-$index.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

# start_balancer INDEX: sets last_pid.
start_balancer() {
    local index=$1
    cat > "$work/edge-$index.json" << END
{
    "node": "edge-ktm-lalit-$((index + 1))",
    "dataCentre": "ktm-lalit",
    "listen": { "admin": "127.$network.1.$((10 + index)):8167", "packets": "127.$network.1.$((10 + index)):8172" },
    "linkMbps": 1000.0,
$(common_settings true)
}
END
    ROBINRAIL_CONFIG=$work/edge-$index.json target/robinrail-platform-balancer >> "$work/edge-$index.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

cd "$root" || exit 2
: > "$record"
if [ ! -x target/robinrail-platform-control ] || [ ! -x target/robinrail-platform-balancer ]; then
    cannot_run "the build of the deploy file is missing"
fi
choose_network
