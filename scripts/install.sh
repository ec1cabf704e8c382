#!/usr/bin/env bash
# Installs by apt what building and testing need; does nothing if all of it is there.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < scripts/packages.txt
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    sudo=()
    [ "$(id -u)" -eq 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -q
    DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
