#!/usr/bin/env bash
# Runs clang-tidy on all hand-written sources in parallel. Test files are excluded because of the code in Catch's macros.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
scripts/sources.sh | grep '\.cpp$' | grep -v '/tests/' | grep -v '/testmain/' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
