"""Tests of requests between hosts over real sockets."""

import asyncio
import contextlib
import gc
import sys
import unittest
from dataclasses import dataclass
from types import SimpleNamespace
from unittest import mock

from sapphireyard.exceptions import CallError, PeerError, PeerUnavailable
from sapphireyard.intake import Intake
from sapphireyard.streams import peers as peers_module
from sapphireyard.streams.frames import MAX_FRAME_BYTES, MessageTooLarge
from sapphireyard.streams.generated_messages import (
    AnswerChunk,
    Done,
    Hello,
    InspectProgram,
    LinkProgram,
    ProgramView,
)
from sapphireyard.streams.peers import Peers

WAIT_SECONDS = 10.0


@dataclass
class Unknown:
    """A message that only one of two hosts knows."""


def build_peers(host, **options):
    settings = SimpleNamespace(peer_address="127.0.0.1:0")
    runtime = SimpleNamespace(
        host=host,
        incarnation=1,
        settings=settings,
        configuration=None,
        ownership=None,
        intake=Intake(),
    )
    return Peers(runtime, **options)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.a = build_peers("a")
        self.b = build_peers("b")
        for peers in (self.a, self.b):
            await peers.listen()
        self.a.static_addresses["b"] = self.b.address
        self.cancelled = asyncio.Event()
        self.produced = 0
        self.b.register(InspectProgram, self.view)
        self.b.register_stream(LinkProgram, self.count)

    async def asyncTearDown(self):
        await self.a.on_stop()
        await self.b.on_stop()

    async def view(self, message, context):
        if message.program == "refused":
            raise CallError("overloaded", "later", retry_after=2.5)
        if message.program == "broken":
            raise ValueError("fault")
        if message.program == "behind":
            raise PeerUnavailable("a third host does not answer")
        if message.program == "slow":
            await asyncio.sleep(0.05)
        if message.program == "large":
            return ProgramView(body="x" * MAX_FRAME_BYTES)
        if message.program == "unknown":
            return Unknown()
        return ProgramView(body=f"{context.host}:{message.program}")

    async def count(self, message, context):
        try:
            while True:
                self.produced += 1
                yield AnswerChunk(data=str(self.produced))
        finally:
            self.cancelled.set()

    async def ask(self, program, **options):
        query = InspectProgram("c", program)
        return await self.a.ask("b", query, **{"timeout": WAIT_SECONDS, **options})

    async def test_out_of_order_answers_reach_their_requests(self):
        answers = await asyncio.gather(*map(self.ask, ["slow", "x", "y"]))
        self.assertEqual([answer.body for answer in answers], ["a:slow", "a:x", "a:y"])

    async def test_errors_reach_the_sender(self):
        cases = [
            ("refused", "overloaded", "no", 2.5),
            ("broken", "internal_error", "unknown", None),
        ]
        for program, code, executed, retry_after in cases:
            with self.subTest(program):
                with self.assertRaises(CallError) as caught:
                    await self.ask(program)
                error = caught.exception
                self.assertEqual(error.code, code)
                self.assertEqual(error.executed, executed)
                self.assertEqual(error.retry_after, retry_after)

    async def test_every_error_of_a_host_has_a_status_at_the_sender(self):
        """Cases are what fails, and the status that a caller gets for it."""
        for program, status in (("refused", 503), ("broken", 500), ("behind", 500)):
            with self.subTest(program):
                with self.assertRaises(CallError) as caught:
                    await self.ask(program)
                self.assertEqual(caught.exception.status, status)

    async def test_address_that_nothing_can_connect_to_ends_no_service(self):
        """Another host's heartbeat, or another writer, may name any text."""
        for address in ("127.0.0.1:99999", "nonsense", "a..b:1", "", "127.0.0.1:x"):
            with self.subTest(address):
                self.a.static_addresses["e"] = address
                self.a.tell("e", Done())
                with self.assertRaises(PeerUnavailable) as caught:
                    await self.a.ask("e", Done(), timeout=WAIT_SECONDS)
                self.assertFalse(caught.exception.sent)
                self.assertIsNone(self.a.crash_reason)

    async def test_message_that_fails_leaves_other_requests_alone(self):
        """Cases are the request, and its error."""
        unknown = InspectProgram("c", "unknown")
        large = InspectProgram("c", "x" * MAX_FRAME_BYTES)
        cases = [
            (InspectProgram("c", "large"), CallError, "internal_error"),
            (unknown, PeerError, "frame_error"),
            (large, MessageTooLarge, "message_too_large"),
        ]
        self.b.codec.register_module(sys.modules[__name__])
        for message, error, code in cases:
            with self.subTest(code):
                other = asyncio.ensure_future(self.ask("slow"))
                await asyncio.sleep(0.01)
                with self.assertRaises(error) as caught:
                    await self.a.ask("b", message, timeout=WAIT_SECONDS)
                self.assertEqual(caught.exception.code, code)
                self.assertEqual((await other).body, "a:slow")

    async def test_message_without_an_answer_that_fails_leaves_requests_alone(self):
        """Cases are messages that are too long, and of a kind that is unknown."""
        self.a.codec.register_module(sys.modules[__name__])
        await self.ask("x")
        for message in (InspectProgram("c", "x" * MAX_FRAME_BYTES), Unknown()):
            with self.subTest(type(message).__name__):
                other = asyncio.ensure_future(self.ask("slow"))
                await asyncio.sleep(0.01)
                self.a.tell("b", message)
                self.assertEqual((await other).body, "a:slow")

    async def test_unread_stream_pauses_at_its_window_and_is_cancelled(self):
        stream = self.a.stream("b", LinkProgram("p", "r"), timeout=WAIT_SECONDS)
        async with contextlib.aclosing(stream) as answers:
            first = await anext(answers)
            await self.ask("x")
            await self.ask("y")
            self.assertEqual(first.data, "1")
            self.assertLess(self.produced, 100)
        await asyncio.wait_for(self.cancelled.wait(), WAIT_SECONDS)

    async def test_unreachable_host_is_reported_as_not_sent(self):
        self.a.static_addresses["c"] = "127.0.0.1:1"
        with self.assertRaises(PeerUnavailable) as caught:
            await self.a.ask("c", Done(), timeout=WAIT_SECONDS)
        self.assertFalse(caught.exception.sent)

    async def test_lost_connection_is_reported_as_possibly_sent(self):
        stream = self.a.stream("b", LinkProgram("p", "r"), timeout=WAIT_SECONDS)
        async with contextlib.aclosing(stream) as answers:
            await anext(answers)
            await self.b.on_stop()
            with self.assertRaises(PeerUnavailable) as caught:
                async for _ in answers:
                    pass
        self.assertTrue(caught.exception.sent)

    async def test_wrong_host_is_reported_as_not_sent(self):
        self.a.static_addresses["d"] = self.b.address
        with self.assertRaises(PeerUnavailable) as caught:
            await self.a.ask("d", Done(), timeout=WAIT_SECONDS)
        self.assertFalse(caught.exception.sent)


class AbandonedConnectTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_connect_failure_is_not_lost(self):
        """The connection attempt times out after its only caller stopped waiting."""
        unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        accepted = asyncio.Event()
        ended = asyncio.Event()

        async def never_send_hello(reader, writer):
            accepted.set()
            await reader.read()
            while await reader.read(65536):
                pass
            ended.set()
            writer.close()

        server = await asyncio.start_server(never_send_hello, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        peers = build_peers("a")
        peers.static_addresses["b"] = f"127.0.0.1:{port}"
        with mock.patch.object(peers_module, "CONNECT_SECONDS", 0.05):
            with self.assertRaises(PeerUnavailable):
                await peers.ask("b", Done(), timeout=0.01)
            await asyncio.wait_for(accepted.wait(), WAIT_SECONDS)
            await asyncio.wait_for(ended.wait(), WAIT_SECONDS)
        gc.collect()
        await asyncio.sleep(0)
        await peers.on_stop()
        server.close()
        self.assertEqual(unhandled, [])


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_connection_is_closed(self):
        """The other end sends its hello and then nothing more."""
        ends = {}

        async def send_hello_and_freeze(reader, writer):
            ends["writer"] = writer
            writer.write(await reader.read(65536))
            await reader.read()

        server = await asyncio.start_server(send_hello_and_freeze, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        peers = build_peers("a", ping_seconds=0.02, silence_seconds=0.1)
        peers.static_addresses["b"] = f"127.0.0.1:{port}"
        hello = Hello(host="b", incarnation=1, protocol=1, oldest_protocol=1)
        peers.build_hello = lambda: hello
        try:
            with self.assertRaises(PeerUnavailable) as caught:
                await peers.ask("b", Done(), timeout=WAIT_SECONDS)
            self.assertTrue(caught.exception.sent)
            self.assertIn("ended", str(caught.exception))
        finally:
            await peers.on_stop()
            ends["writer"].close()
            server.close()
