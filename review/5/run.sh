#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 2 110 python3 case.py
code=$?
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
