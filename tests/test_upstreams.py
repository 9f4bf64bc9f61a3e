"""Tests of broken and silent connections to upstreams."""

import asyncio
import unittest
from types import SimpleNamespace

from aiohttp import web

from sapphireyard.clocks import Clock
from sapphireyard.upstreams.liveness import ProgressLimits
from sapphireyard.upstreams.upstreams import UpstreamError, Upstreams, UpstreamSilent
from standins.scripted_upstream import End, ScriptedUpstream, build_head

LIMITS = ProgressLimits(first_byte=1.0, next_byte=0.5)
TEST_TIMEOUT_SECONDS = 10.0
PAUSE_SECONDS = 0.02


class SilentEngine:
    """Sends some events, then nothing; health checks succeed if `answers`."""

    def __init__(self, *, events, answers):
        self.events = events
        self.answers = answers
        self.closed = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_post("/v1/chat/completions", self.complete)
        self.app.router.add_get("/healthz", self.show_health)

    async def complete(self, request):
        response = web.StreamResponse()
        try:
            if self.events:
                await response.prepare(request)
            for _ in range(self.events):
                await response.write(b"data: {}\n\n")
            await asyncio.Event().wait()
        finally:
            self.closed.set()

    async def show_health(self, request):
        return web.Response(status=200 if self.answers else 503)


class BrokenOffServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_without_a_length(self):
        """Cases are the end of the connection, and whether the answer counts."""
        cases = [(End.CLOSE, True), (End.RESET, False), (End.CRASH, False)]
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        for end, counts in cases:
            with self.subTest(end):
                server = ScriptedUpstream((build_head("r1"), b"{}", PAUSE_SECONDS, end))
                address = await server.start()
                self.addAsyncCleanup(server.stop)
                call = upstreams.call_service(
                    address, "book", "{}", idempotency_key="", repeatable=False
                )
                if counts:
                    self.assertEqual(await call, (200, "{}"))
                    continue
                with self.assertRaises(UpstreamError) as raised:
                    await call
                self.assertTrue(raised.exception.sent)
                self.assertTrue(raised.exception.crashed)


class ProgressWatchTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, engine):
        runner = web.AppRunner(engine.app, handler_cancellation=True)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*runner.addresses[0])

    async def read(self, upstreams, address, received):
        events = upstreams.stream_completion(address, "{}", program="")
        async with upstreams.watch_progress(address, LIMITS) as note_progress:
            async for data in events:
                note_progress()
                received.append(data)

    async def test_silent_stream_is_cancelled(self):
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await upstreams.on_start()
        self.addAsyncCleanup(upstreams.on_stop)
        for events, answers in ((0, True), (0, False), (2, True), (2, False)):
            with self.subTest(events=events, answers=answers):
                engine = SilentEngine(events=events, answers=answers)
                address = await self.serve(engine)
                received = []
                with self.assertRaises(UpstreamSilent) as raised:
                    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                        await self.read(upstreams, address, received)
                self.assertEqual(len(received), events)
                self.assertTrue(raised.exception.sent)
                self.assertEqual(raised.exception.counts_as_failure, not answers)
                await engine.closed.wait()

    async def test_callers_deadline_raises_timeout_error(self):
        upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0):
                async with upstreams.watch_progress("127.0.0.1:1", LIMITS):
                    await asyncio.Event().wait()
