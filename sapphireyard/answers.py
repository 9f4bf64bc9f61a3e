"""How answers over HTTP end: complete, broken off, or with their connection."""

import asyncio
import logging
import re
import select
import socket
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

logger = logging.getLogger(__name__)

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

SILENT_SECONDS = 2.0
"""Longest silence of a sound server, with a margin."""
ASK_AGAIN_SECONDS = 0.1

END_OF_HEAD = b"\r\n\r\n"
VERSION = b"HTTP/1.0 "
VERSION_PATTERN = re.compile(rb"HTTP/1\.[0-9] ")
FIRST_STATUS = 100
LAST_STATUS = 599
REASON_PATTERN = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
"""Reason phrases; bytes beyond ASCII are allowed in them, controls are not."""
BODILESS_STATUSES = frozenset({204, 304})
MAX_UNREAD_ANSWERS = 64
"""Answers, interim ones too, that may wait on a connection to be read."""
READ_BUFFER_BYTES = 8 * 1024
"""Bytes of a body that a connection reads ahead, twice over at most. A host has
hundreds of connections, and nothing else counts these bytes."""
RECEIVE_BYTES = 32 * 1024
"""Bytes that a connection takes from the system at a time."""
WINDOW_BYTES = 16 * 1024
"""Receive buffer of a connection; what arrives while it is not read is memory too."""
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


class BodyTooLong(aiohttp.ClientPayloadError):
    """A body exceeds the largest size that its reader takes."""


class StrictConnection(ResponseHandler):
    """A client connection that takes no other bytes for an answer, or for its end.

    Bytes that follow an answer belong to no request: their connection is not reused,
    while aiohttp would give them to the next request. A head must be one of HTTP/1
    with a status that exists; the parser also takes those of some other protocols, and
    any three digits.

    aiohttp takes any end of the connection for the end of a body that has neither a
    length nor chunks, also if this host closes it, as when it stops; the reader of
    another body then waits on. It also reads without limit what carries no body:
    interim answers, trailers, extensions of chunks, and whatever follows an answer.

    Attributes
    ----------
    total_requests : int
        Requests that it has carried.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._stray_bytes = 0
        self._head_start = b""
        self._opened_at = loop.time()
        self._poll = select.poll()
        self.total_requests = 0

    def connection_made(self, transport):
        super().connection_made(transport)
        # There is no public way to set what the transport receives at a time.
        transport.max_size = RECEIVE_BYTES
        # Encrypted connections carry more than answers.
        if transport.get_extra_info("sslcontext") is None:
            connection = transport.get_extra_info("socket")
            self._poll.register(connection.fileno(), select.POLLIN)

    def set_response_params(self, **options):
        # aiohttp calls this when it has chosen the connection for a request.
        self.total_requests += 1
        super().set_response_params(**options)

    def is_connected(self):
        """Return whether a request may be sent on this connection."""
        if not super().is_connected():
            return False
        if not (self.should_close or self._has_stray_input()):
            return True
        if not self._should_close:
            self._log_dropped("bytes or an end after the last answer")
        self.transport.abort()
        return False

    def describe(self):
        """Return the state of the connection, as fields of a log line."""
        return {
            "connection_requests": self.total_requests,
            "connection_seconds": round(self._loop.time() - self._opened_at, 3),
        }

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
        if self._buffer or self._tail:
            self._log_dropped("bytes after an answer")
        self._break_body("connection closed by this host")
        super().close()

    def abort(self):
        self._break_body("connection aborted by this host")
        super().abort()

    def _break_body(self, reason):
        """Make a body that has not ended an error for its reader."""
        if self._is_reading_body():
            self._payload.set_exception(BodyReset(reason))

    def _has_stray_input(self):
        """Return whether bytes, or the end of the connection, follow the last answer.

        The parser may have read the beginning of a head, and the system may hold
        bytes that the loop has not read.
        """
        if self._parser is not None:
            try:
                begun = self._parser.feed_eof()
            except (aiohttp.ClientError, HttpProcessingError, ValueError):
                return True
            if begun is not None:
                return True
        return bool(self._poll.poll(0))

    def _log_dropped(self, reason):
        logger.info(
            "connection not reused",
            extra={"decision": "drop", "reason": reason, **self.describe()},
        )

    def _is_reading_body(self):
        return self._payload is not None and not self._payload.is_eof()

    def feed_data(self, data, size=0):
        # The parser calls this for each head.
        self._head_start = b""
        flaw = find_flaw(data[0])
        if flaw:
            self._give_up(flaw)
        elif self.exception() is None:
            super().feed_data(data, size)

    def _begins_answer(self, data):
        """Return whether bytes that belong to no body may be a part of a head."""
        if not self._head_start:
            data = data.lstrip(b"\r\n")
        missing = len(VERSION) - len(self._head_start)
        self._head_start += data[: max(0, missing)]
        start = self._head_start
        return VERSION_PATTERN.fullmatch(start + VERSION[len(start) :]) is not None

    def _receive(self, data):
        if not (self._is_reading_body() or self._begins_answer(data)):
            self._give_up("bytes that begin no answer")
            return
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


def find_flaw(head):
    """Return why a parsed head is no answer, or an empty string."""
    if not FIRST_STATUS <= head.code <= LAST_STATUS:
        return f"status {head.code:03} does not exist"
    if head.version.major != 1:
        return f"version {head.version.major}.{head.version.minor} was not asked for"
    if not REASON_PATTERN.fullmatch(head.reason or ""):
        return "reason phrase has control characters"
    return ""


def build_connector(connection_class=StrictConnection, **options):
    """Return a `TCPConnector` whose connections are of a class of this project.

    Parameters
    ----------
    connection_class : type, optional
        `StrictConnection` or a subclass.
    **options
        Arguments of the connector.
    """
    connector = aiohttp.TCPConnector(socket_factory=_open_socket, **options)
    # There is no public way to set the class of the connections.
    connector._factory = partial(connection_class, loop=asyncio.get_running_loop())
    return connector


def _open_socket(address):
    """Return a socket for an address whose receive buffer is small."""
    family, kind, protocol, _, _ = address
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    return connection


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


async def read_limited(response, limit):
    """Return the body of an answer.

    Raises
    ------
    aiohttp.ClientError
        The body broke off, or exceeds `limit` bytes.
    """
    data = bytearray()
    async for piece in response.content.iter_any():
        data += piece
        if len(data) > limit:
            raise BodyTooLong(f"body exceeds {limit} bytes")
    return bytes(data)


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
    """Return whether a server at IP:PORT accepts connections; None if it is silent.

    Silence does not count as a refusal: the network may be at fault.
    """
    reaction = await try_connect(address)
    return None if reaction == SILENT else reaction == LISTENING


async def ended_its_answer(ask):
    """Return whether a server that closed a connection in order still accepts others.

    A process that has crashed closes its connections in order, and one on a machine
    that has failed does not refuse others. Sound servers may be silent for a second.

    Parameters
    ----------
    ask : callable
        ``await ask()`` returns whether the server accepts connections, or None.
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + SILENT_SECONDS
    while True:
        found = await ask()
        if found is not None or loop.time() >= give_up_at:
            return bool(found)
        await asyncio.sleep(ASK_AGAIN_SECONDS)
