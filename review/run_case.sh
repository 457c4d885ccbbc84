#!/usr/bin/env bash
# Runs a script's program: PROGRAM FOLDER, both relative to review/. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/.." || exit 2
program=review/build/bin/$1
[ -x "$program" ] && [ -x target/bin/berylhill ] || exit 2
timeout -k 5 115 "$program" target/bin/berylhill "review/$2"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
