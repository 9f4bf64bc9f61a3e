"""An entry host whose address space is limited, so that it cannot take more memory."""

import os
import resource
import runpy
import sys
from pathlib import Path

LIMIT_VARIABLE = "SAPPHIREYARD_ADDRESS_SPACE"
"""Bytes of address space."""
SERVE = Path(__file__).resolve().parent.parent / "platform" / "serve.py"

if __name__ == "__main__":
    limit = int(os.environ[LIMIT_VARIABLE])
    resource.setrlimit(resource.RLIMIT_AS, (limit, limit))
    sys.path.insert(0, str(SERVE.parent))
    runpy.run_path(str(SERVE), run_name="__main__")
