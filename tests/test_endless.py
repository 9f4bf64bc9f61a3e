"""Tests upstreams that send bytes without end."""

import asyncio
import contextlib
import sys
import tracemalloc
import unittest
from types import SimpleNamespace
from unittest import mock

from sapphireyard.answers import MAX_STRAY_BYTES
from sapphireyard.clocks import Clock
from sapphireyard.exceptions import SapphireyardError, WatchExpired
from sapphireyard.scheduling import host_lists
from sapphireyard.scheduling.host_lists import HostListError, HttpHostList
from sapphireyard.storage import objects
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.unfinished import FREE_BYTES, UnfinishedBodies
from sapphireyard.upstreams import (
    engines as engines_module,
    upstreams as upstreams_module,
)
from sapphireyard.upstreams.engines import EngineClient, EngineFailure
from sapphireyard.upstreams.upstreams import UpstreamError, Upstreams
from standins.scripted_upstream import End, Endless, ScriptedUpstream, build_head
from tests.answer_case import CHUNKED_HEAD, HEAD, AnswerTestCase, chunk
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter import store as adapter_store  # noqa: E402
from adapter.store import PlatformStore  # noqa: E402

TIMEOUT_SECONDS = 1.0
"""Deadline of each request."""
CLOSE_SECONDS = 0.5
"""Time after the request in which its connection must be closed."""
MAX_MEMORY_BYTES = 32 * 1024 * 1024
"""A fifth of the memory of the smallest hosts, less what the test itself needs."""
LARGEST_BYTES = 1024 * 1024
"""Largest answer in the tests of clients that take more than the memory above."""
MAX_SENT_BYTES = 16 * 1024 * 1024
"""What such a client and the system between may take until the connection ends."""
BLOCK_BYTES = 64 * 1024
PAUSE_SECONDS = 0.02
"""Time in which an answer is delivered before other bytes follow it."""

