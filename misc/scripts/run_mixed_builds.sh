#!/usr/bin/env bash
# Checks that daemons and tools of two builds work in one deployment, as they do during a rolling
# upgrade: on the wire, in settings, in stored rows and in logs.
# Usage: run_mixed_builds.sh OLD_BUILD NEW_BUILD
# Both are build folders; the stand-ins are those of OLD_BUILD. Exits 0 when every check holds.
set -euo pipefail

if [ $# -ne 2 ]; then
  echo 'usage: run_mixed_builds.sh OLD_BUILD NEW_BUILD' >&2
  exit 64
fi
declare -A builds=([old]=$(realpath "$1") [new]=$(realpath "$2"))
readonly stand_ins=${builds[old]}/tests
for program in "${builds[old]}"/sardinecourse{,d} "${builds[new]}"/sardinecourse{,d} \
  "$stand_ins"/{platform,worker,minion,site}_stand_in; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 64; }
done

folder=$(mktemp -d)
readonly folder
declare -A daemon_pid
stand_in_pids=()
failures=0

cleanup() {
  kill -9 "${daemon_pid[@]}" "${stand_in_pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ "$failures" -gt 0 ] && echo "logs are kept in $folder" || rm -rf "$folder"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# expect TEXT CONDITION...: counts and prints a condition that does not hold.
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
    sleep 0.1
  done
}

# tool BUILD ARGUMENTS...: runs the tool of that build.
tool() { "${builds[$1]}/sardinecourse" "${@:2}"; }

# start_daemon NAME BUILD
start_daemon() {
  "${builds[$2]}/sardinecoursed" --settings "$folder/$1.yaml" >>"$folder/$1.log" \
    2>>"$folder/$1.errors" &
  daemon_pid[$1]=$!
}

# kill_daemon NAME: as a crash of its host would end it.
kill_daemon() {
  kill -9 "${daemon_pid[$1]}"
  wait "${daemon_pid[$1]}" 2>/dev/null || true
  unset "daemon_pid[$1]"
}

# stop_daemons NAME...: planned stops at the same time.
stop_daemons() {
  local host code
  for host in "$@"; do
    kill -TERM "${daemon_pid[$host]}"
  done
  for host in "$@"; do
    code=0
    wait "${daemon_pid[$host]}" || code=$?
    unset "daemon_pid[$host]"
    expect "$host stops and exits 0" test "$code" = 0
  done
}

# latest_holder PATTERN FILE...: the host with the latest takeover; \1 in the pattern is its term.
latest_holder() {
  local pattern=$1 file
  shift
  for file in "$@"; do
    sed -n "s#^.*$pattern.*\$#\\1 $(basename "${file%.*}")#p" "$file"
  done | sort -n | sed -n '$s/.* //p'
}

answers_200() { [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$1")" = 200 ]; }

say 'A. two data centres with a daemon of each build'

# The daemon of each data centre that starts first becomes its holder: the old build in the east,
# the new one in the west.
readonly hosts=(east-1 east-2 west-1 west-2)
declare -rA callers=(
  [east-1]=127.7.1.1:8080 [east-2]=127.7.1.2:8080 [west-1]=127.7.2.1:8080 [west-2]=127.7.2.2:8080
)
declare -rA build_of=([east-1]=old [east-2]=new [west-1]=new [west-2]=old)
readonly teams=(luthiers easterners westerners)

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
  # Every key that can be set, so that both builds read it and show its origin.
  cat <<END
name: mixed
settings:
  deadline_ms: 25000
  retry_budget_percent: 12
  request_body_limit_kb: 8192
  completion_weight: 45
  fragmentation_weight: 55
  checkpoint_grace_ms: 4000
  quarantine_failures: 4
  lease_ms: 3100
  worker_poll_ms: 19000
  host_list_poll_ms: 900
  settings_poll_ms: 1900
  log_level: INFO
data_centres:
END
  local centre number minion
  for centre in east west; do
    number=$([ $centre = east ] && echo 1 || echo 2)
    echo "  $centre:"
    echo '    region: north'
    echo '    entry_hosts:'
    echo "      $centre-1: {callers: 127.7.$number.1:8080, peers: 127.7.$number.1:8081}"
    echo "      $centre-2: {callers: 127.7.$number.2:8080, peers: 127.7.$number.2:8081}"
    write_workers $centre 127.7.$number.10
    echo '    minions:'
    for minion in 1 2 3; do
      echo "      $centre-m$minion: {service: fretdesk, address: 127.7.$number.20:$((9200 + minion))}"
    done
    echo '    teams:'
    echo '      luthiers:'
    echo '        quota: 16'
    echo '        guarantees:'
    echo '          - {members: 2, accelerators_per_member: 8, count: 1}'
    echo '        services: {fretdesk: {}}'
    # A team of one data centre, so that its gangs run there.
    echo "      ${centre}erners: {quota: 24}"
  done
}

