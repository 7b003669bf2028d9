#!/usr/bin/env bash
# The stand-ins and the cases are plain JavaScript without dependencies; nothing is compiled. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
