#!/bin/sh
# The stand-ins need only Python's standard library; this checks that they load.
cd "$(dirname "$0")" &&
    exec python3 -B -c 'import client, deployment, rank, store, worker'