write_host() { # name
  local ip=${callers[$1]%:*}
  cat <<END
name: $1
data_centre: ${1%-*}
callers: ${callers[$1]}
peers: $ip:8081
platform: [127.7.0.1:9000]
peer_seeds: [127.7.1.1:8081, 127.7.1.2:8081, 127.7.2.1:8081, 127.7.2.2:8081]
END
}

is_ready() { answers_200 "${callers[$1]}/readyz"; }
all_ready() {
  local host
  for host in "${!daemon_pid[@]}"; do
    is_ready "$host" || return 1
  done
}
holder_of() { latest_holder "takeover of holder/$1 term=\([0-9]*\) committed=1" "$folder/$1"-?.errors; }
is_holder() { [ "$(holder_of "${1%-*}")" = "$1" ]; }

# same_answers NAME ARGUMENTS...: both tools print the same through every daemon that runs. The
# answer is kept in the file NAME.
same_answers() {
  local kept=$folder/$1 host build
  shift
  rm -f "$kept"
  for host in "${!daemon_pid[@]}"; do
    for build in old new; do
      tool "$build" "$@" --daemon "${callers[$host]}" >"$kept.$host.$build" || return 1
      [ -s "$kept" ] || cp "$kept.$host.$build" "$kept"
      cmp "$kept" "$kept.$host.$build" || return 1
    done
  done
  [ -s "$kept" ]
}

# all_at_revision BUILD HOST REVISION: what that tool tells when it asks that host.
all_at_revision() {
  [ "$(tool "$1" status --daemon "${callers[$2]}" | grep -c " revision=$3 ")" = "${#hosts[@]}" ]
}

expect_revision() { # revision
  local host build
  for host in "${hosts[@]}"; do
    for build in old new; do
      expect "the $build tool sees revision $1 on all daemons through $host (${build_of[$host]})" \
        wait_for 20 all_at_revision "$build" "$host" "$1"
    done
  done
  expect 'both tools show the same settings through every daemon' \
    same_answers "settings-$1" settings show --json
  expect 'both tools show the same origin of each value through every daemon' \
    same_answers "origin-$1" settings show --origin --data-centre east --team luthiers \
    --service fretdesk --json
  expect 'the settings at the top set each value' test "$(tr '{' '\n' <"$folder/origin-$1" |
    grep -c '"origin":"fleet"')" = 12
}

"$stand_ins/platform_stand_in" --listen 127.7.0.1:9000 & stand_in_pids+=($!)
for number in 1 2; do
  centre=$([ $number = 1 ] && echo east || echo west)
  "$stand_ins/worker_stand_in" 127.7.$number.10:9101 6 & stand_in_pids+=($!)
  "$stand_ins/minion_stand_in" --prefix "$centre-m" --count 3 --service-us 2000 \
    127.7.$number.20:9201 & stand_in_pids+=($!)
done
write_fleet >"$folder/fleet.yaml"
for host in "${hosts[@]}"; do
  write_host "$host" >"$folder/$host.yaml"
done
for host in east-1 west-1; do
  start_daemon "$host" "${build_of[$host]}"
done
for build in old new; do
  expect "the $build tool finds the settings valid" tool "$build" settings check "$folder/fleet.yaml"
done
expect 'the old tool applies settings through west-1 (new)' wait_for 20 \
  tool old settings apply "$folder/fleet.yaml" --who anna --note 'first settings' \
  --daemon "${callers[west-1]}"
for host in east-1 west-1; do
  expect "$host (${build_of[$host]}) becomes the holder" wait_for 30 is_holder "$host"
done
for host in east-2 west-2; do
  start_daemon "$host" "${build_of[$host]}"
done
expect 'all daemons are ready' wait_for 30 all_ready
expect_revision 1

say 'a change of the settings by the new tool'
sed 's/quota: 24/quota: 32/' "$folder/fleet.yaml" >"$folder/changed.yaml"
expect 'the new tool applies it through east-1 (old)' \
  tool new settings apply "$folder/changed.yaml" --expect-revision 1 --who berik --note 'more' \
  --daemon "${callers[east-1]}"
