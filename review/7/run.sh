#!/usr/bin/env bash
# Shows case 7. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")" && python3 -c 'import tomllib' || exit 2
exec python3 run.py
