"""An upstream whose answers are given as bytes, pauses and a way to end."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import Enum

from standins.site_upstream import reset

WRITE_TIMEOUT_SECONDS = 10.0
"""Longest time for which endless bytes wait for a peer that does not read."""

LATE_SECONDS = 0.02
"""Time in which late bytes arrive before the answer."""


class End(Enum):
    """How the upstream ends a connection."""

    CLOSE = "close"
    RESET = "reset"
    CRASH = "crash"
    """The connection is closed in order and no other one is accepted."""
    STAY = "stay"
    """The connection stays open until the peer closes it."""


@dataclass(frozen=True)
class Endless:
    """Bytes that are sent again and again until the peer closes the connection."""

    data: bytes


@dataclass
class ScriptedUpstream:
    """One upstream; every request gets the same answer if no other one is given.

    Parameters
    ----------
    steps : sequence of bytes, float, Endless or End
        What to send, seconds to pause, and how to end.
    first_answers : list of sequences, optional
        Steps for the next requests, before `steps` are used.
    late : bytes, optional
        Sent before each answer on a connection but the first: what an upstream sends
        late of an earlier exchange.

    Attributes
    ----------
    address : str
        IP:PORT.
    connections, requests : int
        Connections accepted and requests received so far.
    heads, bodies : list of bytes
        Heads and bodies of the requests received so far.
    sent_bytes : int
        Bytes of `Endless` steps that were written so far.
    closed : asyncio.Event
        Set when a peer has closed a connection during an `Endless` step.
    """

    steps: tuple = ()
    first_answers: list = field(default_factory=list)
    late: bytes = b""
    address: str = ""
    connections: int = 0
    requests: int = 0
    heads: list = field(default_factory=list)
    bodies: list = field(default_factory=list)
    sent_bytes: int = 0
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    _server: object = None
    _open: dict = field(default_factory=dict)

    @property
    def writers(self):
        """list of StreamWriter: Open connections."""
        return list(self._open.values())

    async def start(self, ip="127.0.0.1"):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self):
        """Accept no more connections, and close the open ones."""
        self._server.close()
        for writer in self._open.values():
            writer.transport.abort()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._open[task] = writer
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                is_first = True
                while await self._answer(reader, writer, is_first):
                    is_first = False
        finally:
            del self._open[task]
            writer.close()

    async def _answer(self, reader, writer, is_first):
        """Answer one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.bodies.append(await reader.readexactly(_find_length(head)))
        self.requests += 1
        self.heads.append(head)
        if self.late and not is_first:
            writer.write(self.late)
            await asyncio.sleep(LATE_SECONDS)
        steps = self.first_answers.pop(0) if self.first_answers else self.steps
        for step in steps:
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            elif isinstance(step, float):
                await asyncio.sleep(step)
            elif isinstance(step, Endless):
                await self._send_endless(writer, step.data)
            elif step is End.STAY:
                return True
            elif step is End.RESET:
                reset(writer)
                return False
            elif step is End.CRASH:
                self._server.close()
        return False

    async def _send_endless(self, writer, data):
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                for _ in itertools.count():
                    writer.write(data)
                    await writer.drain()
                    self.sent_bytes += len(data)
                    await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
            raise


def _find_length(head):
    for line in head.decode("latin-1").lower().split("\r\n"):
        name, _, value = line.partition(":")
        if name == "content-length":
            return int(value)
    return 0


def build_head(request_id, *lines, status=200):
    """Return the head of a signed answer.

    Parameters
    ----------
    request_id : str
        Id of the request that is answered.
    *lines : str
        Further header lines.
    status : int, optional
        HTTP status.
    """
    fixed = (f"HTTP/1.1 {status} X", f"Request-Id: {request_id}")
    return "\r\n".join([*fixed, "Response-Signature: s", *lines, "", ""]).encode()
