#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/9 to review/13.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/bed-3 -B review/build/bed-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build review/build/bed-3 --target review_bed_3 -- -j "${BERYLHILL_JOBS:-8}"
