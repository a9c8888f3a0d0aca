#!/usr/bin/env bash
# Loses the answer to one write of the store; see claim.txt. TROUBLE=0 loses none.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 110 review/bin-3/pending_case "$folder" review/14/record.txt
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
