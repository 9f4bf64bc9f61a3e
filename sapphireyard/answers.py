"""How answers over HTTP end: complete, broken off, or with their connection."""

import asyncio
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

LENGTH = "length"
CHUNKED = "chunked"
CONNECTION = "connection"
COMPLETE = "complete"
CLOSED = "closed"
RESET = "reset"
BROKEN = "broken"

LISTENING = "listening"
REFUSED = "refused"
SILENT = "silent"
CONNECT_TIMEOUT_SECONDS = 0.5
"""Time-out of connections; one between failure domains takes 3 ms."""

END_OF_HEAD = b"\r\n\r\n"
BODILESS_STATUSES = frozenset({204, 304})
MAX_UNREAD_ANSWERS = 64
"""Answers, interim ones too, that may wait on a connection to be read."""
MAX_STRAY_BYTES = 256 * 1024
"""Bytes in a row that may carry none of a body: several times the largest head."""


@dataclass
class BodyEnd:
    """How the body of an answer is delimited, and how it ended.

    Parameters
    ----------
    framing : str
        `LENGTH`, `CHUNKED`, or `CONNECTION` if the body ends with its connection;
        empty if there was no answer.
    outcome : str
        `COMPLETE` by its framing, connection `CLOSED` in order, `RESET`, or `BROKEN`
        off as its framing shows; empty until the body has been read.
    """

    framing: str = ""
    outcome: str = ""


class BodyReset(aiohttp.ClientPayloadError):
    """A connection was reset, or closed by this host, before the end of a body."""


class StrictConnection(ResponseHandler):
    """A client connection on which only an orderly end by the peer ends a body.

    aiohttp takes any end of the connection for the end of a body that has neither a
    length nor chunks, also if this host closes it, as when it stops; the reader of
    another body then waits on. It also reads without limit what carries no body:
    interim answers, trailers, extensions of chunks, and whatever follows an answer.
    """

    _stray_bytes = 0

    def data_received(self, data):
        # An error of the parser discards the heads that it has read from the same
        # bytes, so what follows a head is passed to it separately.
        head, end, rest = data.partition(END_OF_HEAD)
        if not end or not rest or self._is_reading_body():
            self._receive(data)
            return
        self._receive(head + end)
        if self._parser is not None:
            self._receive(rest)

    def close(self):
        self._break_body("connection closed by this host")
        super().close()

    def abort(self):
        self._break_body("connection aborted by this host")
        super().abort()

    def _break_body(self, reason):
        """Make a body that has not ended an error for its reader."""
        if self._is_reading_body():
            self._payload.set_exception(BodyReset(reason))

    def _is_reading_body(self):
        return self._payload is not None and not self._payload.is_eof()

    def _receive(self, data):
        before = self._payload
        size_before = before.total_bytes if before is not None else 0
        super().data_received(data)
        if len(self._buffer) > MAX_UNREAD_ANSWERS:
            self._give_up(f"more than {MAX_UNREAD_ANSWERS} answers")
            return
        after = self._payload
        if after is not None and after is not EMPTY_PAYLOAD:
            if after is not before or after.total_bytes > size_before:
                self._stray_bytes = 0
                return
        self._stray_bytes += len(data)
        if self._stray_bytes > MAX_STRAY_BYTES:
            self._give_up(f"{self._stray_bytes} bytes without any of a body")

    def _give_up(self, reason):
        if self.transport is None:
            return
        self._break_body(reason)
        self.set_exception(aiohttp.ClientPayloadError(reason))
        self.transport.abort()

    def connection_lost(self, exc):
        if exc is not None:
            self._break_body(f"connection reset: {exc!r}")
        super().connection_lost(exc)


def build_connector(connection_class=StrictConnection, **options):
    """Return a `TCPConnector` whose connections are of a class of this project.

    Parameters
    ----------
    connection_class : type, optional
        `StrictConnection` or a subclass.
    **options
        Arguments of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    # There is no public way to set the class of the connections.
    connector._factory = partial(connection_class, loop=asyncio.get_running_loop())
    return connector


def find_framing(response):
    """Return how the end of a body is found, as in `BodyEnd`.

    Answers that have no body count as having a length.
    """
    if response.status in BODILESS_STATUSES or response.method == "HEAD":
        return LENGTH
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return CHUNKED
    return LENGTH if "Content-Length" in response.headers else CONNECTION


async def read_chunks(response, end):
    """Yield the body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer, received on a `StrictConnection`.
    end : BodyEnd
        Gets the outcome.

    Raises
    ------
    aiohttp.ClientError
        The body broke off.
    """
    end.outcome = BROKEN
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except BodyReset:
        end.outcome = RESET
        raise
    end.outcome = CLOSED if end.framing == CONNECTION else COMPLETE


async def try_connect(address, *, timeout=CONNECT_TIMEOUT_SECONDS):
    """Open a connection and close it.

    Parameters
    ----------
    address : str
        IP:PORT.
    timeout : float, optional
        Seconds after which the server counts as silent.

    Returns
    -------
    str
        `LISTENING`, `REFUSED` or `SILENT`.
    """
    ip, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(timeout):
            _, writer = await asyncio.open_connection(ip, int(port))
    except ConnectionRefusedError:
        return REFUSED
    except ConnectionResetError:
        return LISTENING
    except (TimeoutError, OSError):
        return SILENT
    writer.close()
    return LISTENING


async def is_listening(address):
    """Return False if a server at IP:PORT refuses connections.

    A time-out does not count as a refusal: the network may be at fault.
    """
    return await try_connect(address) != REFUSED
