#!/bin/sh
# Writes record.txt beside it, by case.py. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same loss of two disks without the replacement before it. LATER_S=3: the loss 3 s after the old machine has ended.
exec python3 "$(dirname "$0")/case.py"
