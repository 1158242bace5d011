#!/bin/sh
# Checks the stand-ins of review cases 11 to 15. They use the standard library only, so
# there is nothing to install; the deploy file's build makes what the entries need.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
from pathlib import Path

for pattern in ("third_*.py", "1[1-5]/*.py"):
    for path in sorted(Path().glob(pattern)):
        compile(path.read_bytes(), str(path), "exec")
PYTHON
