#!/bin/sh
# Checks that the stand-ins and the scripts of the cases 6 to 10 compile. They need no
# package, and nothing is written.
set -eu
cd "$(dirname "$0")"
exec python3 -c 'import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")' case_*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py
