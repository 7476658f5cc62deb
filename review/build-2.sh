#!/bin/sh
# Builds what the scripts of the second review start beside the program itself:
# the project's stand-ins of store and endpoints, and those in review/lib2.
# They are Python; the build compiles and imports them with the dependencies
# that the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'target/deps is missing: build the deploy file first' >&2; exit 1; }
for file in standins/fleet/*.py review/lib2/*.py review/*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review/lib2" python3 -c '
import standins.fleet
import small_fleet
'
echo 'stand-ins built'
