#!/bin/bash
# Builds the stand-ins of the scripts under review/: they are Python, which is only checked.
cd "$(dirname "$0")" || exit 2
for f in standin.py ?/case.py; do
    [ -f "$f" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f" || exit 1
done
