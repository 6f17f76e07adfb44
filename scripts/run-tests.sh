#!/usr/bin/env bash
# Runs the test programs of a build folder in parallel. --unit excludes the tests tagged [process].
# The tests named in KNOWN-RED.txt (lines "test: NAME") are skipped and printed.
# Programs named test-*-serial run after all others, one at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
filter=""
if [ "${2:-}" = "--unit" ]; then
    filter="~[process]"
fi

if [ -e KNOWN-RED.txt ]; then
    while IFS= read -r name; do
        echo "known red, passed over: $name"
        filter+="~\"$name\""
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

# The tests tagged [process] start many programs, so half of the cores are left to these.
jobs=$((($(nproc) + 1) / 2))
export filter logs
run_one() {
    local name
    name=$(basename "$1")
    local status=0
    "$1" ${filter:+"$filter"} > "$logs/$name.log" 2>&1 || status=$?
    echo "$status" > "$logs/$name.status"
}
export -f run_one
mapfile -t programs < <(printf '%s\n' "$build"/bin/test-* | grep -v -- '-serial$')
printf '%s\0' "${programs[@]}" | xargs -0 -P "$jobs" -I {} bash -c 'run_one "$1"' _ {}
# Tests of the memory of processes under load run alone, one after the other.
for it in "$build"/bin/test-*-serial; do
    if [ -e "$it" ]; then
        run_one "$it"
    fi
done

passed=0
failed=0
for it in "$build"/bin/test-*; do
    name=$(basename "$it")
    echo "== $name"
    cat "$logs/$name.log"
    if [ "$(cat "$logs/$name.status")" -eq 0 ]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
