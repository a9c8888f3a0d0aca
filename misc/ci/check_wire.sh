#!/usr/bin/env bash
# Fails when a name of the users' platform's protocol occurs outside the folders that may use it.
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly WORDS='rows-tx|rows-get|rows-feed|run-start|run-stop|AckCursor|FencingToken|ExpectedRev|SetKeys|DependsOn|ColdLeftMs|DeadlineMs|ClockMs|PathPrefix|ApiKeys|X-Deadline-Remaining|X-Expect-Instance|Api-Key|AntiAffinity|EstimateMs|MaxAttempts|TargetDurationMs'
if git ls-files '*.h' '*.cpp' | grep -vE '^(platform|tests)/' | xargs grep -nE "\"($WORDS)|/api/"; then
  echo 'names of the platform protocol belong in platform/' >&2
  exit 1
fi
