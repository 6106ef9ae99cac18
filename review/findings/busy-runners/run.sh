#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout --kill-after=5 110 python3 case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
