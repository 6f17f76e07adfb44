#!/bin/sh
# TROUBLE=0: the same without the freeze.
exec python3 "$(dirname "$0")/case.py"
