"""Tests requests that may not be repeated and whose callers leave."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

from sapphireyard.exceptions import UpstreamFailed
from sapphireyard.exchange.calls import Upstream, UpstreamAnswer
from tests.exchange_case import (
    ExchangeTestCase,
    RecordingReply,
    ScriptedSender,
    build_table,
)

SETTLE_SECONDS = 0.02
PATH = "/book/1"


class HeldSender(ScriptedSender):
    """Carries out each step of its script once the test has set `released`."""

    def __init__(self):
        super().__init__()
        self.entered = 0
        self.released = asyncio.Event()

    @asynccontextmanager
    async def send(self, dispatch):
        self.entered += 1
        await self.released.wait()
        step = self.script.pop(0) if self.script else "complete"
        if step == "unreachable":
            raise UpstreamFailed("no connection", sent=False)
        self.sent.append(dispatch)
        if step == "full":
            yield UpstreamAnswer(503, refused=True, chunks=self.stream_parts([]))
            return
        yield UpstreamAnswer(200, signed=True, chunks=self.stream_parts([b"answer"]))


class DepartedCallerTest(ExchangeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.apply_table(replace(build_table(rate=10.0, burst=10.0), version=2))
        self.exchange._sender = self.exchange._plain._sender = HeldSender()
        self.sender = self.exchange._sender
        upstream = Upstream("plain-1", "plain", "127.0.0.1:1", slots=1)
        self.runtime.pools.set_upstreams([upstream])

    async def start(self, request_id):
        """Serve a request; return its task once it has got as far as it can."""
        serving = asyncio.ensure_future(self.serve(PATH, request_id=request_id))
        await asyncio.sleep(SETTLE_SECONDS)
        return serving

    async def leave(self, serving):
        """End the connection of a request's caller."""
        serving.cancel()
        await asyncio.wait([serving])
        await asyncio.sleep(SETTLE_SECONDS)

    def count_tokens(self):
        """Return the requests that count against the customer's rate."""
        return self.runtime.quotas.counts()

    async def test_request_in_a_queue_ends_with_its_caller(self):
        first = await self.start("r1")
        counts = self.count_tokens()
        waiting = await self.start("r2")
        self.assertNotEqual(self.count_tokens(), counts)
        await self.leave(waiting)
        self.assertEqual(self.count_tokens(), counts)
        self.sender.released.set()
        await first
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual([d.call.request_id for d in self.sender.sent], ["r1"])
        self.assertEqual(self.runtime.pools.running, {})

    async def test_log_tells_a_stop_from_a_caller_that_left(self):
        for connected, code in ((True, "stopped"), (False, "caller_gone")):
            with self.subTest(code):
                await self.asyncSetUp()
                serving = await self.start("r1")
                with (
                    mock.patch.object(RecordingReply, "connected", connected),
                    self.assertLogs("sapphireyard.exchange.exchange") as logs,
                ):
                    await self.leave(serving)
                (line,) = [r for r in logs.records if r.msg == "request ended"]
                self.assertEqual(line.code, code)

    async def test_request_that_got_its_slot_as_its_caller_left_is_not_sent(self):
        first = await self.start("r1")
        waiting = await self.start("r2")
        self.sender.released.set()
        while not first.done():
            await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait([waiting])
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertLessEqual(self.sender.entered, 2)
        self.assertEqual(self.runtime.pools.running, {})

    async def test_request_handed_to_an_upstream_goes_on_without_its_caller(self):
        """Its caller leaves while the upstream has it.

        Cases are what the upstream does then, and whether the request still counts
        against the rate: unless nothing was sent. It is not sent again.
        """
        for step, counts in (
            ("complete", True),
            ("full", True),
            ("unreachable", False),
        ):
            with self.subTest(step):
                await self.asyncSetUp()
                before = self.count_tokens()
                self.sender.script = [step]
                with self.assertLogs("sapphireyard.exchange.exchange") as logs:
                    await self.leave(await self.start("r1"))
                    self.assertNotEqual(self.count_tokens(), before)
                    self.sender.released.set()
                    await asyncio.sleep(SETTLE_SECONDS)
                self.assertEqual(self.sender.entered, 1)
                self.assertEqual(self.count_tokens() != before, counts)
                self.assertEqual(self.runtime.pools.running, {})
                (line,) = [r for r in logs.records if "without its" in r.msg]
                self.assertEqual(line.sends, int(counts))
