"""Time-outs of answers, for an event loop that may be held up.

After a pause of the process, the timers that became due in it run before the tasks that
would read what has arrived meanwhile. A plain time-out would then give up answers that
are already there.
"""

import asyncio
import logging
from contextlib import asynccontextmanager

logger = logging.getLogger(__name__)

LATE_SECONDS = 0.05
"""Lateness of a timer from which the event loop counts as held up."""
MAX_EXTENSION_SECONDS = 1.0
"""Longest time by which one wait is extended."""


class AnswerDeadline:
    """When to stop waiting for answers.

    A wait that was still on when the event loop was held up gets as much time again as
    the loop was late.

    Parameters
    ----------
    seconds : float
        Longest wait, from now.
    """

    def __init__(self, seconds):
        self._loop = asyncio.get_running_loop()
        self._at = self._loop.time() + seconds
        self._extension = MAX_EXTENSION_SECONDS

    def remaining(self):
        """Return the seconds that are left; 0 once the wait is over."""
        now = self._loop.time()
        late = min(now - self._at, self._extension)
        if late > LATE_SECONDS:
            logger.info(
                "wait extended",
                extra={"decision": "wait", "late": round(now - self._at, 3)},
            )
            self._extension -= late
            self._at = now + late
        return max(0.0, self._at - now)


@asynccontextmanager
async def limit_wait(deadline):
    """Raise `TimeoutError` in the context when its wait is over.

    Parameters
    ----------
    deadline : AnswerDeadline
        May be shared by several waits, one after the other.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:

        def expire():
            nonlocal timer
            remaining = deadline.remaining()
            if remaining:
                timer = loop.call_later(remaining, expire)
            else:
                scope.reschedule(loop.time())

        timer = loop.call_later(deadline.remaining(), expire)
        try:
            yield
        finally:
            timer.cancel()
