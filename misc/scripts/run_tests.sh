#!/usr/bin/env bash
# Builds everything and runs every test but those that KNOWN-RED.txt lists, which it prints.
# Usage: run_tests.sh [--sanitize address,undefined|thread] [--unit] [CTEST ARGUMENTS]
# --unit builds and runs only the tests that start no processes.
set -euo pipefail
cd "$(dirname "$0")/../.."

misc/scripts/install_packages.sh

# Lets ccache reuse in a fresh checkout what was compiled in another one.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

build=build
sanitize=
if [ "${1:-}" = --sanitize ]; then
  sanitize=$2
  build=build-${sanitize%%,*}
  shift 2
fi
target=all
selection=()
if [ "${1:-}" = --unit ]; then
  target=unit_tests
  selection=(--label-exclude history)
  shift
fi
cmake -S . -B "$build" -G Ninja -DSARDINECOURSE_SANITIZE="$sanitize" >/dev/null
cmake --build "$build" --target "$target"

# A line "test: NAME" in KNOWN-RED.txt names a test that fails because of a known fault.
known_red=()
if [ -f KNOWN-RED.txt ]; then
  echo 'known red, not run:'
  cat KNOWN-RED.txt
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
  [ -z "$names" ] || known_red=(--exclude-regex "^($names)\$")
fi
ctest --test-dir "$build" --output-on-failure --parallel "$(nproc)" \
  "${selection[@]}" "${known_red[@]}" "$@"
