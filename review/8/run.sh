#!/usr/bin/env bash
# Gateways must serve again after a restart beside an entry of another writer.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
