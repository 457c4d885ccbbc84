#!/usr/bin/env bash
# The one entry point for people and CI; README.md names its commands.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
    cat <<'T'
usage: meta/berylhill.sh COMMAND
  build [PRESET]          configure and build (release, asan, tsan)
  test [PRESET]           all tests, through CTest
  format [--check]        run the formatter, or only check
  lint [FILE...]          run the linter over all sources, or some; keeps clean results
  bench                   print one `name=value unit` line for each figure
  demo                    install, build, run both customers' samples
  scenario FILE [--seed N] [--runs M]
T
}

sources() { git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' | while read -r it; do [ -f "$it" ] && echo "$it"; done; }

configure() { [ -f "build/$1/build.ninja" ] || cmake --preset "$1" >/dev/null; }

build() {
    local preset=${1:-release}
    configure "$preset"
    cmake --build --preset "$preset" -- ${BERYLHILL_JOBS:+-j"$BERYLHILL_JOBS"}
}

run_tests() {
    local preset=${1:-release}
    build "$preset"
    ctest --preset "$preset" -j "${BERYLHILL_JOBS:-4}" || only_known_red "$preset"
}

# Whether every test that failed is listed in KNOWN-RED.txt; prints these.
only_known_red() {
    local failed name
    failed=$(cut -d: -f2 "build/$1/Testing/Temporary/LastTestsFailed.log") || return 1
    [ -n "$failed" ] || return 1
    for name in $failed; do
        grep "^$name |" KNOWN-RED.txt || return 1
    done
    echo "failed and known to be red: $(echo $failed)"
}

format() {
    if [ "${1:-}" = --check ]; then
        sources | xargs clang-format --dry-run --Werror
    else
        sources | xargs clang-format -i
    fi
}

lint() {
    configure release
    local files=("$@")
    if [ "${#files[@]}" -eq 0 ]; then
        mapfile -t files < <(sources | grep '\.cpp$')
    fi
    meta/lint.sh "${files[@]}"
}

command=${1:-}
shift || true
case "$command" in
    build) build "$@" ;;
    test) run_tests "$@" ;;
    format) format "$@" ;;
    lint) lint "$@" ;;
    bench) build release >&2; build/release/bin/bench "$@" ;;
    demo) meta/install-dependencies.sh; build release; build/release/bin/demo --binary build/release/bin/berylhill --stand-ins build/release/bin/stand_ins --samples samples "$@" ;;
    scenario) build release >&2; build/release/bin/scenario "$@" ;;
    *) usage; exit 2 ;;
esac
