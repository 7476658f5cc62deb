#!/bin/sh
# Builds the stand-ins of the cases. They are Python without dependencies, so
# there is nothing to compile; this checks that each file can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
