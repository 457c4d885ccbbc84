#!/usr/bin/env bash
# A route with an unfinished job is taken out, then the owner is restarted.
# Exits with 1 if the job is abandoned, 0 if it goes on, 2 if it couldn't run.
cd "$(dirname "$0")/../.."
[ -x target/bin/berylhill ] && [ -x target/review-2/review_cell ] || exit 2
exec timeout 115 target/review-2/review_cell route_taken_out target/bin/berylhill review/5/record.txt
