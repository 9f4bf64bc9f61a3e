"""Reads chains from copies in parts, so that their length needs no memory."""

import asyncio
import logging

from sapphireyard.exceptions import CallError, PeerError, PeerUnavailable
from sapphireyard.history.generated_history import ChainPart, ChainQuery

logger = logging.getLogger(__name__)

PART_BYTES = 64 * 1024
"""Text in one message; a copy sends other answers between two of them."""
PART_TIMEOUT_SECONDS = 1.0
"""Longest wait for the next part; a copy reads it from its disk."""
READ_TIMEOUT_SECONDS = 30.0
"""Longest time for all parts; the request that needs them ends sooner."""
WINDOW_BYTES = 1024 * 1024
"""Text of a long chain that is in memory while the chain is sent."""


class LongText:
    """The text of a chain that is read anew each time it is sent.

    Parameters
    ----------
    turn : str
        Last turn of the chain.
    size : int
        Bytes of the whole text.
    read : callable
        ``await read(start, length)`` returns a range of the text.
    """

    def __init__(self, turn, size, read):
        self.turn = turn
        self.size = size
        self._read = read

    async def stream(self):
        """Yield the text in windows; raise `CallError` if no copy can be read."""
        for start in range(0, self.size, WINDOW_BYTES):
            yield await self._read(start, min(WINDOW_BYTES, self.size - start))


class ChainStream:
    """The answer of one copy to a query for a chain.

    Parameters
    ----------
    peers : Peers
        Connections to the copies.
    host : str
        The copy.
    set_version : int
        Version of the set of copies.
    turn : str
        Last turn of the chain.
    start, length : int, optional
        Range of the text that is wanted; all of it by default.
    until : str, optional
        Turn before the part that is wanted; empty for the whole chain.
    """

    def __init__(self, peers, host, set_version, turn, start=0, length=0, until=""):
        self.host = host
        self.head = None
        self._start = start
        self._length = length
        query = ChainQuery(set_version, turn, PART_BYTES, start, length, until)
        self._messages = peers.stream(host, query, timeout=READ_TIMEOUT_SECONDS)

    @property
    def size(self):
        """int: Bytes of the whole text."""
        return max(self.head.size, len(self.head.text))

    async def open(self, timeout):
        """Read the first message; return this stream.

        Raises
        ------
        PeerError, CallError
            The copy cannot be reached, refuses, or does not answer in time.
        """
        try:
            self.head = await self._receive(timeout)
        except BaseException:
            await self.aclose()
            raise
        return self

    async def read_text(self):
        """Return the wanted text; raise `PeerError` or `CallError` if it ends early.

        Copies of older builds send the text from its beginning.
        """
        end = min(self.size, self._start + (self._length or self.size))
        position, text = self.head.start, self.head.text
        parts = []
        while True:
            if position > self._start and not parts:
                raise PeerError(f"{self.host} left out the beginning of a chain")
            next_position = position + len(text)
            if next_position > self._start:
                parts.append(text[max(0, self._start - position) : end - position])
            position = next_position
            if position >= end:
                return b"".join(parts)
            message = await self._receive(PART_TIMEOUT_SECONDS)
            text = message.text if isinstance(message, ChainPart) else b""
            if not 0 < len(text) <= self.size - position:
                raise PeerError(f"{self.host} sent an invalid part of a chain")

    async def aclose(self):
        """End the request."""
        await self._messages.aclose()

    async def _receive(self, timeout):
        try:
            async with asyncio.timeout(timeout):
                return await anext(self._messages)
        except TimeoutError:
            raise PeerUnavailable(
                f"no part of a chain from {self.host} in {timeout:g} s"
            ) from None
        except StopAsyncIteration:
            raise PeerError(f"the chain from {self.host} ends early") from None


async def open_any(streams, timeout):
    """Ask several copies; return the first stream that has the chain, and the rest.

    Returns
    -------
    ChainStream or None
        The stream with the chain, if any; the others are closed.
    int
        Copies that reported that they lack the turn.
    list of Exception
        Errors of the others that answered.
    """
    tasks = {asyncio.ensure_future(each.open(timeout)): each for each in streams}
    waiting = set(tasks)
    absent = 0
    errors = []
    found = None
    try:
        while waiting and found is None:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is not None:
                    if not isinstance(error, (PeerError, CallError)):
                        raise error
                    errors.append(error)
                elif found is None and task.result().head.found:
                    found = task.result()
                else:
                    absent += task.result().head.absent
    finally:
        for task in waiting:
            task.cancel()
        if waiting:
            await asyncio.wait(waiting)
        for task, stream in tasks.items():
            if stream is not found and task not in waiting:
                await stream.aclose()
    return found, absent, errors
