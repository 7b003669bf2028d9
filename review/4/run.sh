#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
command -v node > /dev/null || exit 2
exec node review/4/case.mjs
