#!/bin/sh
# The stand-ins are Python modules: checks that all of them load with the libraries
# that the build of the deploy file has placed in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:.:review" exec python3 -c "
import harness
import standins.site_store
import standins.relay
"
