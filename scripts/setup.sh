#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing if all are installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build make clang-format clang-tidy curl jq
    libpoco-dev libflatbuffers-dev libboost-dev libtomlplusplus-dev libgflags-dev
    liblog4cxx-dev libexpected-dev libtrompeloeil-cpp-dev catch2 libxxhash-dev nlohmann-json3-dev
)

missing=()
for it in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$it")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi

sudo=()
if [ "$(id -u)" -ne 0 ]; then
    sudo=(sudo)
fi
export DEBIAN_FRONTEND=noninteractive
"${sudo[@]}" apt-get update -qq
"${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
