#!/usr/bin/env bash
# The stand-ins of the cases are Python programs of the standard library: there is nothing to build but to check them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'PY'
import sys

assert sys.version_info >= (3, 11), "the cases need Python 3.11 or later"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
