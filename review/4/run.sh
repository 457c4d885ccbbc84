#!/usr/bin/env bash
# A route moves to another service while tasks of a job run on the former one.
# Exits with 1 if tasks that are done run again, 0 if not, 2 if it couldn't run.
# TROUBLE=0: the same without the disruption. review_cell reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.."
[ -x target/bin/berylhill ] && [ -x target/review-2/review_cell ] || exit 2
exec timeout 115 target/review-2/review_cell route_moved target/bin/berylhill review/4/record.txt
