#!/usr/bin/env bash
# A daemon is stopped as planned while it relays streams that have neither a length nor chunks.
exec node "$(dirname "$0")/case.mjs"
