#!/usr/bin/env bash
# The stand-ins of the cases are Python modules: checks that they compile, and that the router of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/lib/*.py review/[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
test -x target/programs/entry/nutmegtally-entry
