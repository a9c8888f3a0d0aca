#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10 into review/bin-2/, after the build of the
# deploy file: their drivers and the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly OUT=review/bin-2
readonly FLAGS=(-std=c++20 -O1 -include utility -I. '-DSARDINECOURSE_BUILD_DIR="."'
  '-DSARDINECOURSE_VERSION="review"')
readonly LIBRARIES=(target/liblinks.a target/libcodecs.a target/libworld.a target/liblinks.a
  target/libpeer_socket.a target/libcodecs.a target/libworld.a -llog4cplus -lyaml-cpp -lurcu-memb
  -lpopt -lpthread)
readonly HARNESS=(tests/harness/process.cpp tests/harness/loopback.cpp tests/harness/test_folder.cpp
  tests/harness/http_client.cpp)
stand_in_sources=()
for source in tests/stand_ins/site_*.cpp tests/stand_ins/idle_jobs.cpp; do
  [ "$source" = tests/stand_ins/site_stand_in.cpp ] || stand_in_sources+=("$source")
done

mkdir -p "$OUT/objects"
objects_of() {
  for source in "$@"; do
    echo "$OUT/objects/$(echo "${source%.cpp}" | tr / _).o"
  done
}
build_object() {
  g++ "${FLAGS[@]}" -c "$1" -o "$(objects_of "$1")"
}
sources=("${HARNESS[@]}" "${stand_in_sources[@]}" tests/stand_ins/site_stand_in.cpp
  review/cases_2/*.cpp)
for source in "${sources[@]}"; do
  build_object "$source" &
  while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
done
while [ "$(jobs -rp | wc -l)" -gt 0 ]; do wait -n; done

link() {
  local program=$1
  shift
  # shellcheck disable=SC2046
  g++ $(objects_of "$@") "${LIBRARIES[@]}" -o "$OUT/$program"
}
link site_stand_in tests/stand_ins/site_stand_in.cpp "${stand_in_sources[@]}"
link checkpoint_site review/cases_2/checkpoint_site.cpp "${stand_in_sources[@]}"
for source in review/cases_2/case_[0-9]*.cpp; do
  link "$(basename "$source" .cpp)" "$source" review/cases_2/case_site.cpp \
    review/cases_2/memory_guard.cpp "${HARNESS[@]}"
done
