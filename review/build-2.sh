#!/bin/sh
# The stand-ins of review/6 to review/10 are Python scripts that use the standard library alone: nothing is compiled. This checks
# that they can be run and that the program of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
for it in review/harness2.py review/[6-9]/case.py review/10/case.py; do
    [ ! -f "$it" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
[ -x target/bin/galenabarrowd ] || { echo "target/bin/galenabarrowd is missing: run the build of deploy/system.toml first" >&2; exit 1; }
