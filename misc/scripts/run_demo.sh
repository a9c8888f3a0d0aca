#!/usr/bin/env bash
# Builds the project, runs a local deployment of two data centres with two entry hosts each, serves
# requests, runs a gang job, kills one daemon in the middle, prints what happened and stops itself.
# Exits 0 when every check passed.
set -euo pipefail
cd "$(dirname "$0")/../.."

misc/scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target sardinecoursed sardinecourse platform_stand_in worker_stand_in \
  minion_stand_in | tail -n 1

readonly BIN=$PWD/build
readonly TOOL=$BIN/sardinecourse
folder=$(mktemp -d)
readonly folder
declare -A daemon_pid
stand_in_pids=()
failures=0

cleanup() {
  kill "${daemon_pid[@]}" "${stand_in_pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ "$failures" -gt 0 ] && echo "logs are kept in $folder" || rm -rf "$folder"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# expect TEXT CONDITION...: checks a condition, prints the result and counts the failures.
expect() {
  local text=$1
  shift
  if "$@"; then
    echo "   ok: $text"
  else
    echo "   FAILED: $text"
    failures=$((failures + 1))
  fi
}

# wait_for SECONDS CONDITION...: true as soon as the condition holds.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.2
  done
}

# The entry hosts, by name; their callers' endpoints.
declare -rA callers=(
  [east-1]=127.0.1.1:8080 [east-2]=127.0.1.2:8080 [west-1]=127.0.2.1:8080 [west-2]=127.0.2.2:8080
)
readonly hosts=(east-1 east-2 west-1 west-2)

write_workers() { # data centre, address prefix
  echo '    racks:'
  local rack worker
  for rack in 1 2; do
    echo "      $1-r$rack:"
    echo '        workers:'
    for worker in 1 2 3; do
      echo "          $1-r$rack-w$worker: {address: $2:$((9100 + (rack - 1) * 3 + worker)), accelerators: 8, cores: 64, memory_mb: 131072}"
    done
  done
}

write_fleet() {
  echo 'name: demo'
  echo 'data_centres:'
  local centre number
  for centre in east west; do
    number=$([ $centre = east ] && echo 1 || echo 2)
    echo "  $centre:"
    echo '    region: north'
    echo '    entry_hosts:'
    echo "      $centre-1: {callers: 127.0.$number.1:8080, peers: 127.0.$number.1:8081}"
    echo "      $centre-2: {callers: 127.0.$number.2:8080, peers: 127.0.$number.2:8081}"
    write_workers $centre 127.0.$number.10
    echo '    minions:'
    for minion in 1 2 3; do
      echo "      $centre-m$minion: {service: fretdesk, address: 127.0.$number.20:$((9200 + minion))}"
    done
    echo '    teams:'
    echo '      luthiers:'
    echo '        quota: 48'
    echo '        guarantees:'
    echo '          - {members: 2, accelerators_per_member: 8, count: 1}'
    echo '        services: {fretdesk: {}}'
    echo '      schools: {quota: 48}'
  done
}

write_host() { # name
  local centre=${1%-*} ip=${callers[$1]%:*}
  cat <<END
name: $1
data_centre: $centre
callers: ${callers[$1]}
peers: $ip:8081
platform: [127.0.0.1:9000]
peer_seeds: [127.0.1.1:8081, 127.0.1.2:8081, 127.0.2.1:8081, 127.0.2.2:8081]
END
}

