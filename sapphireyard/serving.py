"""HTTP connections of callers, who cannot make a process keep what it did not want.

Every listener for HTTP uses `HttpServer`: it passes one request at a time to the parser
of the library, in pieces of limited size, and closes connections that are idle, send
their head too slowly, or are too many.
"""

import asyncio
import json
import logging
import math

import mode
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD

from sapphireyard.framing import FramingError, RequestFraming
from sapphireyard.intake import (
    BEGUN,
    IDLE,
    UNUSED,
    WIDE_WINDOW_BYTES,
    WINDOW_BYTES,
    choose_closed,
    set_window,
)
from sapphireyard.tasks import lasting_task

logger = logging.getLogger(__name__)

SWEEP_SECONDS = 0.5
"""Interval of the checks; short against the limits, which are some seconds."""
READ_BYTES = 16 * 1024
"""Bytes that a connection takes from the system at a time."""
BUFFER_BYTES = 4 * 1024
"""Bytes of a body that wait for their reader, twice over at most."""
PIPELINED_BYTES = 4 * 1024
"""Bytes of further requests after which nothing more is read until the answer."""
FIRST_LINE_BYTES = 1024
"""What a head may have beyond the limit of its headers and path: spaces, for one."""
MAX_FIELD_BYTES = 64 * 1024
"""Longest line that the parser accepts; the limit of the head is checked before."""
FIELD_BYTES = 512
"""Memory of a field of a head, beyond its bytes."""
HEAD_OVERHEAD = 4
"""Memory of a head, by its bytes: they are kept as bytes and as text."""
LINGER_SECONDS = 1.0
"""Time in which a caller can take the answer after which its connection is closed."""
LINGER_BYTES = 4 * 1024 * 1024
"""Bytes that are dropped meanwhile."""
LATE_BODY_SECONDS = 2.0
"""Time for the rest of a body whose request has been answered."""
RETRY_SECONDS = 1.0
"""Retry-After of a request for whose head there is no memory."""
REASONS = {
    400: ("invalid_request", "Bad Request"),
    431: ("headers_too_large", "Request Header Fields Too Large"),
    503: ("overloaded", "Service Unavailable"),
}


class _CheckedParser:
    """Reports the heads and the errors of a parser.

    Parameters
    ----------
    parser : aiohttp.http.HttpRequestParser
        The parser.
    """

    def __init__(self, parser):
        self._parser = parser
        self.head = None
        self.error = None

    def __getattr__(self, name):
        return getattr(self._parser, name)

    def feed_data(self, data):
        try:
            messages, upgraded, tail = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self.error = error
            return (), False, b""
        if messages:
            self.head = messages[-1]
        return messages, upgraded, tail


