#!/usr/bin/env bash
# Builds what the scripts of this review start besides target/. Their stand-ins are Python programs (common-3/), which
# need no build; this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/*.py [0-9]*/run.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
EOF
