#!/usr/bin/env bash
# Runs every pair of the bench's troubles (faults and planned changes) at the same time, several pairs
# per day, and prints the days on which a rule was broken.
# Usage: play_pairs.sh BENCH SITE FOLDER [SEED]
# BENCH is the platform's bench, SITE one of its site files; days and reports are written to FOLDER.
set -euo pipefail
cd "$(dirname "$0")/../.."

bench=$1
site=$2
folder=$3
seed=${4:-1}
mkdir -p "$folder"

# The troubles, without their start times; @c0, @s0 and @z0 stand for a site's first names.
troubles=(
  'kind = "burst", x = 2.5, for_s = 4.0'
  'kind = "give_up", share = 0.3, for_s = 4.0'
  'kind = "give_up", share = 0.3, for_s = 4.0, how = "prompt"'
  'kind = "poison", share = 0.1, for_s = 4.0, class = "@c0"'
  'kind = "srv_slow", share = 0.15, x = 5.0, for_s = 5.0'
  'kind = "srv_grey", share = 0.15, x = 0.6, for_s = 5.0, how = "errors"'
  'kind = "srv_grey", share = 0.15, x = 1.0, for_s = 5.0, how = "mute"'
  'kind = "srv_cut", share = 0.2, for_s = 5.0, how = "reborn"'
  'kind = "srv_cut", share = 0.2, for_s = 5.0, how = "one_way"'
  'kind = "scale_in", share = 0.1, how = "spot"'
  'kind = "scale_in", share = 0.1'
  'kind = "scale_out", share = 0.2, gap_s = 1.0'
  'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader power"'
  'kind = "node_kill", on = "core", count = 1, how = "giver drain"'
  'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "renewed"'
  'kind = "node_slow", share = 0.3, x = 5.0, for_s = 5.0'
  'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "leader"'
  'kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 3.0'
  'kind = "add_nodes"'
  'kind = "replace_core", x = 1.0'
  'kind = "after_ack_kill", how = "taken", for_s = 3.0'
  'kind = "reset_conns", share = 0.5, x = 0.8'
  'kind = "zone_cut", for_s = 5.0'
  'kind = "core_cut", count = 1, for_s = 5.0, how = "leader one_way"'
  'kind = "node_cut", share = 0.2, for_s = 5.0, how = "servers reborn", service = "@s0"'
  'kind = "lossy", x = 0.03, for_s = 5.0, zone = "@z0"'
  'kind = "platform_down", for_s = 4.0, how = "silent"'
  'kind = "platform_down", for_s = 4.0, how = "nodes reset leader"'
  'kind = "platform_slow", x = 50.0, for_s = 4.0'
  'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"'
  'kind = "platform_compact", x = 3.0, for_s = 5.0'
  'kind = "config_change", how = "quota down"'
  'kind = "revoke", count = 2, gap_s = 0.5'
  'kind = "applied_late", x = 0.3, for_s = 5.0, how = "all"'
  'kind = "clock_step", share = 0.4, x = 2000.0, for_s = 5.0, how = "ahead"'
  'kind = "cloud_down", for_s = 4.0, how = "silent"'
  'kind = "cloud_slow", x = 50.0, for_s = 4.0'
)
planned='"(add_nodes|scale_out|scale_in|roll_term|config_change|revoke|hup)"'

# One pair every eight seconds, so that the longest trouble ends before the next pair starts.
pairs_a_day=4
pair_s=8

number=0
in_day=0
plan=
faults=

end_day() {
  [ "$in_day" -gt 0 ] || return 0
  number=$((number + 1))
  {
    printf 'name = "pairs-%03d"\nslot = "trouble"\nlength_s = %d.0\n' "$number" $((in_day * pair_s + 4))
    printf 'plan = [\n%s]\nfaults = [\n%s]\n' "$plan" "$faults"
  } >"$folder/pairs-$(printf '%03d' "$number").toml"
  in_day=0
  plan=
  faults=
}

add() {
  local line="  { at = $1, $2 },"$'\n'
  if [[ "$2" =~ $planned ]]; then plan+=$line; else faults+=$line; fi
}

# Pairs in an order drawn from the seed, so that each seed gives every pair other neighbours.
list=$(for ((first = 0; first < ${#troubles[@]}; ++first)); do
  for ((second = first; second < ${#troubles[@]}; ++second)); do
    echo "$first $second"
  done
done | awk -v seed="$seed" 'BEGIN { srand(seed) } { print rand(), $0 }' | sort -n | cut -d' ' -f2,3)
while read -r first second; do
  add "$((in_day * pair_s + 2)).0" "${troubles[first]}"
  add "$((in_day * pair_s + 3)).0" "${troubles[second]}"
  in_day=$((in_day + 1))
  [ "$in_day" -lt "$pairs_a_day" ] || end_day
done <<<"$list"
end_day

export bench site seed
find "$folder" -name 'pairs-*.toml' | sort | xargs -P 4 -I{} sh -c \
  '"$bench" run "$site" {} --seed "$seed" --no-cpu --jobs 1 --report {}.json >{}.out 2>&1 || true'
echo "$number days; without a complete report, with a broken rule, or with a process that did not end:"
{
  find "$folder" -name 'pairs-*.toml' | while read -r day; do
    grep -q '"breaks": {}' "$day.json" && grep -q '"fault": null' "$day.json" || echo "$day"
  done
  grep -l 'still there at the end' "$folder"/*.out || true
} | sort | uniq | grep . || echo none
