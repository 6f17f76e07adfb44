#!/bin/sh
# TROUBLE=0: the same without the change of the configuration.
exec python3 "$(dirname "$0")/case.py"
