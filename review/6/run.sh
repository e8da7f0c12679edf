#!/usr/bin/env bash
# A stream that is resumed at a runner which answers with a failure must not end as complete.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
