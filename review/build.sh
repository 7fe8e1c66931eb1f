#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python programs without dependencies: nothing to compile.
set -euo pipefail
cd "$(dirname "$0")/standins"
python3 -c "import sys; assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'"
for file in *.py; do python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"; done
