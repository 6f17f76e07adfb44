#!/bin/sh
# Prepares the stand-ins of the third review (cases 11 to 15). They are Python scripts on the standard library alone, so there is nothing
# to compile; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for it in harness3.py 1[1-5]/case.py; do
    [ -f "$it" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
