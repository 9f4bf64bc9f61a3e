"""Requests between hosts.

`Peers` keeps one connection to each host that it sends requests to, and serves
the requests of other hosts. Customers' keys are never sent between hosts.
"""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

import mode
from opentelemetry import metrics

from sapphireyard.addresses import parse_address
from sapphireyard.exceptions import PeerError, PeerUnavailable
from sapphireyard.intake import ACCEPTED_AT_ONCE, LISTEN_BACKLOG, open_listener
from sapphireyard.streams import generated_messages
from sapphireyard.streams.connections import Connection
from sapphireyard.streams.frames import MessageCodec, MessageTooLarge
from sapphireyard.streams.generated_messages import Hello
from sapphireyard.streams.unfinished_frames import UnfinishedFrames
from sapphireyard.tasks import start_task
from sapphireyard.timeouts import AnswerDeadline, limit_wait

logger = logging.getLogger(__name__)

PROTOCOL = 1
OLDEST_PROTOCOL = 1
CONNECT_SECONDS = 1.0
PING_SECONDS = 0.5
SILENCE_SECONDS = 1.5
IDLE_SECONDS = 30.0
FRAME_BYTES = 32 * 1024 * 1024
"""Bytes of all large frames that are received at a time, unless settings say so."""
MAX_LOGGED_TEXT = 200


@dataclass(frozen=True)
class PeerContext:
    """The sender of a request."""

    host: str
    incarnation: int


