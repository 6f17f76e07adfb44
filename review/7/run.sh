#!/bin/sh
# TROUBLE=0: the same without the release.
exec python3 "$(dirname "$0")/case.py"
