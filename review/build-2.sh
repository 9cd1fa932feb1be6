#!/usr/bin/env bash
# Prepares the stand-ins of the second review. They are Python of the standard library, which only has to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.py {6,7,8,9,10}/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
