"""A connection between two hosts; multiplexes requests over one TCP stream.

Both ends may send requests. Each request has an id chosen by its sender;
answers are matched by this id, so a late or out-of-order answer reaches its own
request or none.
"""

import asyncio
import contextlib
import itertools
import logging

from sapphireyard.exceptions import CallError, PeerError, PeerUnavailable
from sapphireyard.streams.frames import (
    FrameError,
    FrameKind,
    FrameReader,
    MessageTooLarge,
    encode_frame,
)
from sapphireyard.streams.generated_messages import Failure
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

STREAM_WINDOW_ITEMS = 64
"""Items that may be in flight in one stream before the sender needs a credit."""


class Connection(asyncio.Protocol):
    """One end of a connection between two hosts.

    Created by `Peers`. `request` sends a request, `tell` a message without an
    answer.

    Parameters
    ----------
    peers : Peers
        The owner, which serves incoming requests.
    """

    def __init__(self, peers):
        self._peers = peers
        self._reader = FrameReader()
        self._transport = None
        self._ids = itertools.count(1)
        self._incoming = {}
        self._outgoing = {}
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._received_at = 0.0
        self._used_at = 0.0
        self._silence_task = None
        self.hello = asyncio.get_running_loop().create_future()
        self.closed = asyncio.Event()

    @property
    def host(self):
        """str: Name of the other end, empty before its hello."""
        return self.remote.host if self.remote else ""

    @property
    def remote(self):
        """Hello: The hello of the other end, or None."""
        if not self.hello.done() or self.hello.exception():
            return None
        return self.hello.result()

    @property
    def is_open(self):
        """bool: Whether requests can still be sent."""
        return self._transport is not None and not self.closed.is_set()

    def connection_made(self, transport):
        self._transport = transport
        self._received_at = self._used_at = asyncio.get_running_loop().time()
        name, fields = self._peers.codec.dump(self._peers.build_hello())
        self._send(FrameKind.HELLO, 0, name, fields)
        self._silence_task = start_task(
            self._detect_silence(), name="silence detection"
        )

    def data_received(self, data):
        self._received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                self._receive(frame)
        except (FrameError, ValueError, TypeError, IndexError) as error:
            logger.warning("protocol error by peer %s: %s", self.host or "?", error)
            self.close()

    def connection_lost(self, error):
        self.closed.set()
        self._can_write.set()
        if self._silence_task:
            self._silence_task.cancel()
        if not self.hello.done():
            self.hello.set_exception(PeerUnavailable("closed before hello", sent=False))
            self.hello.exception()
        for answers in self._outgoing.values():
            answers.fail(PeerUnavailable(f"connection to {self.host} ended"))
        for task in self._incoming.values():
            task.cancel()
        self._outgoing.clear()
        self._peers.forget(self)

    def pause_writing(self):
        self._can_write.clear()

    def resume_writing(self):
        self._can_write.set()

    def close(self):
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def tell(self, message):
        """Send a message that has no answer."""
        self._used_at = asyncio.get_running_loop().time()
        name, fields = self._peers.codec.dump(message)
        self._send(FrameKind.TELL, 0, name, fields)

    @contextlib.asynccontextmanager
    async def request(self, message, *, timeout):
        """Send a request; yield the async iterator of its answer's messages.

        Leaving the context before the answer ends cancels the request.
        """
        if not self.is_open:
            raise PeerUnavailable(f"no connection to {self.host}", sent=False)
        request_id = next(self._ids)
        self._used_at = asyncio.get_running_loop().time()
        answers = _Answers(lambda: self._send(FrameKind.CREDIT, request_id, 1))
        name, fields = self._peers.codec.dump(message)
        self._send(FrameKind.REQUEST, request_id, name, fields, timeout)
        self._outgoing[request_id] = answers
        try:
            yield answers
        finally:
            if self._outgoing.pop(request_id, None) and not answers.ended:
                self._send(FrameKind.CANCEL, request_id)

    def _send(self, *parts):
        if self._transport is None or self._transport.is_closing():
            return
        frame = encode_frame(*parts)
        self._peers.sent_bytes += len(frame)
        self._transport.write(frame)

    def _receive(self, frame):
        kind, request_id, *rest = frame
        if kind not in (FrameKind.PING, FrameKind.PONG):
            self._used_at = self._received_at
        if kind == FrameKind.PING:
            self._send(FrameKind.PONG, 0)
        elif kind == FrameKind.HELLO:
            self._receive_hello(*rest[:2])
        elif kind == FrameKind.REQUEST:
            self._receive_request(request_id, *rest[:3])
        elif kind == FrameKind.TELL:
            self._receive_tell(*rest[:2])
        elif kind in (FrameKind.CANCEL, FrameKind.CREDIT):
            self._receive_control(kind, request_id)
        elif kind in (FrameKind.ITEM, FrameKind.END, FrameKind.FAIL):
            self._receive_answer(kind, request_id, rest)

    def _receive_hello(self, name, fields):
        hello = self._peers.codec.load(name, fields)
        own = self._peers.build_hello()
        if self.hello.done():
            return
        if hello.protocol < own.oldest_protocol or hello.oldest_protocol > own.protocol:
            error = PeerUnavailable(
                f"{hello.host} supports protocols {hello.oldest_protocol} to "
                f"{hello.protocol}, this host {own.oldest_protocol} to {own.protocol}",
                sent=False,
            )
            self.hello.set_exception(error)
            self.hello.exception()
            self.close()
            return
        self.hello.set_result(hello)
        self._peers.receive_hello(self, hello)

    def _receive_request(self, request_id, name, fields, timeout):
        responder = _Responder(self, request_id)
        task = start_task(responder.run(name, fields, timeout), name="answer")
        task.responder = responder
        self._incoming[request_id] = task
        task.add_done_callback(lambda _: self._incoming.pop(request_id, None))

    def _receive_tell(self, name, fields):
        try:
            message = self._peers.codec.load(name, fields)
        except FrameError as error:
            logger.warning("message of %s dropped: %s", self.host, error)
            return
        self._peers.receive_tell(self, message)

    def _receive_control(self, kind, request_id):
        task = self._incoming.get(request_id)
        if task is None:
            return
        if kind == FrameKind.CANCEL:
            task.cancel()
        else:
            task.responder.add_credit()

    def _receive_answer(self, kind, request_id, rest):
        answers = self._outgoing.get(request_id)
        if answers is None:
            return
        if kind == FrameKind.END:
            answers.end()
            return
        try:
            message = self._peers.codec.load(*rest[:2])
        except FrameError as error:  # its frame is sound: other requests go on
            logger.warning("answer of %s: %s", self.host, error)
            answers.fail(error)
            self._send(FrameKind.CANCEL, request_id)
            return
        if kind == FrameKind.ITEM:
            answers.add(message)
        else:
            failure = message
            answers.fail(
                CallError(
                    failure.code,
                    failure.detail,
                    executed=failure.executed,
                    retry_after=failure.retry_after,
                )
            )

    async def _detect_silence(self):
        loop = asyncio.get_running_loop()
        silence = self._peers.silence_seconds
        while True:
            before = loop.time()
            await asyncio.sleep(self._peers.ping_seconds)
            now = loop.time()
            if not self._is_busy():
                self._received_at = now
            # While this process was held up it read nothing.
            late = now - before - self._peers.ping_seconds
            self._received_at = min(now, self._received_at + max(0.0, late))
            if now - self._received_at > silence:
                logger.warning(
                    "no data from peer %s for %.1f s; connection closed",
                    self.host,
                    now - self._received_at,
                )
                self.close()
                return
            if self._is_idle(now):
                self.close()
                return
            if self._is_busy():
                self._send(FrameKind.PING, 0)

    def _is_busy(self):
        """Return whether a request is pending in either direction."""
        return bool(self._outgoing or self._incoming)

    def _is_idle(self, now):
        if self._is_busy():
            return False
        return now - self._used_at > self._peers.idle_seconds


