#!/bin/sh
# Checks the stand-ins of review cases 11 to 15. They use the standard library only, so
# there is nothing to install; the deploy file's build makes what the entries need.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
from pathlib import Path

for folder in ("third", "11", "12", "13", "14", "15"):
    for path in sorted(Path(folder).glob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
PYTHON
