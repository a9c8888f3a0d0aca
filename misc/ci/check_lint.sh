#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those that differ from a revision.
# Usage: check_lint.sh [REVISION]
set -euo pipefail
cd "$(dirname "$0")/../.."

cmake -S . -B build -G Ninja >/dev/null
if [ -n "${1:-}" ]; then
  sources=$(git diff --name-only --diff-filter=d "$1" -- '*.cpp')
else
  sources=$(git ls-files '*.cpp')
fi
[ -n "$sources" ] || exit 0
# Clang 14 needs these options to parse the standard library's coroutines, and Asio 1.74 to use them.
readonly COROUTINES=(
  --extra-arg=-fcoroutines-ts
  --extra-arg=-D__cpp_impl_coroutine=201902L
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1
  --extra-arg=-Wno-unknown-warning-option
)
# The count of suppressed warnings, which the linter prints for each file, would hide the rest.
echo "$sources" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet "${COROUTINES[@]}" 2> >(grep -v " warnings generated" >&2)
