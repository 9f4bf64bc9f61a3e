"""The memory of the bodies that callers are sending, of all requests together.

A body that does not end would keep what the others wait for. While bodies wait for
memory, those give it back whose callers have stopped sending, or send too slowly for
their size; smaller bodies go first.
"""

import asyncio
import logging
from contextlib import contextmanager
from dataclasses import dataclass, field

from sapphireyard.exceptions import CallError
from sapphireyard.unfinished import FREE_BYTES

logger = logging.getLogger(__name__)

FIRST_STEP_BYTES = 64 * 1024
"""Bytes reserved for a body without a length once it exceeds `FREE_BYTES`; each further
step doubles them."""
STALLED_SECONDS = 0.25
"""Time without a byte after which a caller counts as having stopped."""
GRACE_SECONDS = 0.5
MIN_BYTES_PER_SECOND = 1024 * 1024
"""What a body must have received while others wait: none in the first half second, and
then this rate."""
WAIT_SECONDS = 1.5
"""Longest time for which a body waits for memory."""
DUE_BYTES_PER_SECOND = 2 * 1024 * 1024
"""Rate by which a small body is due before a large one that began to wait earlier."""
POLL_SECONDS = 0.05
ADMISSION_POLLS = 3
ADMISSION_BYTES = 2 * 1024 * 1024
"""Times that a new request looks for memory, and bytes that it has others give back."""
RETRY_SECONDS = 1.0
"""Retry-After of a body for which there is no memory."""


@dataclass(eq=False)
class ArrivingBody:
    """A body that is being read.

    Parameters
    ----------
    stop : callable
        Called with a `CallError` to end the reading.
    length : int or None
        Declared size in bytes.
    received : int
        Bytes read.
    reserved : int
        Bytes that it may keep, beyond `FREE_BYTES`.
    granted_at, received_at : float
        Monotonic seconds since which it has had its memory, and at which the last bytes
        arrived.
    wanted : int
        Bytes that it waits for; 0 if it waits for its caller.
    waiting_since : float
        Monotonic seconds since which it has waited for them.
    stopped : bool
        Whether its reading was ended for want of memory.
    complete : bool
        Whether it has been read to its end; it may be kept longer.
    parts : list of bytes
        What has been read.
    """

    stop: object
    length: int | None
    received: int = 0
    reserved: int = 0
    granted_at: float = 0.0
    received_at: float = 0.0
    wanted: int = 0
    waiting_since: float = 0.0
    stopped: bool = False
    complete: bool = False
    parts: list = field(default_factory=list, repr=False)

    def is_late(self, now):
        """Return whether its caller has stopped sending, or sends too slowly."""
        if self.wanted or self.complete:
            return False
        if now - self.received_at > STALLED_SECONDS:
            return True
        expected = (now - self.granted_at - GRACE_SECONDS) * MIN_BYTES_PER_SECOND
        return self.received < expected

    @property
    def size(self):
        """int: Bytes that it may keep."""
        return max(self.reserved, FREE_BYTES)

    @property
    def due_at(self):
        """float: Monotonic seconds; of the bodies that wait, the earliest is next."""
        return self.waiting_since + self.wanted / DUE_BYTES_PER_SECOND


