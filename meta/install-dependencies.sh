#!/usr/bin/env bash
# Installs what a fresh Debian 12 machine needs to build, check and test.
set -euo pipefail

packages=(
    clang-format clang-tidy cmake curl g++ ninja-build
    libasan8 libtsan2 libubsan1
    libbenchmark-dev libboost1.81-dev libboost-json1.81-dev libboost-test1.81-dev
    libcaf-dev libcpp-httplib-dev libcxxopts-dev
    libjsoncpp-dev libjsonrpccpp-dev liblog4cplus-dev
    libopentracing-dev libssl-dev libxxhash-dev zlib1g-dev libbrotli-dev
)

missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' || missing+=("$it")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
