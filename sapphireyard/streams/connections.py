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
from sapphireyard.intake import IDLE, UNUSED, WIDE_WINDOW_BYTES, set_window
from sapphireyard.streams.frames import (
    FrameError,
    FrameKind,
    FrameReader,
    MessageTooLarge,
    encode_frame,
)
from sapphireyard.streams.generated_messages import Failure
from sapphireyard.streams.unfinished_frames import SMALL_FRAME_BYTES
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

HELLO_BYTES = 4 * 1024
HELLO_SECONDS = 2.0
"""Bytes that a connection may send, and time that it has, before its hello."""
FRAMES_AT_ONCE = 64
"""Frames that are served without a pause."""
MAX_INCOMING = 1024
MAX_INCOMING_OF_STRANGERS = 16
"""Requests of one connection that are served at a time, and the same for a host that is
not known."""
UNTAKEN_SECONDS = 3.0
"""Time without a byte taken after which the other end counts as not reading."""
STRANGER_SECONDS = 3.0
"""Time in which a host becomes known that sends a large frame."""
RETRY_SECONDS = 1.0
"""Retry-After of a request beyond the limit."""
READ_BYTES = 32 * 1024
"""Bytes that a connection takes from the system at a time."""
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
    accepted : bool, optional
        Whether the other end opened it.

    Attributes
    ----------
    frame_bytes : int
        Size of the large frame that is being received; 0 if there is none.
    """

    def __init__(self, peers, *, accepted=False):
        self._peers = peers
        self._accepted = accepted
        self._reader = FrameReader()
        self._transport = None
        self._made_at = 0.0
        self._queued = False
        self._frame_since = 0.0
        self._sent_bytes = 0
        self._taken = (0, 0.0)
        self.frame_bytes = 0
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

    @property
    def received_at(self):
        """float: Monotonic seconds at which the last bytes arrived."""
        return self._received_at

    @property
    def claim(self):
        """(int, float) or None: See `Intake`; hosts that are known are kept."""
        if self.remote is None:
            return UNUSED, self._made_at
        if self._is_busy() or self._peers.knows(self.host):
            return None
        return IDLE, self._used_at

    def let_go(self, reason):
        """Close the connection, as the process has no room for it."""
        self.close()

    def connection_made(self, transport):
        self._transport = transport
        now = asyncio.get_running_loop().time()
        self._made_at = self._received_at = self._used_at = now
        self._taken = (0, now)
        # There is no public way to set what the transport receives at a time.
        transport.max_size = READ_BYTES
        if self._accepted:
            self._peers.intake.add(self)
        name, fields = self._peers.codec.dump(self._peers.build_hello())
        self._send(FrameKind.HELLO, 0, name, fields)
        self._silence_task = start_task(
            self._detect_silence(), name="silence detection"
        )

    def data_received(self, data):
        self._received_at = asyncio.get_running_loop().time()
        self._serve_frames(data)

    def go_on(self):
        """Serve what has arrived, after a pause."""
        self._queued = False
        if not self.closed.is_set():
            self._received_at = asyncio.get_running_loop().time()
            self._serve_frames(b"")

    def _serve_frames(self, data):
        """Serve some of the frames that have arrived; the others have their turn."""
        try:
            frames = self._reader.feed(data, limit=FRAMES_AT_ONCE)
            for frame in frames:
                self._receive(frame)
        except (FrameError, ValueError, TypeError, IndexError) as error:
            logger.warning("protocol error by peer %s: %s", self.host or "?", error)
            self.close()
            return
        if frames and self.frame_bytes:
            self._end_frame()
        self._limit_reading(more=len(frames) == FRAMES_AT_ONCE)

    def _limit_reading(self, *, more):
        """Read no more than can be served, or than there is memory for."""
        pending = self._reader.pending
        if self._accepted:
            self._peers.intake.note(self, 0 if self.frame_bytes else pending)
            if self.remote is None and pending > HELLO_BYTES:
                logger.warning("%d bytes before a hello; connection closed", pending)
                self.close()
                return
        if more:
            self._hold_back()
            self._peers.intake.slices.add(self.go_on)
        elif pending > SMALL_FRAME_BYTES and not self._may_receive():
            self._hold_back()
        elif self._transport is not None:
            self._queued = False
            self._transport.resume_reading()

    def _hold_back(self):
        self._queued = True
        if self._transport is not None:
            self._transport.pause_reading()

    def _may_receive(self):
        """Return whether the large frame that has begun may be received."""
        frames = self._peers.frames
        if frames.is_granted(self):
            return True
        now = asyncio.get_running_loop().time()
        if not self.frame_bytes:
            self.frame_bytes = self._reader.wanted
            self._frame_since = now
        if self._accepted and not self._peers.knows(self.host):
            return False  # `_detect_silence` asks again
        set_window(self._transport, WIDE_WINDOW_BYTES)
        return frames.request(self)

    def _end_frame(self):
        self.frame_bytes = 0
        self._peers.frames.release(self)

    def connection_lost(self, error):
        self.closed.set()
        self._peers.intake.remove(self)
        self._peers.frames.release(self)
        self._reader.drop()
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
        self._sent_bytes += len(frame)
        self._transport.write(frame)

    def _receive(self, frame):
        kind, request_id, *rest = frame
        if kind not in (FrameKind.PING, FrameKind.PONG):
            self._used_at = self._received_at
        if kind == FrameKind.PING:
            if self._can_write.is_set():  # otherwise other bytes are on their way
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
        if self._peers.knows(hello.host):
            set_window(self._transport, WIDE_WINDOW_BYTES)
        self._peers.receive_hello(self, hello)

    def _receive_request(self, request_id, name, fields, timeout):
        if request_id in self._incoming:
            raise FrameError(f"request {request_id} is being served")
        responder = _Responder(self, request_id)
        known = not self._accepted or self._peers.knows(self.host)
        if len(self._incoming) >= (
            MAX_INCOMING if known else MAX_INCOMING_OF_STRANGERS
        ):
            self._refuse(responder)
            return
        task = start_task(responder.run(name, fields, timeout), name="answer")
        task.responder = responder
        self._incoming[request_id] = task
        task.add_done_callback(lambda _: self._incoming.pop(request_id, None))

    def _refuse(self, responder):
        """Refuse a request; close the connection if its sender reads nothing."""
        if self._can_write.is_set():
            responder.refuse(f"{len(self._incoming)} requests are being served")
            return
        logger.warning("peer %s sends and does not read", self.host)
        self.close()

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
            if self._is_overdue(now):
                self.close()
                return
            if not self._is_busy() and not self.frame_bytes:
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

    def _is_overdue(self, now):
        """Return whether the other end has not said hello, or reads nothing."""
        self._peers.frames.check(now)
        if self._queued:
            self._received_at = now
        if self._accepted and self.remote is None:
            return now - self._made_at > HELLO_SECONDS
        if self.frame_bytes and not self._peers.frames.is_granted(self):
            if self._accepted and not self._peers.knows(self.host):
                return now - self._frame_since > STRANGER_SECONDS
            if self._peers.frames.request(self):
                self.go_on()
        taken, since = self._taken
        unsent = self._transport.get_write_buffer_size()
        if not unsent or self._sent_bytes - unsent > taken:
            self._taken = (self._sent_bytes - unsent, now)
            return False
        return now - since > UNTAKEN_SECONDS

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
            failure = await self._answer(name, fields, timeout)
        except asyncio.CancelledError:
            self._fail("internal_error", "the request was cancelled")
            raise
        if failure is not None:
            await connection._can_write.wait()
            self._fail(*failure)

    def refuse(self, detail):
        """Answer that the request is not served."""
        self._fail("overloaded", detail, "no", RETRY_SECONDS)

    async def _answer(self, name, fields, timeout):
        """Send the messages of an answer; return the failure that ends it, or None."""
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
        except CallError as error:
            return error.code, error.detail, error.executed, error.retry_after
        except TimeoutError:
            return "deadline_exceeded", "no answer before the deadline"
        except MessageTooLarge as error:
            logger.error("answer to %s: %s", name, error)
            return "internal_error", str(error)
        except PeerError as error:
            return "internal_error", str(error)
        except Exception:
            logger.exception("request %s failed", name)
            return "internal_error", "internal error"
        return None

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
