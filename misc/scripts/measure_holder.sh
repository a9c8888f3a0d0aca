#!/usr/bin/env bash
# Measures what a holder costs by number of workers: processor time, memory and bytes on its
# connections to workers and platform, while its data centre is full of running tasks.
# Usage: measure_holder.sh SECONDS WORKERS...   (the build folder must be built)
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly BIN=$PWD/build
readonly ACCELERATORS=4
readonly WORKERS_IN_RACK=8
seconds=$1
shift
folder=$(mktemp -d)
readonly folder
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap cleanup EXIT

write_fleet() { # index, workers
  printf 'name: measured\ndata_centres:\n  east:\n    entry_hosts:\n'
  echo "      e1: {callers: 127.9.$1.1:8080, peers: 127.9.$1.1:8081}"
  echo '    racks:'
  local worker
  for ((worker = 0; worker < $2; worker++)); do
    if ((worker % WORKERS_IN_RACK == 0)); then
      printf '      r%d:\n        workers:\n' $((worker / WORKERS_IN_RACK))
    fi
    echo "          w$worker: {address: 127.9.$1.2:$((9100 + worker)), accelerators: $ACCELERATORS, cores: 64, memory_mb: 131072}"
  done
  echo '    teams: {measured: {quota: 100000}}'
}

start() { # index, workers
  local at=127.9.$1
  "$BIN/tests/platform_stand_in" --listen "$at.3:9000" & pids+=($!)
  "$BIN/tests/worker_stand_in" "$at.2:9100" "$2" & pids+=($!)
  write_fleet "$1" "$2" >"$folder/fleet-$1.yaml"
  cat >"$folder/host-$1.yaml" <<END
name: e1
data_centre: east
callers: $at.1:8080
peers: $at.1:8081
platform: [$at.3:9000]
log_file: $folder/log-$1
END
  "$BIN/sardinecoursed" --settings "$folder/host-$1.yaml" & pids+=($!)
  daemons[$1]=$!
}

# Bytes sent and received so far on the daemon's connections to workers and platform.
traffic() { # index
  ss -tinH "src 127.0.0.0/8 and ( dst 127.9.$1.2 or dst 127.9.$1.3 )" |
    awk '{ for (i = 1; i <= NF; i++) { split($i, f, ":");
           if (f[1] == "bytes_sent" || f[1] == "bytes_received") sum += f[2] } }
         END { print sum + 0 }'
}
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

declare -A daemons traffic_before ticks_before
index=0
for workers in "$@"; do
  start $((++index)) "$workers"
done
index=0
for workers in "$@"; do
  index=$((index + 1))
  export SARDINECOURSE_DAEMON=127.9.$index.1:8080
  until "$BIN/sardinecourse" settings apply "$folder/fleet-$index.yaml" >/dev/null 2>&1; do
    sleep 0.5
  done
  for ((job = 0; job < workers / 2; job++)); do
    "$BIN/sardinecourse" job submit --team measured --key "j$job" --members 8 --accelerators 1 \
      --run-time-ms 3600000 >/dev/null
  done
done
sleep 30
for index in "${!daemons[@]}"; do
  traffic_before[$index]=$(traffic "$index")
  ticks_before[$index]=$(cpu_ticks "${daemons[$index]}")
done
sleep "$seconds"
echo 'workers tasks bytes_per_s cpu_percent resident_mb'
index=0
for workers in "$@"; do
  index=$((index + 1))
  bytes=$(($(traffic $index) - traffic_before[$index]))
  ticks=$(($(cpu_ticks "${daemons[$index]}") - ticks_before[$index]))
  tasks=$((workers / 2 * 8))
  awk -v w="$workers" -v t="$tasks" -v b="$bytes" -v c="$ticks" -v s="$seconds" \
    -v hz="$(getconf CLK_TCK)" -v r="$(resident_kb "${daemons[$index]}")" \
    'BEGIN { printf "%d %d %.0f %.2f %.1f\n", w, t, b / s, 100 * c / hz / s, r / 1024 }'
done
