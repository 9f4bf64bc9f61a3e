"""A history host with a service that does not stop, however often it is cancelled."""

import asyncio
import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT))
sys.path.append(str(ROOT / "platform"))

from sapphireyard.history.service import HistoryService  # noqa: E402


async def wait_forever(self):
    while True:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            continue


if __name__ == "__main__":
    HistoryService.on_stop = wait_forever
    runpy.run_path(str(ROOT / "platform" / "serve.py"), run_name="__main__")