class _Responder:
    """Serves one incoming request of a connection."""

    def __init__(self, connection, request_id):
        self._connection = connection
        self._request_id = request_id
        self._credits = asyncio.Semaphore(STREAM_WINDOW_ITEMS)

    def add_credit(self):
        self._credits.release()

    async def run(self, name, fields, timeout):
        connection = self._connection
        try:
            message = connection._peers.codec.load(name, fields)
            items = connection._peers.serve(connection, message)
            async with asyncio.timeout(timeout), contextlib.aclosing(items):
                async for item in items:
                    await self._credits.acquire()
                    await connection._can_write.wait()
                    item_name, item_fields = connection._peers.codec.dump(item)
                    connection._send(
                        FrameKind.ITEM, self._request_id, item_name, item_fields
                    )
            connection._send(FrameKind.END, self._request_id)
        except asyncio.CancelledError:
            self._fail("internal_error", "the request was cancelled")
            raise
        except CallError as error:
            self._fail(error.code, error.detail, error.executed, error.retry_after)
        except TimeoutError:
            self._fail("deadline_exceeded", "no answer before the deadline")
        except MessageTooLarge as error:
            logger.error("answer to %s: %s", name, error)
            self._fail("internal_error", str(error))
        except PeerError as error:
            self._fail("internal_error", str(error))
        except Exception:
            logger.exception("request %s failed", name)
            self._fail("internal_error", "internal error")

    def _fail(self, code, detail, executed="unknown", retry_after=None):
        failure = Failure(
            code=code, detail=detail, executed=executed, retry_after=retry_after
        )
        name, fields = self._connection._peers.codec.dump(failure)
        self._connection._send(FrameKind.FAIL, self._request_id, name, fields)


class _Answers:
    """The messages of one answer, as an async iterator."""

    def __init__(self, send_credit):
        self._queue = asyncio.Queue()
        self._send_credit = send_credit
        self.ended = False

    def add(self, message):
        self._queue.put_nowait((message, None))

    def end(self):
        self.ended = True
        self._queue.put_nowait((None, None))

    def fail(self, error):
        self.ended = True
        self._queue.put_nowait((None, error))

    def __aiter__(self):
        return self

    async def __anext__(self):
        message, error = await self._queue.get()
        if error is not None:
            raise error
        if message is None:
            raise StopAsyncIteration
        self._send_credit()
        return message