expect_revision 2
refuses_stale() { # build, host
  local code=0
  tool "$1" settings apply "$folder/fleet.yaml" --expect-revision 1 --daemon "${callers[$2]}" \
    >"$folder/stale.out" 2>&1 || code=$?
  [ "$code" = 1 ]
}
expect 'west-1 (new) refuses a stale change by the old tool' refuses_stale old west-1
expect 'east-1 (old) refuses a stale change by the new tool' refuses_stale new east-1

say 'requests through every daemon'
send_requests() { # host, count
  local number
  for ((number = 0; number < $2; number++)); do
    {
      curl -s -m 10 -o /dev/null -D - -H 'Sardinecourse-Team: luthiers' \
        -d "guitar $number" "http://${callers[$1]}/services/fretdesk/quote" || true
    } |
      tr -d '\r' | awk '
        /^HTTP/ { status = $2 }
        tolower($1) == "sardinecourse-outcome:" { outcome = $2 }
        END { print status ? status : "unreachable", outcome ? outcome : "-" }'
  done
}
for host in "${hosts[@]}"; do
  send_requests "$host" 20 >"$folder/requests-$host"
  expect "20 requests through $host (${build_of[$host]}) were answered 200 done" \
    test "$(grep -cx '200 done' "$folder/requests-$host")" = 20
done

say 'a gang in each data centre, submitted through a daemon of each build'
# field_of BUILD HOST TEAM KEY FIELD: one field of a job's record, as that tool gets it from that host.
field_of() {
  tool "$1" job show "$3" "$4" --json --daemon "${callers[$2]}" 2>/dev/null |
    tr -d ' "' | tr ',{}' '\n' | sed -n "s/^$5://p"
}
# all_tell TEAM KEY FIELD VALUE: through every daemon that runs and with both tools.
all_tell() {
  local host build
  for host in "${!daemon_pid[@]}"; do
    for build in old new; do
      [ "$(field_of "$build" "$host" "$1" "$2" "$3")" = "$4" ] || return 1
    done
  done
}
submit_gang() { # build, host, team, key, run time
  tool "$1" job submit --team "$3" --service fretdesk --key "$4" --members 2 --accelerators 8 \
    --run-time-ms "$5" --daemon "${callers[$2]}"
}
# The tool, the submitting daemon and the data centre's holder are of different builds.
expect 'west-2 (old) accepts one for the east' submit_gang new west-2 easterners sleeve-1 10000
expect 'west-1 (new) accepts one for the west' submit_gang old west-1 westerners sleeve-2 10000
expect 'both tools tell through every daemon that the first runs' \
  wait_for 20 all_tell easterners sleeve-1 state running
expect 'both tools tell through every daemon that the second runs' \
  wait_for 20 all_tell westerners sleeve-2 state running
expect 'the first is in the east' all_tell easterners sleeve-1 data_centre east
expect 'the second is in the west' all_tell westerners sleeve-2 data_centre west

say 'kill -9 of both holders, one of each build'
expect 'east-1 (old) is still the holder' is_holder east-1
expect 'west-1 (new) is still the holder' is_holder west-1
kill_daemon east-1
kill_daemon west-1
expect 'east-2 (new) takes over from the old build' wait_for 30 is_holder east-2
expect 'west-2 (old) takes over from the new build' wait_for 30 is_holder west-2
for host in east-1 west-1; do
  start_daemon "$host" "${build_of[$host]}"
done
expect 'the killed daemons are ready again' wait_for 30 all_ready
expect 'east-2 (new) accepts a job that is cancelled later' submit_gang old east-2 luthiers waves-1 600000
expect 'both tools tell through every daemon that it runs' \
  wait_for 20 all_tell luthiers waves-1 state running
expect 'the new tool cancels it through west-2 (old)' \
  tool new job cancel luthiers waves-1 --daemon "${callers[west-2]}"
expect 'both tools tell through every daemon that it is cancelled' \
  wait_for 20 all_tell luthiers waves-1 state cancelled
expect 'the first gang finished, as both tools tell through every daemon' \
  wait_for 40 all_tell easterners sleeve-1 state finished
expect 'the second gang finished, as both tools tell through every daemon' \
  wait_for 40 all_tell westerners sleeve-2 state finished
expect 'the first was started once' all_tell easterners sleeve-1 attempts 1
expect 'the second was started once' all_tell westerners sleeve-2 attempts 1

