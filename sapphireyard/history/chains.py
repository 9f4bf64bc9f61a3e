"""Reads chains from copies in parts, so that their length is bounded by memory only."""

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
    """

    def __init__(self, peers, host, set_version, turn):
        self.host = host
        self.head = None
        query = ChainQuery(set_version, turn, PART_BYTES)
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
        """Return the whole text; raise `PeerError` or `CallError` if it ends early."""
        parts = [self.head.text]
        missing = self.size - len(self.head.text)
        while missing > 0:
            part = await self._receive(PART_TIMEOUT_SECONDS)
            if not isinstance(part, ChainPart) or not 0 < len(part.text) <= missing:
                raise PeerError(f"{self.host} sent an invalid part of a chain")
            parts.append(part.text)
            missing -= len(part.text)
        return b"".join(parts)

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
