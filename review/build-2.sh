#!/bin/sh
# Prepares the scripts of review/6 to review/10. Their stand-ins, in review/lib2 and in
# the folders of the cases, are plain Python that needs the standard library only.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11 or later")
for path in [Path("lib2/mesh.py"), *sorted(Path(".").glob("[0-9]*/case.py"))]:
    if path.parent.name not in "12345":
        ast.parse(path.read_text(), str(path))
PY
