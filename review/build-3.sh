#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15: Python programs, which are compiled as a check.
# Their libraries are those of the deploy file, in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import pathlib
for path in [*pathlib.Path("review").glob("*_3.py"), *pathlib.Path("review").glob("1[1-5]/case.py")]:
    compile(path.read_text(), str(path), "exec")
import standins.site_store
PYTHON
echo "stand-ins are ready"
