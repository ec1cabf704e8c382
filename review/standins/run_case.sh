#!/usr/bin/env bash
# Runs the case in a folder: run_case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.." || exit 2
programs=target
[ -x target/robinrail-platform-control ] || programs=build/release
if [ ! -x "$programs/robinrail-platform-control" ] || [ ! -x "$programs/robinrail-platform-balancer" ]; then
    echo "the programs are not built: see the build command of deploy/system.toml" >&2
    exit 2
fi
review/build.sh || exit 2
work=$(mktemp -d) || exit 2
"build/review/case-${folder##*/}" "$programs" "$work" "$folder/record.txt" "${TROUBLE:-1}"
code=$?
tail -n 3 "$folder/record.txt"
[ -n "${KEEP:-}" ] && echo "logs: $work" || rm -rf "$work"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
