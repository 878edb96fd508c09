#!/usr/bin/env bash
# Checks the stand-ins of review/11 to review/15, which need no build: Python 3 and its standard
# library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins3.py 1[1-5]/*.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
