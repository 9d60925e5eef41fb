#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
case "${TROUBLE:-1}" in
0) trouble=0 ;;
*) trouble=1 ;;
esac
TROUBLE=$trouble exec python3 -B "$(dirname "$0")/run.py"
