#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all are installed.
set -euo pipefail

readonly PACKAGES=(
  g++ cmake ninja-build ccache curl clang-format clang-tidy
  libboost-dev libwebsocketpp-dev libpopt-dev liblog4cplus-dev libcppunit-dev libyaml-cpp-dev
  nlohmann-json3-dev librapidcheck-dev liburcu-dev libbenchmark-dev
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
