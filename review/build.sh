#!/bin/sh
# The stand-ins of the cases are plain modules of Node.js 20 without dependencies: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