say 'planned stop of all daemons, then only the new build reads what both stored'
# keep_answers MOMENT
keep_answers() {
  local team
  expect "$1: both tools tell the same history of settings through every daemon" \
    same_answers "$1-history" settings history --json
  expect "$1: both tools show the same settings through every daemon" \
    same_answers "$1-show" settings show --json
  for team in "${teams[@]}"; do
    expect "$1: both tools list the same jobs of $team through every daemon" \
      same_answers "$1-jobs-$team" job list "$team" --json
  done
}
keep_answers before
stop_daemons "${hosts[@]}"
for host in "${hosts[@]}"; do
  start_daemon "$host" new
done
expect 'all daemons of the new build are ready' wait_for 30 all_ready
keep_answers after
for answer in history show "${teams[@]/#/jobs-}"; do
  expect "$answer is the same as before" cmp "$folder/before-$answer" "$folder/after-$answer"
done
sed 's/^/   /' "$folder/after-history"
stop_daemons "${hosts[@]}"

say 'B. a scheduling domain with a daemon of each build'

readonly site=127.7.3.1:9300
declare -rA domain_callers=([domain-old]=127.7.3.1:8080 [domain-new]=127.7.3.1:8090)
readonly domain_logs=("$folder/domain-old.log" "$folder/domain-new.log")

