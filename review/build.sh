#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that use the standard library only. Nothing is compiled; this checks
# that Python is there and that it reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/fleet.py 2/case.py 3/case.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
