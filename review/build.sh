#!/bin/sh
# The stand-ins of the scripts are Python files that use the standard library only, so
# nothing has to be compiled. This checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
