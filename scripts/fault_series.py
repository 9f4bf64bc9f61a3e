"""Faults injected one after the other, in an order that follows from a seed."""

import asyncio
import random
from collections import Counter

PAUSE_SECONDS = (0.3, 2.0)
"""Shortest and longest pause between two faults."""


class FaultSeries:
    """Injects one fault after the other; several may overlap.

    Parameters
    ----------
    checker : object
        Its `record_violation` is called for faults that cannot be injected.
    seed : int
        Fixes the faults and their order.
    """

    def __init__(self, checker, *, seed):
        self._checker = checker
        self._random = random.Random(f"faults {seed}")
        self._counts = Counter()
        self._tasks = set()
        self._kinds = {}

    def describe(self):
        """Return the counts in one line."""
        return ", ".join(f"{name} {n}" for name, n in sorted(self._counts.items()))

    async def inject(self):
        """Start one fault, then pause."""
        name = self._random.choice(list(self._kinds))
        self._counts[name] += 1
        task = asyncio.ensure_future(self._kinds[name]())
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        await asyncio.sleep(self._random.uniform(*PAUSE_SECONDS))

    def _finish_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._checker.record_violation("finished", f"fault: {task.exception()!r}")

    async def finish(self):
        """Wait until the faults under way have ended and undone their changes."""
        while self._tasks:
            await asyncio.wait(self._tasks)
