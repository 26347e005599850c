#!/usr/bin/env bash
# Checks that the stand-ins can be run. They are scripts of Python's standard library (3.9 or later),
# so there is nothing to compile; the nodes are what the deploy file's build has put into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'P'
import pathlib
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
P