class ArrivingBodies:
    """Decides which bodies may be read on.

    Each body may keep `FREE_BYTES` at any time. Memory beyond that is reserved before
    it is read: for a body with a length the whole, otherwise step by step.

    Parameters
    ----------
    limit : float
        Bytes that all bodies together may reserve; infinity without a limit. A single
        body may reserve more if there is no other.
    fits : callable, optional
        Returns whether the process has memory for so many bytes more.

    Attributes
    ----------
    total : int
        Bytes that are reserved now.
    """

    def __init__(self, limit, *, fits=lambda size: True):
        self._limit = limit
        self._fits = fits
        self._bodies = set()
        self._waiting = []
        self.total = 0

    @contextmanager
    def open(self, stop, *, length=None):
        """Yield the `ArrivingBody` of a request, for `grow`; see there."""
        body = ArrivingBody(stop, length)
        body.granted_at = body.received_at = asyncio.get_running_loop().time()
        self._bodies.add(body)
        try:
            yield body
        finally:
            self._bodies.remove(body)
            self.total -= body.reserved
            # The error that ends a body refers to itself, and to the body.
            body.parts.clear()

    async def admit(self):
        """Return whether there is memory for a request.

        Small bodies that do not end may take all of it, many together: those that are
        late are stopped before a request is refused.
        """
        for _ in range(ADMISSION_POLLS):
            if self._fits(0):
                return True
            now = asyncio.get_running_loop().time()
            if not self._stop_late(now, needed=ADMISSION_BYTES):
                return False
            await asyncio.sleep(POLL_SECONDS)
        return self._fits(0)

    async def grow(self, body, size):
        """Count bytes that have been read; return once the next may be read.

        Raises
        ------
        CallError
            There is no memory.
        """
        loop = asyncio.get_running_loop()
        body.received += size
        body.received_at = loop.time()
        step = self._find_step(body)
        if not step:
            return
        if self._waiting or not self._reserve(body, step, loop.time()):
            await self._wait(body, step, loop)

    async def _wait(self, body, step, loop):
        body.wanted = step
        body.waiting_since = loop.time()
        self._waiting.append(body)
        try:
            while not self._take_turn(body, step, loop.time()):
                if body.stopped or loop.time() - body.waiting_since > WAIT_SECONDS:
                    raise self._build_error()
                await asyncio.sleep(POLL_SECONDS)
        finally:
            self._waiting.remove(body)
            body.wanted = 0
            body.received_at = loop.time()

    def _find_step(self, body):
        """Return the bytes to reserve now; 0 if there are enough."""
        if body.length is not None:
            return 0 if body.reserved or body.length <= FREE_BYTES else body.length
        if body.received <= FREE_BYTES + body.reserved:
            return 0
        return max(FIRST_STEP_BYTES, body.reserved)

    def _reserve(self, body, step, now):
        is_alone = self.total == body.reserved
        if not is_alone and self.total + step > self._limit:
            return False
        if not self._fits(step):
            return False
        if not body.reserved:
            body.granted_at = now
        body.reserved += step
        self.total += step
        return True

    def _take_turn(self, body, step, now):
        """Reserve memory for a body that waits, if it is the next one."""
        first = min(self._waiting, key=lambda each: each.due_at)
        if first is body and self._reserve(body, step, now):
            return True
        holding = self.total + first.wanted > self._limit
        if not self._stop_late(now, needed=first.wanted, holding=holding):
            self._break_tie(now)
        return False

    def _stop_late(self, now, *, needed, holding=False):
        """Stop bodies whose callers are late, until enough will be free.

        If `holding`, only those that have reserved memory.

        Returns
        -------
        bool
            Whether memory of stopped bodies will be free soon.
        """
        freed = sum(each.size for each in self._bodies if each.stopped)
        late = [each for each in self._bodies if each.is_late(now) and not each.stopped]
        if holding:
            late = [each for each in late if each.reserved]
        for body in sorted(late, key=lambda each: each.received_at):
            if freed >= needed:
                break
            freed += body.size
            self._stop(body, now)
        return bool(freed)

    def _break_tie(self, now):
        """Stop the newest body if all that have memory wait for more."""
        holding = [each for each in self._bodies if each.reserved]
        if len(holding) > 1 and all(each.wanted for each in holding):
            self._stop(max(holding, key=lambda each: each.granted_at), now)

    def _stop(self, body, now):
        body.stopped = True
        logger.info(
            "body given up",
            extra={
                "decision": "body",
                "received": body.received,
                "length": body.length,
                "silent": round(now - body.received_at, 2),
                "seconds": round(now - body.granted_at, 2),
                "reserved": self.total,
                "waiting": len(self._waiting),
            },
        )
        body.stop(self._build_error())

    def _build_error(self):
        return CallError(
            "overloaded",
            f"{self.total} bytes are kept for bodies of other requests",
            retry_after=RETRY_SECONDS,
        )
