#!/usr/bin/env bash
# Prepares what the scripts of the third review start: the stand-ins are Python programs of the standard library, which need no build, so
# this checks that they can be run. The router comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "build-3: python3 is missing" >&2; exit 1; }
python3 - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("build-3: python 3.11 or newer is needed")
for source in sorted([*pathlib.Path("lib-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]):
    compile(source.read_text(), str(source), "exec")
    print("build-3: checked", source)
CHECK
