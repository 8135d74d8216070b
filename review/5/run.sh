#!/usr/bin/env bash
# A server in trouble sends a stream without a length and without an end, until the route's timeout.
exec node "$(dirname "$0")/case.mjs"
