#!/usr/bin/env bash
# Checks what the scripts of cases 11 to 15 need. Their stand-ins are plain Python that
# uses the standard library only, so nothing has to be compiled or fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
test -d target/deps
for file in review/lib3/*.py review/1[1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
