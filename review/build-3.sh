#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the daemon: stand-ins in plain JavaScript, which need
# no compiler and no dependency, so that this only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib3/*.mjs 1[1-5]/*.mjs; do
    [ -e "$file" ] || continue
    node --check "$file"
done
echo "The stand-ins are ready."
