#!/usr/bin/env bash
# Plays seeds of the fault soak, four at a time, and keeps the logs of those that violated an invariant.
# Usage: scripts/soak.sh FIRST COUNT [SECONDS]   seeds with faults for that many seconds (default 15)
#        scripts/soak.sh --regressions           the seeds of soak/regressions.txt, as CI does
# Ends with "seeds: N kept, N broken".
set -uo pipefail
cd "$(dirname "$0")/.."
export bin=$PWD/build/release work=${SOAK_WORK:-$(mktemp -d)}
export seconds=${3:-15}
if [ "${1:-}" = --regressions ]; then
    seeds=$(sed -nE 's/^([0-9]+):.*/\1/p' soak/regressions.txt)
else
    seeds=$(seq "${1:?first seed}" $(($1 + ${2:?count} - 1)))
fi
play_seed() {
    if timeout 180 "$bin/robinrail-soak" --programs="$bin" --work="$work" --seed="$1" --seconds="$seconds" > "$work/$1.log" 2>&1; then
        rm -f "$work/$1.log"
    else
        grep -E 'promise-broken|seed-ended' "$work/$1.log" || tail -n 3 "$work/$1.log"
        touch "$work/$1.broken"
    fi
}
export -f play_seed
# One seed keeps less than one processor busy.
xargs -P 4 -I{} bash -c 'play_seed "$@"' _ {} <<< "$seeds"
total=$(wc -w <<< "$seeds")
broken=$(find "$work" -maxdepth 1 -name '*.broken' | wc -l)
echo "seeds: $((total - broken)) kept, $broken broken"
if [ "$broken" -gt 0 ]; then
    echo "logs: $work"
    exit 1
fi
rm -rf "$work"
[ "$total" -gt 0 ]
