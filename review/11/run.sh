#!/usr/bin/env bash
# Cuts off a worker twice, which crashes behind the first cut; see claim.txt. TROUBLE=0 does neither.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 review/bin-3/lease_case "$folder" review/11/record.txt
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