class Peers(mode.Service):
    """Sends requests to other hosts and serves theirs.

    Register handlers before the start; then use `ask`, `stream` or `tell`.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    ping_seconds : float, optional
        Interval between pings on a connection.
    silence_seconds : float, optional
        Seconds without received data after which a connection is closed as dead.
    idle_seconds : float, optional
        Seconds without a request after which a connection is closed.
    frame_bytes : float, optional
        Bytes of all large frames that are received at a time.

    Attributes
    ----------
    intake : Intake
        The connections that the process has accepted.
    knows : callable
        Returns whether a name belongs to a host of the fleet; only these may send
        large frames.
    """

    def __init__(
        self,
        runtime,
        *,
        ping_seconds=PING_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        idle_seconds=IDLE_SECONDS,
        frame_bytes=FRAME_BYTES,
    ):
        super().__init__()
        self._runtime = runtime
        self.intake = runtime.intake
        self.frames = UnfinishedFrames(frame_bytes)
        self.knows = lambda host: True
        self.ping_seconds = ping_seconds
        self.silence_seconds = silence_seconds
        self.idle_seconds = idle_seconds
        self._handlers = {}
        self._stream_handlers = {}
        self._hello_callbacks = []
        self._connections = {}
        self._accepted = set()
        self._connecting = {}
        self._server = None
        self.codec = MessageCodec()
        self.codec.register_module(generated_messages)
        self.static_addresses = {}
        self.sent_bytes = 0
        metrics.get_meter("sapphireyard").create_observable_counter(
            "sapphireyard_peer_bytes",
            [self._observe_bytes],
            unit="By",
            description="Bytes of frames sent to other hosts.",
        )

    @property
    def address(self):
        """str: IP:PORT on which this host listens."""
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    def _observe_bytes(self, options):
        return [metrics.Observation(self.sent_bytes)]

    def register(self, message_class, handler):
        """Serve `message_class` with ``await handler(message, context)``."""
        self._handlers[message_class] = handler

    def register_stream(self, message_class, handler):
        """Serve `message_class` with an async generator of messages."""
        self._stream_handlers[message_class] = handler

    def on_hello(self, callback):
        """Call ``callback(host, hello)`` for each hello of a peer."""
        self._hello_callbacks.append(callback)

    async def listen(self):
        """Open the listening socket; called before other services start."""
        if self._server is not None:
            return
        listener = open_listener(self._runtime.settings.peer_address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, sock=listener, backlog=ACCEPTED_AT_ONCE
        )
        # The event loop accepts as many at a time as it lets wait; more may wait.
        listener.listen(LISTEN_BACKLOG)

    async def on_start(self):
        await self.listen()

    async def on_stop(self):
        if self._server is not None:
            self._server.close()
        for connection in [*self._connections.values(), *self._accepted]:
            connection.close()

    def _accept(self):
        connection = Connection(self, accepted=True)
        self._accepted.add(connection)
        return connection

    def build_hello(self):
        """Return the hello of this host."""
        configuration = getattr(self._runtime.configuration, "current", None)
        assignment = getattr(self._runtime.ownership, "assignment", None)
        return Hello(
            host=self._runtime.host,
            incarnation=self._runtime.incarnation,
            protocol=PROTOCOL,
            oldest_protocol=OLDEST_PROTOCOL,
            configuration=configuration.version if configuration else 0,
            assignment=assignment.version if assignment else 0,
        )

    def receive_hello(self, connection, hello):
        """Call the callbacks for the hello of a peer."""
        for callback in self._hello_callbacks:
            callback(hello.host, hello)

    def receive_tell(self, connection, message):
        """Serve a message that has no answer."""
        self.add_future(self._serve_tell(connection, message))

    async def _serve_tell(self, connection, message):
        try:
            async for _ in self.serve(connection, message):
                pass
        except Exception:
            logger.exception("message %s failed", type(message).__name__)

    def forget(self, connection):
        """Drop a connection that ended."""
        self._accepted.discard(connection)
        for host, known in list(self._connections.items()):
            if known is connection:
                del self._connections[host]

    async def serve(self, connection, message):
        """Yield the messages that answer a request of `connection`."""
        remote = connection.remote if connection is not None else self.build_hello()
        context = PeerContext(
            host=remote.host if remote else "",
            incarnation=remote.incarnation if remote else 0,
        )
        handler = self._handlers.get(type(message))
        if handler is not None:
            yield await handler(message, context)
            return
        stream_handler = self._stream_handlers.get(type(message))
        if stream_handler is None:
            raise PeerError(f"no handler for {type(message).__name__}")
        async with contextlib.aclosing(stream_handler(message, context)) as items:
            async for item in items:
                yield item

    async def ask(self, host, message, *, timeout):
        """Return the single message that answers a request.

        Raises
        ------
        PeerUnavailable
            The host could not be reached or did not answer in `timeout` seconds;
            ``sent`` tells whether the request may have been executed.
        CallError
            The answer is an error.
        """
        async with contextlib.aclosing(
            self.stream(host, message, timeout=timeout)
        ) as answers:
            async for answer in answers:
                return answer
        raise PeerUnavailable(f"empty answer from {host}")

    async def stream(self, host, message, *, timeout):
        """Yield the messages that answer a request; see `ask` for errors."""
        deadline = AnswerDeadline(timeout)
        async with contextlib.aclosing(
            self._request(host, message, timeout)
        ) as answers:
            while True:
                try:
                    async with limit_wait(deadline):
                        answer = await anext(answers)
                except StopAsyncIteration:
                    return
                except TimeoutError as error:
                    raise PeerUnavailable(
                        f"no answer from {host} in {timeout:g} s"
                    ) from error
                yield answer

    async def _request(self, host, message, timeout):
        if host == self._runtime.host:
            async with contextlib.aclosing(self.serve(None, message)) as answers:
                async for answer in answers:
                    yield answer
            return
        connection = await self._connect(host)
        async with connection.request(message, timeout=timeout) as answers:
            async for answer in answers:
                yield answer

    def tell(self, host, message):
        """Send a message without an answer, if the host can be reached."""
        self.add_future(self._tell(host, message))

    async def _tell(self, host, message):
        if host == self._runtime.host:
            await self._serve_tell(None, message)
            return
        try:
            connection = await self._connect(host)
        except PeerUnavailable as error:
            logger.debug("message to %s dropped: %s", host, error)
            return
        try:
            connection.tell(message)
        except MessageTooLarge as error:
            logger.error("%s to %s: %s", type(message).__name__, host, error)

    async def _connect(self, host):
        connection = self._connections.get(host)
        if connection is not None and connection.is_open:
            return connection
        pending = self._connecting.get(host)
        if pending is None:
            pending = start_task(self._open(host), name=f"connect to {host}")
            self._connecting[host] = pending
            pending.add_done_callback(lambda _: self._connecting.pop(host, None))
        return await asyncio.shield(pending)

    async def _open(self, host):
        address = self._find_address(host)
        try:
            ip, port = parse_address(address)
        except ValueError as error:  # as other hosts, or another writer, have it
            raise PeerUnavailable(
                f"{host}: invalid address {address[:MAX_LOGGED_TEXT]!r}: {error}",
                sent=False,
            ) from error
        loop = asyncio.get_running_loop()
        connection = Connection(self)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await loop.create_connection(lambda: connection, ip, port)
                hello = await connection.hello
        except (OSError, TimeoutError) as error:
            connection.close()
            raise PeerUnavailable(f"{host}: {error!r}", sent=False) from error
        if hello.host != host:
            connection.close()
            raise PeerUnavailable(
                f"{ip}:{port} belongs to {hello.host}, not to {host}", sent=False
            )
        self._connections[host] = connection
        return connection

    def _find_address(self, host):
        address = self.static_addresses.get(host)
        if address is not None:
            return address
        assignment = (
            self._runtime.ownership.assignment if self._runtime.ownership else None
        )
        member = assignment.members.get(host) if assignment else None
        if member is None:
            raise PeerUnavailable(f"{host} is not a member", sent=False)
        return member.peer_address
