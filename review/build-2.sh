#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the shipped
# program: one program with the stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/bed-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 --target review_cell -j "${BERYLHILL_JOBS:-8}"
