#!/bin/sh
# Writes record.txt beside it, by case.py. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the release.
exec python3 "$(dirname "$0")/case.py"
