#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. They are plain modules of Node.js without
# dependencies, so that a check of their syntax suffices.
set -e
cd "$(dirname "$0")/.."
for file in review/lib2/*.mjs review/other2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
    if [ -e "$file" ]; then
        node --check "$file"
    fi
done
