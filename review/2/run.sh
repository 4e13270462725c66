#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 -B case.py
code=$?
[ "$code" -eq 0 ] && exit 0
[ "$code" -eq 10 ] && exit 1
exit 2
