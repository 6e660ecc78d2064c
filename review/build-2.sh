#!/usr/bin/env bash
# Builds the stand-ins that the cases of REPORT-2.md start. All of them are Python in review/lib2 and
# need no build: this only checks that they can be compiled and that Python is there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib2/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins: ok"
