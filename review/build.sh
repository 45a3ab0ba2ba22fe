#!/bin/sh
# The stand-ins are plain modules for Node.js that need no build; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
