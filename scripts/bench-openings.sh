#!/usr/bin/env bash
# Instructions per steered packet, counted by callgrind: of an opening packet and of any other one, with 120 and with 1,000 targets.
# Modes: no events, one suspicion a second, and all slots of the own data centre in use. Repeatable, as the program is deterministic.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release --target robinrail-openings -- -j3 > /dev/null
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flows=1000
# Instructions of all calls of a function, with what it calls.
instructions() {
    grep -m 1 "::$1(" "$work/annotated" | sed -E 's/^ *([0-9,]+).*/\1/' | tr -d ,
}
for targets in 120 1000; do
    for mode in "0" "20" "0 busy"; do
        read -r -a arguments <<< "$mode"
        valgrind --tool=callgrind --callgrind-out-file="$work/out" --collect-atstart=no --toggle-collect='*::steer(*' \
            build/release/robinrail-openings "$targets" "$flows" "${arguments[@]}" > "$work/log" 2>&1
        callgrind_annotate --inclusive=yes --threshold=100 --auto=no "$work/out" > "$work/annotated"
        others=$((${#arguments[@]} > 1 ? flows : 2 * flows))
        echo "$targets targets, ${arguments[0]} suspicions ${arguments[1]:-}:" \
            "opening $(($(instructions steerOpening) / flows)), any other $(($(instructions steerEstablished) / others))"
    done
done