NOISE = Endless(b"\x00\x01\x02\x03" * (BLOCK_BYTES // 4))
LINE = Endless(b"x" * BLOCK_BYTES)
HEADERS = Endless(b"X-Y: z\r\n" * (BLOCK_BYTES // 8))
INTERIM = Endless(b"HTTP/1.1 102 Processing\r\n\r\n" * (BLOCK_BYTES // 27))
DATA_LINES = Endless(b"data: x\n" * (BLOCK_BYTES // 8))
EVENTS = Endless(b"data: x\n\n" * (BLOCK_BYTES // 9))
ANSWERS = Endless(build_head("r1", "Content-Length: 0") * 500)

HEADS = [
    ("noise", (NOISE,)),
    ("status line", (b"HTTP/1.1 200 ", LINE)),
    ("header line", (HEAD[:-2] + b"X-Y: ", LINE)),
    ("headers", (HEAD[:-2], HEADERS)),
    ("interim answers", (INTERIM,)),
]
"""Answers whose head never ends, as (name, steps)."""
BODIES = [
    ("line", (HEAD, LINE)),
    ("event", (HEAD, DATA_LINES)),
    ("events", (HEAD, EVENTS)),
    ("noise", (HEAD, NOISE)),
    ("chunks", (CHUNKED_HEAD, Endless(chunk(EVENTS.data)))),
    ("chunk extension", (CHUNKED_HEAD, b"5;", LINE)),
    ("trailers", (CHUNKED_HEAD, chunk(b"data: x\n\n"), b"0\r\n", HEADERS)),
]
"""Answers whose body never ends."""


class EndlessTest(AnswerTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        tracemalloc.start()
        tracemalloc.reset_peak()
        self.addCleanup(tracemalloc.stop)

    async def check(self, *steps, path):
        """Send a request, which must fail, and free connection and memory."""
        await self.answer(*steps, path=path, timeout=TIMEOUT_SECONDS)
        self.assertFalse(self.complete)
        async with asyncio.timeout(CLOSE_SECONDS):
            await self.upstream.closed.wait()
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)

    async def test_bytes_without_end(self):
        """Turns, and bookings, whose answers are buffered."""
        for path in ("/chat/1", "/book/1"):
            for name, steps in HEADS + BODIES:
                with self.subTest(f"{path} {name}"):
                    await self.asyncSetUp()
                    await self.check(*steps, path=path)

    async def test_many_answers_without_a_body_are_not_endless(self):
        """Their heads have more bytes together than may come without any of a body."""
        padding = "X-Y: " + "z" * 8000
        head = build_head("r1", padding, status=204)
        for _ in range(2 * MAX_STRAY_BYTES // len(head)):
            await self.answer(head, End.STAY, path="/book/1")
            self.assertEqual(self.reply.status, 204)
        self.assertEqual(self.upstream.connections, 1)

    async def test_bytes_without_end_after_an_answer(self):
        """The answer counts; the connection is not left to the next request."""
        whole = build_head("r1", "Content-Length: 4") + b"done"
        for name, steps in [*HEADS, ("answers", (ANSWERS,))]:
            with self.subTest(name):
                await self.asyncSetUp()
                await self.answer(whole, PAUSE_SECONDS, *steps, path="/book/1")
                self.assertTrue(self.complete)
                async with asyncio.timeout(CLOSE_SECONDS):
                    await self.upstream.closed.wait()
                self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)


class EndlessOnOwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_without_end(self):
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, steps in HEADS + BODIES:
            with self.subTest(name):
                server = ScriptedUpstream(steps)
                address = await server.start()
                self.addAsyncCleanup(server.stop)
                with self.assertRaises((UpstreamError, TimeoutError)):
                    async with asyncio.timeout(TIMEOUT_SECONDS):
                        stream = upstreams.stream_completion(address, "{}", program="")
                        async for _ in stream:
                            pass
                async with asyncio.timeout(CLOSE_SECONDS):
                    await server.closed.wait()
                peak = tracemalloc.get_traced_memory()[1]
                self.assertLess(peak, MAX_MEMORY_BYTES)
                tracemalloc.reset_peak()


class EndlessForOthersTest(unittest.IsolatedAsyncioTestCase):
    """Clients of engines, stores and host lists, whose answers have a largest size."""

    async def test_bytes_without_end(self):
        server = ScriptedUpstream()
        address = await server.start()
        self.addAsyncCleanup(server.stop)
        engines = EngineClient()
        await engines.open()
        self.addAsyncCleanup(engines.close)
        store = ObjectStore(f"http://{address}")
        self.addAsyncCleanup(store.close)
        site_store = PlatformStore(address)
        self.addAsyncCleanup(site_store.close)
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)

        def release():
            return upstreams.release_program(address, "p")

        def watch():
            return site_store.watch_objects("k", revision=1, seconds=0.1)

        cases = [
            ("engine", engines_module, lambda: engines.read_load(address)),
            ("store", objects, lambda: store.get("a")),
            (
                "platform's store",
                adapter_store,
                lambda: site_store.get_object("k", "a"),
            ),
            ("platform's watch", adapter_store, watch),
            ("host list", host_lists, HttpHostList(address).read),
            ("release", upstreams_module, release),
        ]
        errors = (SapphireyardError, EngineFailure, HostListError, UpstreamError)
        for name, module, call in cases:
            for body, steps in HEADS + BODIES:
                with self.subTest(client=name, body=body):
                    server.steps = steps
                    server.closed.clear()
                    server.sent_bytes = 0
                    limit = mock.patch.object(module, "MAX_ANSWER_BYTES", LARGEST_BYTES)
                    with limit, self.assertRaises(errors) as raised:
                        async with asyncio.timeout(TIMEOUT_SECONDS):
                            await call()
                    if name == "platform's watch" and (body, steps) in BODIES[:4]:
                        self.assertIsInstance(raised.exception, WatchExpired)
                    async with asyncio.timeout(CLOSE_SECONDS):
                        await server.closed.wait()
                    self.assertLess(server.sent_bytes, MAX_SENT_BYTES)


class UnfinishedBodiesTest(unittest.IsolatedAsyncioTestCase):
    async def grow(self, answers, *sizes):
        """Let each answer in turn take bytes; return which of them may."""
        tasks = [asyncio.ensure_future(g(s)) for g, s in zip(answers, sizes)]
        await asyncio.sleep(0)
        done = [task.done() for task in tasks]
        self.waiting = [task for task in tasks if not task.done()]
        return done

    async def asyncSetUp(self):
        self.unfinished = UnfinishedBodies(10 * FREE_BYTES)
        self.stack = [contextlib.ExitStack() for _ in range(4)]
        self.answers = [
            each.enter_context(self.unfinished.open()) for each in self.stack
        ]
        for each in self.stack:
            self.addCleanup(each.close)

    async def test_only_the_largest_grows_once_the_bytes_are_used_up(self):
        full = [4 * FREE_BYTES, 3 * FREE_BYTES, 3 * FREE_BYTES, 0]
        self.assertEqual(await self.grow(self.answers, *full), [True] * 4)
        more = [20 * FREE_BYTES, 1, 1, FREE_BYTES]
        self.assertEqual(
            await self.grow(self.answers, *more), [True, False, False, True]
        )
        self.stack[0].close()
        await asyncio.wait(self.waiting, timeout=1)
        self.assertTrue(all(task.done() for task in self.waiting))
        self.assertEqual(self.unfinished.total, 7 * FREE_BYTES + 2)

    async def test_next_largest_goes_on_after_the_largest(self):
        await self.grow(self.answers, *(4 * FREE_BYTES,) * 2, 2 * FREE_BYTES, 0)
        await self.grow(self.answers, *(40 * FREE_BYTES, 40 * FREE_BYTES))
        (second,) = self.waiting
        self.stack[0].close()
        await asyncio.wait([second], timeout=1)
        self.assertTrue(second.done())

    async def test_bytes_that_are_not_kept_any_more_make_room(self):
        await self.grow(self.answers, 5 * FREE_BYTES, 5 * FREE_BYTES, 0, 0)
        self.assertEqual(
            await self.grow(self.answers, 1, 2 * FREE_BYTES), [True, False]
        )
        await self.answers[0](-3 * FREE_BYTES)
        await asyncio.wait(self.waiting, timeout=1)
        self.assertEqual(self.unfinished.total, 9 * FREE_BYTES + 1)

    async def test_cancelled_answer_leaves_nothing(self):
        await self.grow(self.answers, *(4 * FREE_BYTES,) * 2, 2 * FREE_BYTES, 0)
        await self.grow(self.answers, 1, FREE_BYTES)
        for task in self.waiting:
            task.cancel()
        for each in self.stack:
            each.close()
        self.assertEqual(self.unfinished.total, 0)
