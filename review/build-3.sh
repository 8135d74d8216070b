#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 and of one trial. They are plain modules for Node.js without dependencies, so they are only
# checked; the program itself is built by the line `build` of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs trials/long-prompt-lists.mjs; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
