#!/usr/bin/env bash
# Prints the takeovers of a scheduling domain from the log of a day that the users' bench played with
# --log all: when, by which host, how long it loaded, how many jobs, and when its first start was ordered.
# Usage: read_takeovers.sh LOG
set -euo pipefail

awk '
function text(name,    found) {
  found = match($0, "\"" name "\":(\"[^\"]*\"|-?[0-9]+)")
  if (!found) return ""
  found = substr($0, RSTART + length(name) + 3, RLENGTH - length(name) - 3)
  gsub(/"/, "", found)
  return found
}
function show() {
  if (term != "")
    printf "%10.3f  term %-4s %-24s from %-24s loaded after %6s s, %5s jobs; first start after %6s s\n",
      since, term, host, previous, loaded, jobs, started
}
/"event":"domain_takeover"/ {
  if (text("committed") == 1) {
    show()
    ++takeovers
    since = $1; host = $2; term = text("term"); previous = text("previous_holder")
    loaded = jobs = started = "-"
  } else {
    ++refused
  }
}
/"event":"domain_loaded"/ && $2 == host { loaded = sprintf("%.3f", $1 - since); jobs = text("jobs") }
/"event":"start_ordered"/ && started == "-" && text("term") == term { started = sprintf("%.3f", $1 - since) }
/"event":"domain_lost"/ { ++lost[text("cause")] }
END {
  show()
  printf "takeovers: %d, refused by the store: %d\n", takeovers, refused
  for (cause in lost) printf "lost, %s: %d\n", cause, lost[cause]
}' "$1"
