#!/bin/sh
# TROUBLE=0: the same uploads without the burst.
exec python3 "$(dirname "$0")/case.py"
