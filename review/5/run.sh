#!/usr/bin/env bash
# The link to the only minion of a kind fails five times and more under a task.
# Exits with 1 if the job is shown as failed, 0 if not, 2 if it couldn't run.
# TROUBLE=0: the same without the disruption. review_cell reads it.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.."
[ -x target/bin/berylhill ] && [ -x target/review-2/review_cell ] || exit 2
exec timeout 115 target/review-2/review_cell failing_link target/bin/berylhill review/5/record.txt
