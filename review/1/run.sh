#!/usr/bin/env bash
# Plays the case poison-job; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sardinecoursed ] && [ -x review/out/case ] || exit 2
review/out/case poison-job review/stand_in/names.json review/1/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
