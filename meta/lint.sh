#!/usr/bin/env bash
# Runs the linter over the given sources. A clean result is kept under a key made of everything it depends on, so that
# unchanged files are not linted again. Precondition: build/release is configured; only what is built there is kept.
set -euo pipefail
cd "$(dirname "$0")/.."

build=build/release
results=${BERYLHILL_LINT_RESULTS:-${XDG_CACHE_HOME:-$HOME/.cache}/berylhill/lint}

digest() { sha256sum | cut -d' ' -f1; }

# Prints "SOURCE<tab>FILE" for each project file that a source consists of.
dependencies() {
    ninja -C "$build" -t deps | awk -v root="$PWD/" '
        /^[^ ]/ { source = "" }
        /^ / {
            file = $1
            # A compiler cache may name files relative to the build folder.
            if (sub(/^\.\.\/\.\.\//, "", file) == 0) {
                if (index(file, root) != 1) next
                file = substr(file, length(root) + 1)
            }
            if (file ~ /^\.\.\//) next
            if (source == "") source = file
            print source "\t" file
        }'
}

# Prints "SOURCE<tab>COMMAND" for each compiled source.
commands() {
    sed -n -e 's/^ *"command": "\(.*\)",$/\1/p' "$build/compile_commands.json" | sed -e "s|$PWD/||g" -e "s|$PWD|.|g" -e "s|^/[^ ]*/ccache ||" |
        awk '{ print $NF "\t" $0 }'
}

# Prints "SOURCE<tab>KEY": the key of a source is the digest of the versions, the checks, its command and its files.
keys() {
    local common
    common=$( { clang-tidy --version; dpkg-query -W; cat .clang-tidy; } | digest)
    {
        commands
        dependencies | sort -u | awk -F'\t' 'NR == FNR { sum[$2] = $1; next } { print $1 "\t" $2 " " sum[$2] }' \
            <(git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' | while read -r it; do [ -f "$it" ] && echo "$it"; done |
                xargs sha256sum | awk '{ print $1 "\t" $2 }') -
    } | sort | awk -F'\t' -v common="$common" '
        function finish() { if (files > 0) print source "\t" text; files = 0 }
        $1 != source { finish(); source = $1; text = common }
        { text = text " " $2; files += $2 !~ /^\// }
        END { finish() }' |
        while IFS=$'\t' read -r source text; do
            printf '%s\t%s\n' "$source" "$(printf '%s' "$text" | digest)"
        done
}

# Lints one source and keeps the result if it is clean.
lint_one() {
    local source=$1 key=$2
    if [ -n "$key" ] && [ -e "$results/$key" ]; then
        return 0
    fi
    clang-tidy --quiet -p "$build" "$source" 2>/dev/null || return 1
    [ -z "$key" ] || : >"$results/$key"
}
export -f lint_one
export build results

mkdir -p "$results"
printf '%s\n' "$@" | awk -F'\t' 'NR == FNR { key[$1] = $2; next } { print $1 "\t" key[$1] }' <(keys) - |
    xargs -P "${BERYLHILL_JOBS:-$(nproc)}" -d '\n' -n 1 bash -c 'IFS=$'"'\t'"' read -r source key <<<"$0"; lint_one "$source" "$key"'
