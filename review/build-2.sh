#!/bin/sh
# Compiles the stand-ins and the scripts of the cases 6 to 10; they need no package.
set -eu
cd "$(dirname "$0")"
cases=$(ls -d 6 7 8 9 10 2>/dev/null || true)
exec python3 -m compileall -q common $cases
