#!/usr/bin/env bash
# Checks of the end-to-end tests, which source it. `wrong` counts those that failed.

wrong=0
check() {
    local what=$1
    shift
    if "$@"; then
        echo "ok: $what"
    else
        echo "failed: $what"
        wrong=$((wrong + 1))
    fi
}
