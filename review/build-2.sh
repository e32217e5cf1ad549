#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later. They are Python and need no build: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11")
for name in ["lib-2/standins.py", *(str(path) for path in pathlib.Path(".").glob("[0-9]*/run.py"))]:
    compile(pathlib.Path(name).read_text(), name, "exec")
PYTHON
