"""The memory of answers that are still being read, of all requests together.

Handles upstreams that answer without end, at full speed, while many callers wait for
them: none of these answers can be told from a large one before it has reached the
largest size, and together they would take the memory of the host. The bodies of
requests are in `bodies`.
"""

import asyncio
from contextlib import contextmanager

FREE_BYTES = 16 * 1024
"""Bytes that each body may keep at any time; most are smaller. They are part
of the memory that is counted for a request."""


class UnfinishedBodies:
    """Decides which bodies may grow.

    Beyond `FREE_BYTES` each, all bodies together may take `limit` bytes. Once these
    are used up, only the largest goes on, until it ends or exceeds the largest size.
    The others wait, and nothing is read from their senders.

    Parameters
    ----------
    limit : float
        Bytes that all bodies together may keep; infinity without a limit.

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
        """Yield a coroutine function that counts the bytes of one body.

        ``await grow(size)`` returns when the body may keep `size` bytes more, at once
        if it keeps fewer. All its bytes are released when the context ends.
        """
        body = object()
        self._sizes[body] = 0

        async def grow(size):
            while size > 0 and not self._may_grow(body, size):
                self._released.clear()
                await self._released.wait()
            self._resize(body, self._sizes[body] + size)

        try:
            yield grow
        finally:
            self._resize(body, 0)
            del self._sizes[body]

    def _resize(self, body, size):
        before = self._sizes[body]
        self._sizes[body] = size
        self.total += size - before
        if size > self._sizes.get(self._largest, 0):
            self._largest = body
        if size < before:
            if body is self._largest:
                self._largest = max(self._sizes, key=self._sizes.get)
            self._released.set()

    def _may_grow(self, body, size):
        if self._sizes[body] + size <= FREE_BYTES:
            return True
        return self.total + size <= self._limit or body is self._largest
