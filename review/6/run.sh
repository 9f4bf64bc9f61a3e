#!/bin/sh
# Writes record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps
python3 -S -c "import sys; sys.path[:0] = ['.', 'review']; import harness_2" || exit 2
exec python3 -S review/6/case.py
