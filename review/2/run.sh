#!/usr/bin/env bash
# Another writer adds an entry to the list of servers whose address cannot be used.
exec node "$(dirname "$0")/case.mjs"
