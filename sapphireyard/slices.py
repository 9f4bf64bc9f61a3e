"""Work that callers cause with few bytes, in slices of the event loop's time."""

import asyncio
from collections import deque

SLICE_SECONDS = 0.004
"""Time of one step of the event loop for all such work."""


class Slices:
    """Lets connections with much to decode take turns, so that others are served."""

    def __init__(self):
        self._waiting = deque()
        self._scheduled = False

    def add(self, step):
        """Call a function soon, after those that were added before."""
        self._waiting.append(step)
        self._schedule()

    def _schedule(self):
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        self._scheduled = False
        loop = asyncio.get_running_loop()
        end_at = loop.time() + SLICE_SECONDS
        for _ in range(len(self._waiting)):
            self._waiting.popleft()()
            if loop.time() > end_at:
                break
        self._schedule()
