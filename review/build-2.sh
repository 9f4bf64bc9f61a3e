#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are Python
# modules; their libraries come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-2-pycache"
python3 -S -m compileall -q standins/_serving.py standins/site_store.py \
    review/harness_2.py review/[6-9]/ review/10/ || exit 1
python3 -S -c "import sys; sys.path[:0] = ['.', 'review']; import harness_2"