# All daemons listen on one address, so that one route leads to each.
write_domain_host() { # name
  local ip=${domain_callers[$1]%:*} port=${domain_callers[$1]#*:}
  cat <<END
name: $1
data_centre: zone
callers: ${domain_callers[$1]}
readiness: $ip:$((port + 1))
metrics: $ip:$((port + 2))
store: $site
END
}

start_domain_host() { start_daemon "domain-$1" "$1"; } # build
domain_ready() { answers_200 "${site%:*}:$((${domain_callers[$1]#*:} + 1))/api/ready"; }
domain_holder() {
  latest_holder '"event":"domain_takeover","term":\([0-9]*\),.*"committed":1' "${domain_logs[@]}"
}
is_domain_holder() { [ "$(domain_holder)" = "$1" ]; }

control() { curl -s -m 5 -d "$2" "http://$site/control/$1"; } # command, body
call() { # method, host, job, arguments of curl
  curl -s -m 5 -X "$1" -H 'Api-Key: k1' -H 'X-Deadline-Remaining: 3000' "${@:4}" \
    "http://${domain_callers[$2]}/one/$3"
}
submit() { # host, job, members, work
  control step "{\"name\":\"$2.0.0\",\"count\":$3,\"gang\":true,\"accelerators\":8,\"work_ms\":$4}" \
    >/dev/null
  [ "$(call POST "$1" "$2" -o /dev/null -w '%{http_code}' \
    -d "{\"Spec\":\"text\",\"Steps\":[{\"Count\":$3,\"Gang\":true,\"Gpu\":8,\"EstimateMs\":$4}]}")" = 200 ]
}
# domain_tells JOB STATE: through every daemon of the domain that runs.
domain_tells() {
  local host
  for host in "${!daemon_pid[@]}"; do
    call GET "$host" "$1" | tr ',{}' '\n' | grep -qx "\"State\":\"$2\"" || return 1
  done
}

touch "${domain_logs[@]}"
"$stand_ins/site_stand_in" --listen "$site" --workers 6 & stand_in_pids+=($!)
expect 'the site stand-in answers' wait_for 20 answers_200 "$site/control/report"
control config "{\"Version\":1,\"Routes\":[{\"Name\":\"r1\",\"Host\":\"${site%:*}\",\"PathPrefix\":\"/one/\",
  \"Service\":\"s1\",\"Priority\":1,\"MaxAttempts\":3,\"Stretch\":3.0,\"TargetDurationMs\":1000}],
  \"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"k1\"]}]}" >/dev/null
for build in old new; do
  write_domain_host "domain-$build" >"$folder/domain-$build.yaml"
  start_domain_host "$build"
  expect "the $build daemon is ready" wait_for 30 domain_ready "domain-$build"
  expect 'the old daemon holds the domain' wait_for 30 is_domain_holder domain-old
done

say 'a job through each daemon'
for build in old new; do
  expect "the $build daemon accepts a job" submit "domain-$build" "first-$build" 2 300
done
for build in old new; do
  expect "both daemons tell that the job of the $build one completed" \
    wait_for 30 domain_tells "first-$build" completed
done
jobs=(first-old first-new)
starts=4

# One build's daemon is killed or stopped while it holds the domain and runs a gang that was
# submitted through the other one; the other one finishes it.
hand_over() { # how, build of the holder, build of the next one, work
  local job=$1-$2
  say "$1 of the $2 daemon, which holds the domain"
  expect "the $3 daemon accepts a gang" submit "domain-$3" "$job" 4 "$4"
  expect 'both daemons tell that it runs' wait_for 30 domain_tells "$job" running
  expect "the $2 daemon holds the domain" is_domain_holder "domain-$2"
  if [ "$1" = kill ]; then
    kill_daemon "domain-$2"
  else
    stop_daemons "domain-$2"
  fi
  expect "the $3 daemon takes the domain over" wait_for 30 is_domain_holder "domain-$3"
  expect "the $3 daemon accepts another job" wait_for 30 submit "domain-$3" "$job-after" 1 300
  expect 'the gang completed' wait_for 40 domain_tells "$job" completed
  expect 'the other job completed' wait_for 40 domain_tells "$job-after" completed
  start_domain_host "$2"
  expect "the $2 daemon is ready again" wait_for 30 domain_ready "domain-$2"
  expect 'it tells the same of the gang' wait_for 30 domain_tells "$job" completed
  jobs+=("$job" "$job-after")
  starts=$((starts + 5))
}
hand_over kill old new 6000
hand_over kill new old 6000
hand_over stop old new 4000
hand_over stop new old 4000

say 'the report of the site'
nothing_runs() { control report '{}' | grep -q '"running":\[\]'; }
expect 'no task runs any more' wait_for 30 nothing_runs
control report '{}' >"$folder/report"
sed 's/^/   /' "$folder/report"
echo
expect 'it names no violation' grep -q '"violations":\[\]' "$folder/report"
expect "$starts tasks were started, none twice" grep -q "\"starts\":$starts[,}]" "$folder/report"
stop_daemons domain-old domain-new

say 'the logs of both builds, read by both tools'
# read_logs BUILD NAME ARGUMENTS...: keeps what that tool prints of both logs.
read_logs() {
  tool "$1" "${@:3}" "${domain_logs[@]}" >"$folder/$2.$1" 2>"$folder/$2.$1.errors" &&
    [ ! -s "$folder/$2.$1.errors" ]
}
finds_job() { # build, job
  read_logs "$1" "logs-$2" logs --json --job "$2"
}
explains_job() { # build, job
  read_logs "$1" "explain-$2" explain --logs "$2" &&
    read_logs "$1" "explain-json-$2" explain --json --logs "$2" &&
    grep -q "\"job\":\"$2\"" "$folder/explain-json-$2.$1"
}
same_events() { # job
  cmp "$folder/logs-$1.old" "$folder/logs-$1.new" &&
    cmp "$folder/explain-json-$1.old" "$folder/explain-json-$1.new"
}
# undescribed BUILD: counts by name the events that a tool prints as plain fields, since it has no
# sentence for them.
undescribed() {
  sed -n 's/^[^ ]* [^ ]*: \([a-z_]*\) [a-z_]*=.*/\1/p' "$folder/logs.$1" | sort | uniq -c
}
for build in old new; do
  expect "the $build tool prints the events" read_logs "$build" logs logs
  expect "the $build tool prints the events as JSON" read_logs "$build" logs-json logs --json
  expect "the $build tool prints one for each line of the logs" \
    test "$(wc -l <"$folder/logs-json.$build")" = "$(cat "${domain_logs[@]}" | wc -l)"
done
expect 'both tools print the same events' cmp "$folder/logs-json.old" "$folder/logs-json.new"
expect 'both tools have sentences for the same events' \
  test "$(undescribed old)" = "$(undescribed new)"
for job in "${jobs[@]}"; do
  for build in old new; do
    expect "the $build tool finds the events of $job" finds_job "$build" "$job"
    expect "the $build tool explains $job and names it" explains_job "$build" "$job"
  done
  expect "both tools print the same events of $job" same_events "$job"
done
echo '   the new tool on a gang that the old daemon started and the new one finished:'
grep -v ' show was answered ' "$folder/explain-kill-old.new" | sed 's/^/   /'

say 'end'
[ "$failures" -eq 0 ] && echo 'mixed builds: 0 checks failed' || echo "mixed builds: $failures checks failed"
exit "$((failures > 0))"
