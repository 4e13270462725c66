#!/bin/sh
# Checks the stand-ins and the cases. They need only the standard library of Python.
set -eu
cd "$(dirname "$0")"
for file in lib/world.py ?/case.py; do
  [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
