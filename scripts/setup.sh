#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
# Does nothing when all of them are present.
set -euo pipefail

packages=(
  g++ cmake ninja-build make ccache clang-format clang-tidy curl jq
  libcaf-dev libjsonrpccpp-dev libjsoncpp-dev libcurl4-openssl-dev
  libmicrohttpd-dev libtoml11-dev librapidcheck-dev libdocopt-dev
  liblog4cplus-dev nlohmann-json3-dev rapidjson-dev libboost-dev libxxhash-dev
  libssl-dev libgtest-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
