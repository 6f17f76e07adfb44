#!/usr/bin/env bash
# Runs clang-tidy over all hand-written sources, a few files at a time. Test files follow Catch's macros and are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
scripts/sources.sh | grep '\.cpp$' | grep -v '/tests/' | grep -v '/testmain/' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
