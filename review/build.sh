#!/usr/bin/env bash
# Checks the stand-ins of the cases. They use only Python's standard library and run in
# the process of a case, so that there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