start_daemon() { # name
  "$BIN/sardinecoursed" --settings "$folder/$1.yaml" 2>>"$folder/$1.log" &
  daemon_pid[$1]=$!
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://${callers[$1]}/readyz")" = 200 ]; }
all_ready() {
  local host
  for host in "${hosts[@]}"; do
    is_ready "$host" || return 1
  done
}

say 'stand-ins for the platform, workers and minions'
"$BIN/tests/platform_stand_in" --listen 127.0.0.1:9000 & stand_in_pids+=($!)
for number in 1 2; do
  centre=$([ $number = 1 ] && echo east || echo west)
  "$BIN/tests/worker_stand_in" 127.0.$number.10:9101 6 & stand_in_pids+=($!)
  "$BIN/tests/minion_stand_in" --prefix "$centre-m" --count 3 --service-us 2000 \
    127.0.$number.20:9201 & stand_in_pids+=($!)
done

say 'four daemons in two data centres'
write_fleet >"$folder/fleet.yaml"
for host in "${hosts[@]}"; do
  write_host "$host" >"$folder/$host.yaml"
  start_daemon "$host"
done

say 'settings: checked, applied through one daemon, in force on all'
"$TOOL" settings check "$folder/fleet.yaml"
wait_for 10 "$TOOL" settings apply "$folder/fleet.yaml" --daemon "${callers[east-1]}"
expect 'every daemon is ready within 16 s' wait_for 16 all_ready

say 'two operators race with different changes'
sed 's/quota: 48/quota: 40/' "$folder/fleet.yaml" >"$folder/first.yaml"
sed 's/quota: 48/quota: 44/' "$folder/fleet.yaml" >"$folder/second.yaml"
"$TOOL" settings apply "$folder/first.yaml" --expect-revision 1 --who anna \
  --daemon "${callers[east-2]}" >"$folder/first.out" 2>&1 & first=$!
"$TOOL" settings apply "$folder/second.yaml" --expect-revision 1 --who berik \
  --daemon "${callers[west-1]}" >"$folder/second.out" 2>&1 & second=$!
first_code=0; wait $first || first_code=$?
second_code=0; wait $second || second_code=$?
sed 's/^/   /' "$folder/first.out" "$folder/second.out"
expect 'one change was accepted, the other was refused' test $((first_code + second_code)) = 1

# send_requests COUNT: through all daemons in turn; writes one line "HOST STATUS OUTCOME" each.
send_requests() {
  local number host
  for ((number = 0; number < $1; number++)); do
    host=${hosts[$((number % 4))]}
    {
      curl -s -m 10 -o /dev/null -D - -H 'Sardinecourse-Team: luthiers' \
        -d "guitar $number" "http://${callers[$host]}/services/fretdesk/quote" || true
    } |
      tr -d '\r' | awk -v host="$host" '
        /^HTTP/ { status = $2 }
        tolower($1) == "sardinecourse-outcome:" { outcome = $2 }
        END { print host, status ? status : "unreachable", outcome ? outcome : "-" }'
  done
}
count_outcomes() { sort "$1" | uniq -c | sed 's/^/   /'; }

say 'requests through every daemon'
send_requests 40 >"$folder/requests-before"
count_outcomes "$folder/requests-before"
expect 'all 40 were done' test "$(grep -c ' 200 done$' "$folder/requests-before")" = 40

say 'a gang job of 2 x 8 accelerators, submitted through west-1 to be placed where it fits'
"$TOOL" job submit --team luthiers --service fretdesk --key sleeve-1 --members 2 \
  --accelerators 8 --run-time-ms 12000 --daemon "${callers[west-1]}"
# field_of TEAM KEY FIELD HOST: one field of a job's record, as returned by that host.
field_of() {
  "$TOOL" job show "$1" "$2" --json --daemon "${callers[$4]}" 2>/dev/null |
    tr -d ' "' | tr ',{}' '\n' | sed -n "s/^$3://p"
}
is_in_state() { [ "$(field_of "$1" "$2" state "$3")" = "$4" ]; }
expect 'it runs' wait_for 10 is_in_state luthiers sleeve-1 east-1 running
"$TOOL" job submit --team schools --service fretdesk --key never-1 --members 4 \
  --accelerators 8 --run-time-ms 1000 --daemon "${callers[east-1]}" &&
  never_code=0 || never_code=$?
expect 'a gang larger than any rack is refused at once' test "$never_code" = 1
"$TOOL" job submit --team schools --service fretdesk --key waves-1 --members 1 \
  --accelerators 4 --run-time-ms 600000 --daemon "${callers[east-2]}"
expect 'a second job runs' wait_for 10 is_in_state schools waves-1 west-2 running

say 'kill -9 of the daemon that holds the gang, while requests continue through the others'
centre=$(field_of luthiers sleeve-1 data_centre west-2)
holder=$(grep -l "takeover of holder/$centre .*committed=1" "$folder/$centre"-*.log | sed -n 1p)
holder=$(basename -s .log "$holder")
echo "   killing $holder"
kill -9 "${daemon_pid[$holder]}"
wait "${daemon_pid[$holder]}" 2>/dev/null || true
send_requests 40 >"$folder/requests-during"
count_outcomes "$folder/requests-during"
expect 'all requests through the remaining daemons were done' \
  test "$(grep -v "^$holder" "$folder/requests-during" | grep -vc ' 200 done$')" = 0

say 'the gang continues, another daemon reports its result'
other=$([ "$holder" = west-2 ] && echo east-2 || echo west-2)
expect 'it finished' wait_for 40 is_in_state luthiers sleeve-1 "$other" finished
"$TOOL" job show luthiers sleeve-1 --daemon "${callers[$other]}" | sed 's/^/   /'
"$TOOL" job cancel schools waves-1 --daemon "${callers[$other]}" | sed 's/^/   /'
expect 'a cancelled job is cancelled' wait_for 20 is_in_state schools waves-1 "$other" cancelled

say 'the killed daemon restarts with the settings in force'
start_daemon "$holder"
expect 'it is ready' wait_for 16 is_ready "$holder"
"$TOOL" status --daemon "${callers[$holder]}" | sed 's/^/   /'

say 'planned stop of every daemon'
for host in "${hosts[@]}"; do
  kill -TERM "${daemon_pid[$host]}"
done
for host in "${hosts[@]}"; do
  code=0
  wait "${daemon_pid[$host]}" || code=$?
  expect "$host exits 0" test $code = 0
done
daemon_pid=()

say 'decisions in the logs'
echo "   routing: $(cat "$folder"/*.log | grep -c ' routing ' || true) lines, for example"
grep -h ' routing ' "$folder"/*.log | sed -n '1s/^/   /p'
echo "   placement: $(cat "$folder"/*.log | grep -c ' placement ' || true) lines, for example"
grep -h ' placement ' "$folder"/*.log | sed -n '1s/^/   /p'
echo
[ "$failures" -eq 0 ] && echo 'demo: everything came out as promised' || echo "demo: $failures checks failed"
exit "$((failures > 0))"
