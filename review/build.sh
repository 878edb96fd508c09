#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
for path in ["standins.py"] + sorted(glob.glob("[0-9]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
