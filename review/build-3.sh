#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into review/bin-3. They need only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin-3
for case in review/cases_3/*_case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "review/bin-3/$(basename "$case" .cpp)" \
    "$case" review/cases_3/{client,site,loopback_http}.cpp
done
