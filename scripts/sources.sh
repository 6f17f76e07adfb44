#!/usr/bin/env bash
# Prints all hand-written C++ files.
set -euo pipefail
cd "$(dirname "$0")/.."
find packages platform -name '*.cpp' -o -name '*.h' | grep -v '/generated/' | LC_ALL=C sort
