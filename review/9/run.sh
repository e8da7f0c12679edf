#!/usr/bin/env bash
# A request that has run must not be answered 503, which promises that it has not.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
