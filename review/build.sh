#!/usr/bin/env bash
# Builds the program that plays the cases: the platform, its minions and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly OUT=review/out
mkdir -p "$OUT"
objects=()
pids=()
for source in review/stand_in/*.cpp; do
  object="$OUT/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ -std=c++20 -O1 -pthread -I. -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ -pthread "${objects[@]}" -o "$OUT/case"
