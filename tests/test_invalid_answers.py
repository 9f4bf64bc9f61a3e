"""Heads that are no answers: a client must never get them as one."""

import asyncio
import unittest
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import StoreUnavailable
from sapphireyard.exchange.exchange import MAX_ANSWER_BYTES
from sapphireyard.scheduling.host_lists import HostListError, HttpHostList
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.upstreams.engines import EngineClient, EngineFailure
from sapphireyard.upstreams.upstreams import UpstreamError, Upstreams
from standins.scripted_upstream import End, ScriptedUpstream
from tests.answer_case import LAST_CHUNK, AnswerTestCase, chunk
from tests.exchange_case import EVENTS

TIMEOUT_SECONDS = 3.0
START_LINES = (
    *(b"HTTP/1.1 %s X" % status for status in (b"000", b"001", b"042", b"099")),
    *(b"HTTP/1.1 %s X" % status for status in (b"600", b"700", b"999")),
    *(b"HTTP/1.1 %s X" % status for status in (b"2", b"20", b"2000", b"0200")),
    *(b"HTTP/1.1 %s X" % status for status in (b"-200", b"+200", b"2x0", b" 200")),
    b"HTTP/1.1 101 X",
    b"HTTP/2.0 200 X",
    b"HTTP/0.9 200 X",
    b"HTTP/11.1 200 X",
    b"RTSP/1.0 200 X",
    b"ICE/1.0 200 X",
    b"http/1.1 200 X",
    b"XHTTP/1.1 200 X",
    b"HTTP/1.1 200 X\x00Y",
    b"HTTP/1.1 200 \x01",
    b"HTTP/1.1 200 X\x7f",
)
LINES_WITH_OTHERS = (b"HTTP/1.1 200 ", b"HTTP/1.0 200 OK", b"HTTP/1.1 200 G\xfct")
"""Start lines of answers, which are unusual but valid."""
FIELDS = b"\r\nRequest-Id: r1\r\n"
SIGNATURE = b"Response-Signature: s\r\n"
WHOLE = b"Content-Length: 4\r\n\r\ndone"
STREAM = b"Transfer-Encoding: chunked\r\n\r\n" + chunk(b"".join(EVENTS)) + LAST_CHUNK
PATHS = (("/chat/1", STREAM), ("/book/1", WHOLE), ("/view/1", WHOLE))


class InvalidAnswerTest(AnswerTestCase):
    async def check_refused(self, *steps, path):
        await self.answer(*steps, path=path, timeout=TIMEOUT_SECONDS)
        self.assertNotIn(self.reply.log[0][0], ("start", "complete"))
        self.assertIn(self.reply.status, (502, 504))

    async def test_heads_that_are_no_answers(self):
        """Sent whole, and in two parts at each of the first bytes."""
        for path, body in PATHS:
            for line in START_LINES:
                head = line + FIELDS + SIGNATURE
                for cut in (0, 3, 7, 9, 12):
                    with self.subTest(path=path, line=line, cut=cut):
                        await self.asyncSetUp()
                        parts = (head[:cut], 0.005, head[cut:] + body)
                        await self.check_refused(*parts, End.CLOSE, path=path)

    async def test_success_needs_a_signature(self):
        for signature in (
            b"",
            b"Response-Signature:\r\n",
            b"Response-Signature:  \r\n",
        ):
            for path, body in PATHS:
                with self.subTest(path=path, signature=signature):
                    await self.asyncSetUp()
                    answer = b"HTTP/1.1 200 X" + FIELDS + signature + body
                    await self.check_refused(answer, End.CLOSE, path=path)

    async def test_unusual_heads_that_are_answers(self):
        for path, body in PATHS:
            for line in LINES_WITH_OTHERS:
                with self.subTest(path=path, line=line):
                    await self.asyncSetUp()
                    answer = line + FIELDS + SIGNATURE + body
                    await self.answer(answer, End.STAY, path=path)
                    self.assertEqual(self.reply.status, 200)
                    self.assertTrue(self.complete)

    async def test_all_final_statuses_are_answers(self):
        for status in (200, 226, 299, 304, 399, 400, 451, 499, 500, 599):
            with self.subTest(status):
                await self.asyncSetUp()
                head = b"HTTP/1.1 %d X" % status + FIELDS + SIGNATURE
                await self.answer(head + WHOLE, End.STAY, path="/book/1")
                self.assertEqual(self.reply.status, status)

    async def test_stated_sizes(self):
        """Cases are the method, the bytes that the head states, and the status."""
        largest = MAX_ANSWER_BYTES
        for method, size, status in (
            ("HEAD", largest + 1, 200),
            ("HEAD", 10**18, 200),
            ("GET", largest + 1, 502),
            ("GET", 10**18, 502),
        ):
            with self.subTest(method=method, size=size):
                await self.asyncSetUp()
                head = b"HTTP/1.1 200 X" + FIELDS + SIGNATURE
                head += b"Content-Length: %d\r\n\r\n" % size
                await self.answer(head, End.STAY, path="/view/1", method=method)
                self.assertEqual(self.reply.status, status)

    async def test_invalid_head_after_an_interim_one(self):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        for line in (b"HTTP/1.1 000 X", b"RTSP/1.0 200 X", b"HTTP/1.1 999 X"):
            for pause in ((), (0.02,)):
                with self.subTest(line=line, pause=pause):
                    await self.asyncSetUp()
                    rest = line + FIELDS + SIGNATURE + WHOLE
                    steps = (interim, *pause, rest) if pause else (interim + rest,)
                    await self.check_refused(*steps, End.CLOSE, path="/book/1")


class InvalidAnswerOfOthersTest(unittest.IsolatedAsyncioTestCase):
    """The other clients of this project: of upstreams, engines, stores and hosts."""

    async def list_clients(self, address):
        """Return a name, a call, and the error that it must raise, of each client."""
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        engines = EngineClient()
        await engines.open()
        self.addAsyncCleanup(engines.close)
        store = ObjectStore(f"http://{address}")
        self.addAsyncCleanup(store.close)

        async def stream():
            events = upstreams.stream_completion(address, "{}", program="")
            return [event async for event in events]

        def call():
            return upstreams.call_service(
                address, "x", "{}", idempotency_key="", repeatable=True
            )

        return [
            ("completion", stream, UpstreamError),
            ("service", call, UpstreamError),
            ("release", lambda: upstreams.release_program(address, "p"), UpstreamError),
            ("engine", lambda: engines.read_load(address), EngineFailure),
            ("store", lambda: store.get("a"), StoreUnavailable),
            ("host list", HttpHostList(address).read, HostListError),
        ]

    async def test_heads_that_are_no_answers(self):
        server = ScriptedUpstream()
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        body = b"Content-Length: 2\r\n\r\n{}"
        for name, call, error in await self.list_clients(address):
            for line in START_LINES:
                with self.subTest(client=name, line=line):
                    server.steps = (line + FIELDS + body, End.CLOSE)
                    with self.assertRaises(error):
                        async with asyncio.timeout(TIMEOUT_SECONDS):
                            await call()

    async def test_probe_of_an_upstream(self):
        server = ScriptedUpstream()
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        for line in (*START_LINES, *LINES_WITH_OTHERS):
            with self.subTest(line):
                server.steps = (line + FIELDS + b"Content-Length: 0\r\n\r\n", End.CLOSE)
                answers = await upstreams.probe(address)
                self.assertEqual(answers, line in LINES_WITH_OTHERS)
