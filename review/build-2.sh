#!/bin/sh
# Builds what the cases review/6 to review/10 start. Their own stand-ins (review/stand-ins-2 and the cases' folders) are plain
# JavaScript for Node.js and need no build; the programs under test are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
