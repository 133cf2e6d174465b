#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start beside the deployed program: stand-ins in Python 3, of its standard
# library alone. They are only compiled here, so that an error shows before a case runs.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 > /dev/null
for file in review/stand_ins_2/*.py review/[4-8]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
