#!/usr/bin/env bash
# A gateway whose descriptors were used up must take new channels again.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
