#!/usr/bin/env bash
# Fails when a source is not formatted as .clang-format specifies.
set -euo pipefail
cd "$(dirname "$0")/../.."
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
