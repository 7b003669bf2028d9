#!/bin/bash
# Checks the stand-ins and scripts of the cases 6 to 10. They are plain JavaScript for the Node.js of the project, so nothing has
# to be compiled; the program itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
test -f ../target/elmpost-node.cjs || { echo 'target/elmpost-node.cjs is missing: run the build of deploy/system.toml first' >&2; exit 2; }
for file in standins-2/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
