#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are Python programs that need only the
# standard library, so this checks the interpreter and compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for program in standins-3/*.py 1[1-5]/play.py; do
    [ -e "$program" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$program" "$out/$(echo "$program" | tr / -)c"
done
