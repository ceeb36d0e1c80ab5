#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy
# file. Their stand-ins are one Python module without dependencies, so there is nothing to
# compile: it is only checked. No stand-in of the project itself is used.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
for path in sorted(glob.glob("standins-2/*.py") + glob.glob("[0-9]*/case.py")):
    with open(path) as file:
        ast.parse(file.read(), path)
import tomllib
PY
