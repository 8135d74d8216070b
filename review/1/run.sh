#!/usr/bin/env bash
# The store comes back from an older copy after the order lease has changed hands.
exec node "$(dirname "$0")/case.mjs"
