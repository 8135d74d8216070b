#!/usr/bin/env bash
# Prepares what the cases start. The stand-ins are plain modules without dependencies, so they are only checked.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
