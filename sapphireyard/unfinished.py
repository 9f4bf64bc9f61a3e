"""The memory of answers that are still being read, of all requests together.

Handles upstreams that answer without end, at full speed, while many callers wait for
them: none of these answers can be told from a large one before it has reached the
largest size, and together they would take the memory of the host.
"""

import asyncio
from contextlib import contextmanager

FREE_BYTES = 16 * 1024
"""Bytes that each answer may keep at any time; most answers are smaller. They are part
of the memory that is counted for a request."""


class UnfinishedAnswers:
    """Decides which answers may grow.

    Beyond `FREE_BYTES` each, all answers together may take `limit` bytes. Once these
    are used up, only the largest goes on, until it ends or exceeds the largest size.
    The others wait, and nothing is read from their upstreams.

    Parameters
    ----------
    limit : float
        Bytes that all answers together may keep; infinity without a limit.

    Attributes
    ----------
    total : int
        Bytes that are kept now.
    """

    def __init__(self, limit):
        self._limit = limit
        self._sizes = {}
        self._largest = None
        self._released = asyncio.Event()
        self.total = 0

    @contextmanager
    def open(self):
        """Yield a coroutine function that counts the bytes of one answer.

        ``await grow(size)`` returns when the answer may keep `size` bytes more, at once
        if it keeps fewer. All its bytes are released when the context ends.
        """
        answer = object()
        self._sizes[answer] = 0

        async def grow(size):
            while size > 0 and not self._may_grow(answer, size):
                self._released.clear()
                await self._released.wait()
            self._resize(answer, self._sizes[answer] + size)

        try:
            yield grow
        finally:
            self._resize(answer, 0)
            del self._sizes[answer]

    def _resize(self, answer, size):
        before = self._sizes[answer]
        self._sizes[answer] = size
        self.total += size - before
        if size > self._sizes.get(self._largest, 0):
            self._largest = answer
        if size < before:
            if answer is self._largest:
                self._largest = max(self._sizes, key=self._sizes.get)
            self._released.set()

    def _may_grow(self, answer, size):
        if self._sizes[answer] + size <= FREE_BYTES:
            return True
        return self.total + size <= self._limit or answer is self._largest
