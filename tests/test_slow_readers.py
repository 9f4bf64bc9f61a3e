"""Tests callers that do not read their answers, over real sockets on loopback."""

import asyncio
import contextlib
import socket
import sys
from types import SimpleNamespace

from sapphireyard.exchange.held import MEBIBYTE
from standins.scripted_upstream import build_head
from tests.answer_case import CHUNKED_HEAD, LAST_CHUNK, AnswerTestCase, chunk
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter.callers import CallerInterface  # noqa: E402

EVENT = b"id: 1\ndata: " + b"x" * 16_000 + b"\n\n"
LONG_STREAM_EVENTS = 500
"""8 MB: more than the buffers of two sockets."""
SLOW_CALLERS = 300
WAVE_CALLERS = 30
"""Callers at a time, so that they do not run out of time in the queue."""
DESCRIPTORS = 4096
SOCKET_BUFFER_BYTES = 4096
WAIT_SECONDS = 15.0


class SlowReaderCase(AnswerTestCase):
    """Callers connect to an entry host's interface; the upstream is scripted."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.runtime.settings = SimpleNamespace(
            caller_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            directory_address="127.0.0.1:0",
            address_seconds=1,
            descriptors=DESCRIPTORS,
        )
        self.callers = CallerInterface(
            self.runtime, self.exchange, list_addresses=list, is_ready=lambda: True
        )
        await self.callers.on_start()
        self.addAsyncCleanup(self.callers.on_stop)
        runner = self.callers._runners[0]
        self.address = runner.addresses[0]
        (site,) = runner.sites
        (listener,) = site._server.sockets
        # Accepted sockets inherit the size; otherwise the kernel takes whole answers.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)

    async def send(self, path, number=1, *, timeout_ms=2000, body=b"body"):
        """Send a request without reading its answer; return the streams."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, self.address)
        reader, writer = await asyncio.open_connection(
            sock=caller, limit=SOCKET_BUFFER_BYTES
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: r{number}\r\n"
            f"Credential: k\r\nDeadline-Ms: {timeout_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        self.addCleanup(writer.close)
        return reader, writer

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)


class SlowReaderTest(SlowReaderCase):
    async def test_a_caller_that_does_not_read_keeps_no_slot(self):
        """The engine's slot is free and the turn durable before the caller reads."""
        stream = [chunk(EVENT)] * LONG_STREAM_EVENTS
        self.upstream.steps = (CHUNKED_HEAD, *stream, LAST_CHUNK)
        reader, _ = await self.send("/chat/1", timeout_ms=1000)
        await self.wait_until(lambda: self.runtime.history.turns)
        self.assertEqual(self.runtime.pools.running, {})

        await asyncio.sleep(1.0)  # past the deadline: late for its caller only
        answer = await asyncio.wait_for(read_to_end(reader), WAIT_SECONDS)
        self.assertEqual(answer.count(b"x"), LONG_STREAM_EVENTS * EVENT.count(b"x"))

    async def test_an_error_answer_that_is_not_read_keeps_no_slot(self):
        body = b"e" * (6 * MEBIBYTE)
        self.upstream.steps = (
            build_head("r1", f"Content-Length: {len(body)}", status="400 Bad Request"),
            body,
        )
        reader, _ = await self.send("/chat/1")
        await self.wait_until(lambda: self.runtime.held.highest > len(body))
        await self.wait_until(lambda: not self.runtime.pools.running)
        answer = await asyncio.wait_for(read_to_end(reader, b"e" * 100), WAIT_SECONDS)
        self.assertIn(b"400 Bad Request", answer)

    async def test_hundreds_of_callers_that_do_not_read_stay_below_the_limit(self):
        """Each is sent 160 kB, together twice as much as the host may keep."""
        held = self.runtime.held
        held.limit = 48 * MEBIBYTE
        self.upstream.steps = (CHUNKED_HEAD, *[chunk(EVENT)] * 10, LAST_CHUNK)
        connections = []
        while len(connections) < SLOW_CALLERS:
            connections += [await self.send("/chat/1") for _ in range(WAVE_CALLERS)]
            count = len(connections)
            await self.wait_until(lambda n=count: self.exchange.total_requests == n)
            await self.wait_until(lambda: not self.exchange.open_requests)
        self.assertEqual(self.runtime.pools.running, {})
        self.assertGreater(held.highest, held.limit * 0.5)
        self.assertLess(held.highest, held.limit + 2 * MEBIBYTE)

        reading = [read_to_end(reader) for reader, _ in connections]
        answers = await asyncio.gather(*reading, return_exceptions=True)
        served = [a for a in answers if b" 200 OK" in a]
        complete = [a for a in served if a.endswith(LAST_CHUNK)]
        refused = [a for a in answers if b" 503 " in a]
        self.assertTrue(all(b"Retry-After: " in answer for answer in refused))
        # The others were let go to make room for answers that came later.
        self.assertGreaterEqual(len(complete), 30)
        self.assertEqual(len(served) + len(refused), SLOW_CALLERS)
        await self.wait_until(lambda: not held.count)
        self.assertEqual(held.total, 0)

    async def test_a_caller_that_has_gone_is_forgotten(self):
        self.upstream.steps = (CHUNKED_HEAD, *[chunk(EVENT)] * 400, LAST_CHUNK)
        _, writer = await self.send("/chat/1")
        await self.wait_until(lambda: self.callers.undelivered)
        writer.transport.abort()
        await self.wait_until(lambda: not self.runtime.held.count)
        self.assertEqual(self.callers.undelivered, 0)

    async def test_idle_connections_are_closed_before_descriptors_run_out(self):
        (sweep,) = [
            each
            for each in self.callers._children
            if each._server is self.callers._runners[0].server
        ]
        sweep._max_connections = 10
        self.upstream.steps = (build_head("r1", "Content-Length: 2"), b"ok")
        connections = []
        for _ in range(15):
            connections.append(await self.send("/view/1"))
            await connections[-1][0].readuntil(b"ok")
        self.upstream.steps = (CHUNKED_HEAD, chunk(EVENT), 1.0, LAST_CHUNK)
        busy, _ = await self.send("/chat/1")
        await self.wait_until(lambda: self.exchange.open_requests)
        closed = sweep._choose_idle()
        self.assertEqual(len(closed), 6)
        for connection in closed:
            connection.force_close()
        answer = await asyncio.wait_for(read_to_end(busy), WAIT_SECONDS)
        self.assertTrue(answer.endswith(LAST_CHUNK))
        ended = [await self.is_ended(reader) for reader, _ in connections]
        self.assertEqual(ended, [True] * 6 + [False] * 9)

    async def is_ended(self, reader):
        try:
            return not await asyncio.wait_for(reader.read(1), 0.05)
        except TimeoutError:
            return False


async def read_to_end(reader, end=LAST_CHUNK):
    """Return the bytes up to the end of an answer or of its connection."""
    answer = bytearray()
    with contextlib.suppress(ConnectionError):
        while not answer.endswith(end):
            data = await reader.read(65536)
            if not data:
                break
            answer += data
            if b" 503 " in answer[:20]:
                break
    return bytes(answer)
