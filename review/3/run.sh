#!/usr/bin/env bash
# All machines are stopped and started in turn, while clients read long streams.
exec node "$(dirname "$0")/case.mjs"
