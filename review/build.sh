#!/usr/bin/env bash
# Builds the programs of the review's scripts and the project's stand-ins that they use, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j"${BERYLHILL_JOBS:-8}"
