#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs of their own,
# and none of the project's stand-ins is used, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins-2/*.py [6-9]/case.py 10/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    try:
        text = open(path, encoding="utf-8").read()
    except FileNotFoundError:
        continue
    compile(text, path, "exec")
CHECK
