#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library only: nothing is compiled. Checks that they can run.
cd "$(dirname "$0")" || exit 2
python3 - <<'P' || { echo "python3 (3.11 or later) is needed"; exit 1; }
import ast, asyncio, glob, sys, tomllib
asyncio.timeout
for name in ['harness.py', *glob.glob('[1-5]/*.py')]:
    with open(name, encoding='utf-8') as file:
        ast.parse(file.read(), name)
P