class HttpConnection(web.RequestHandler):
    """A connection that reads one request at a time.

    Parameters
    ----------
    server : HttpServer
        The server that accepted it.
    **options
        As for `aiohttp.web.RequestHandler`.
    """

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self._parser = _CheckedParser(self._parser)
        self._intake = server.intake
        self._framing = RequestFraming(0)
        self._get_head_bytes = server.get_head_bytes
        self._has_request = False
        self._used = False
        self._queued = False
        self._held_back = False
        self._dropped_bytes = None
        self._wide = False
        self._payload = EMPTY_PAYLOAD
        self._head_started_at = None
        self._idle_since = self._loop.time()
        self.head_size = 0

    @property
    def idle_since(self):
        """float or None: When the last request was answered, if none is open."""
        if self._has_request or self._head_started_at is not None or self._messages:
            return None
        return self._idle_since

    @property
    def claim(self):
        """(int, float) or None: See `Intake`."""
        if self._has_request:
            return None
        if self._head_started_at is not None:
            return BEGUN, self._head_started_at
        return (IDLE if self._used else UNUSED), self._idle_since

    @property
    def unsent_bytes(self):
        """int: Bytes of answers that the caller has not taken yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def is_closing(self):
        """bool: Whether the connection is closed after the answer."""
        return self._dropped_bytes is not None

    def connection_made(self, transport):
        super().connection_made(transport)
        # There is no public way to set what the transport receives at a time.
        transport.max_size = READ_BYTES
        self._intake.add(self)

    def connection_lost(self, exc):
        self._intake.remove(self)
        self._framing.drop()
        super().connection_lost(exc)

    def data_received(self, data):
        if not data:  # the library goes on with what its parser has kept
            super().data_received(b"")
            self._advance()
            return
        if self._dropped_bytes is not None:
            self._drop(len(data))
            return
        if self._force_close or self._close:
            return
        self._framing.feed(data)
        self._advance()

    async def finish_response(self, request, resp, start_time):
        if self.is_closing and not resp.prepared:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if self.is_closing and self.transport is not None:
            self._shut_down()
            await asyncio.sleep(LINGER_SECONDS)
        self._has_request = False
        self._idle_since = self._loop.time()
        self._begin_next()
        self._advance()
        return result

    def let_go(self, reason):
        """Close the connection; a request that has begun is refused before."""
        if self.transport is None:
            return
        if self._head_started_at is None:
            self.transport.abort()
            return
        self._refuse(503, reason, retry_after=RETRY_SECONDS)
        self.transport.close()

    def find_exceeded_limit(self, limits):
        """Return a description of the limit that is exceeded, or None.

        Parameters
        ----------
        limits : RequestLimits
            Provides the timeouts for a request head and for an idle connection.
        """
        if self._has_request:
            return None
        now = self._loop.time()
        if self._head_started_at is not None:
            too_slow = now - self._head_started_at > limits.header_seconds
            return "head too slow" if too_slow else None
        return "idle" if now - self._idle_since > limits.idle_seconds else None

    def widen(self, wide):
        """Set whether much of a body, whose bytes are counted, may arrive at once."""
        if wide != self._wide and self.transport is not None:
            self._wide = wide
            set_window(self.transport, WIDE_WINDOW_BYTES if wide else WINDOW_BYTES)

    def stop_body(self, error=None):
        """Read no more of the request's body; close the connection after the answer.

        Parameters
        ----------
        error : Exception, optional
            What the reader of the body gets.
        """
        if self._dropped_bytes is not None or self._framing.complete:
            return
        self._dropped_bytes = 0
        self._framing.drop()
        self._intake.note(self, 0)
        self._close = True
        if self._payload.is_eof():
            return
        if error is not None:
            self._payload.set_exception(error)
        self._payload.feed_eof()

    def _advance(self):
        """Pass on what has arrived, as far as it may be passed on now."""
        while not (self._reading_paused or self._queued or self._close):
            if self.transport is None or self._dropped_bytes is not None:
                return
            try:
                if not self._pass_on():
                    break
            except FramingError as error:
                self._reject(error)
                return
            if self._framing.in_chunks and self._framing.pending:
                self._queued = True
                self._intake.slices.add(self._resume)
        self._note_progress()

    def _resume(self):
        self._queued = False
        self._advance()

    def _pass_on(self):
        """Pass one piece to the parser; return False if there is none."""
        in_head = self._framing.in_head
        if in_head:
            self._framing.max_head_bytes = self._get_head_bytes() + FIRST_LINE_BYTES
        piece = self._framing.take()
        if piece is None:
            return False
        if in_head:
            self._pass_head(piece)
        elif piece:
            super().data_received(piece)
            self._check_parser()
        self._begin_next()
        return True

    def _pass_head(self, head):
        size = len(head) * HEAD_OVERHEAD + head.count(b"\n") * FIELD_BYTES
        if not self._intake.fits(size):
            raise FramingError(503, "no memory for the head")
        if head.startswith(b"CONNECT "):
            raise FramingError(400, "method CONNECT is not supported")
        self.head_size = size
        self._has_request = self._used = True
        self._head_started_at = None
        super().data_received(head)
        self._check_parser()
        if self._parser.head is None:
            raise FramingError(400, "head is not complete")
        message, self._payload = self._parser.head
        self._parser.head = None
        self._framing.begin_body(
            length=int(message.headers.get("Content-Length", 0)),
            chunked=message.chunked,
        )

    def _check_parser(self):
        error, self._parser.error = self._parser.error, None
        if error is not None:
            raise FramingError(400, str(error.message).partition("\n")[0])

    def _begin_next(self):
        if self._framing.complete and not self._has_request:
            self._payload = EMPTY_PAYLOAD
            self._framing.begin_next()

    def _reject(self, error):
        """Answer a request that is none, or end one whose body is none."""
        if not self._framing.in_head:
            self.stop_body(web.RequestPayloadError(str(error)))
            return
        retry_after = RETRY_SECONDS if error.status == 503 else None
        self._refuse(error.status, str(error), retry_after=retry_after)

    def _refuse(self, status, detail, *, retry_after=None):
        """Answer without a handler, and close the connection."""
        if self._dropped_bytes is not None or self.transport is None:
            return
        code, reason = REASONS[status]
        logger.info(
            "request refused unread",
            extra={"decision": "refuse", "status": status, "reason": detail},
        )
        problem = {"code": code, "detail": detail, "executed": "no"}
        body = json.dumps(problem).encode()
        lines = [
            f"HTTP/1.1 {status} {reason}",
            "Content-Type: application/problem+json",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        if retry_after is not None:
            lines.append(f"Retry-After: {retry_after:.2f}")
        self._dropped_bytes = 0
        self._framing.drop()
        self._intake.note(self, 0)
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + body)
        self._shut_down()
        self._loop.call_later(LINGER_SECONDS, self._abort)

    def _shut_down(self):
        """Send the end of the connection; the caller may still be sending."""
        if not self.transport.is_closing():
            self.transport.write_eof()
            self._update_reading()

    def _abort(self):
        if self.transport is not None:
            self.transport.abort()

    def _drop(self, size):
        self._dropped_bytes += size
        if self._dropped_bytes > LINGER_BYTES:
            self._abort()

    def _note_progress(self):
        if self.transport is None:
            return
        if self._framing.begun and self._head_started_at is None:
            self._head_started_at = self._loop.time()
        elif self._framing.in_head and not self._framing.begun:
            self._head_started_at = None
        self._intake.note(self, self._framing.pending)
        self._update_reading()

    def _update_reading(self):
        """Read no more than can be passed on, or is kept until the answer."""
        held_back = self._dropped_bytes is None and (
            self._queued or self._framing.pending > PIPELINED_BYTES
        )
        if held_back and not self._framing.in_head:
            if not self._held_back:
                self._held_back = True
                self._pause_transport_reading()
        elif self._held_back:
            self._held_back = False
            if not (self._reading_paused or self._buffer_paused):
                self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self._held_back:
            super()._resume_transport_reading()


class HttpServer(web.Server):
    """Creates an `HttpConnection` for each accepted connection.

    Parameters
    ----------
    handler : callable
        ``await handler(request)`` answers a request.
    intake : Intake
        Counts the connections of the process.
    get_head_bytes : callable
        Returns the largest size of headers and path of a request.
    **options
        As for `aiohttp.web.Server`.
    """

    def __init__(self, handler, *, intake, get_head_bytes, **options):
        defaults = {
            "handler_cancellation": True,
            "access_log": None,
            "auto_decompress": False,
            "max_line_size": MAX_FIELD_BYTES,
            "max_field_size": MAX_FIELD_BYTES,
            "max_headers": MAX_FIELD_BYTES,
            "read_bufsize": BUFFER_BYTES,
            "lingering_time": LATE_BODY_SECONDS,
        }
        super().__init__(handler, **{**defaults, **options})
        self.intake = intake
        self.get_head_bytes = get_head_bytes

    def __call__(self):
        return HttpConnection(self, loop=self._loop, **self._kwargs)

    @property
    def has_unsent(self):
        """bool: Whether a caller has not taken the whole of an answer yet."""
        return any(connection.unsent_bytes for connection in self.connections)

    def close_idle(self):
        """Close the connections on which nothing of a request has been read.

        What callers are sending remains unread, which tells them that it has not run.
        """
        for connection in self.connections:
            if connection.idle_since is not None and not connection.unsent_bytes:
                connection.force_close()


class ApplicationRunner(web.AppRunner):
    """Runs an application on connections of `HttpServer`.

    Parameters
    ----------
    application : aiohttp.web.Application
        The application.
    shutdown_timeout : float
        Seconds for which open requests may go on when the runner is stopped.
    **options
        As for `HttpServer`.
    """

    def __init__(self, application, *, shutdown_timeout, **options):
        super().__init__(application, shutdown_timeout=shutdown_timeout)
        self._options = options

    async def _make_server(self):
        # There is no public way to choose the server of an application.
        server = await super()._make_server()
        return HttpServer(
            server.request_handler,
            request_factory=server.request_factory,
            **self._options,
        )


class ConnectionSweep(mode.Service):
    """Closes connections that exceed their limits.

    Guards against callers that open connections and send little or nothing until
    the host has no file descriptors left for others.

    Parameters
    ----------
    server : HttpServer
        Server whose connections are checked.
    get_limits : callable
        Returns the `RequestLimits` in force.
    max_connections : float, optional
        Connections above which idle ones are closed; infinity without a limit.
    """

    def __init__(self, server, get_limits, *, max_connections=math.inf):
        super().__init__()
        self._max_connections = max_connections
        self._server = server
        self._get_limits = get_limits

    @lasting_task
    async def _sweep(self):
        while not self.should_stop:
            await asyncio.sleep(SWEEP_SECONDS)
            limits = self._get_limits()
            closed = {}
            for connection in self._server.connections:
                exceeded = connection.find_exceeded_limit(limits)
                if exceeded is not None:
                    connection.force_close()
                    closed[exceeded] = closed.get(exceeded, 0) + 1
            for connection in self._choose_idle():
                connection.force_close()
                closed["too many"] = closed.get("too many", 0) + 1
            for exceeded, count in closed.items():
                logger.info(
                    "connections closed",
                    extra={"decision": "close", "reason": exceeded, "count": count},
                )

    def _choose_idle(self):
        """Return the idle connections to close, as there are too many."""
        connections = self._server.connections
        excess = len(connections) - self._max_connections
        if excess <= 0:
            return []
        idle = {each: each.idle_since for each in connections}
        return choose_closed(
            {each: since for each, since in idle.items() if since is not None}, excess
        )
