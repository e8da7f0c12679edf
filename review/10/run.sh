#!/usr/bin/env bash
# An answer whose head a runner has spoiled must not reach the requester as it is.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
