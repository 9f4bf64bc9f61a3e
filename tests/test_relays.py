"""Requests that are sent to upstreams through another host."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

from sapphireyard.answers import BROKEN, COMPLETE, LISTENING, REFUSED, SILENT, BodyEnd
from sapphireyard.clocks import Clock
from sapphireyard.exceptions import PeerUnavailable, UpstreamFailed
from sapphireyard.exchange.calls import (
    DirectSender,
    Dispatch,
    ProgramCall,
    Upstream,
    UpstreamAnswer,
)
from sapphireyard.exchange.closing import Closing
from sapphireyard.exchange.held import MEBIBYTE, HeldBytes
from sapphireyard.exchange.pools import UpstreamPools
from sapphireyard.exchange.relays import MAX_RELAYED_BYTES, RelaySender
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, Membership
from sapphireyard.history.chains import WINDOW_BYTES, LongText
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.streams.peers import PeerContext

UPSTREAM = Upstream("up-1", "plain", "127.0.0.1:1", slots=8)
HOSTS = ("a", "b", "c")


class ScriptedLink(DirectSender):
    """A host's own connection to the upstream: ``up``, ``refused`` or ``breaks``."""

    def __init__(self):
        self.state = "up"
        self.sent = []
        self.on_send = lambda: None

    @asynccontextmanager
    async def send(self, dispatch):
        self.on_send()
        if self.state == "refused":
            raise UpstreamFailed("no connection", sent=False)
        self.sent.append(dispatch)
        if self.state == "lost":
            raise UpstreamFailed("no answer", crashed=True)
        end = BodyEnd("chunked")
        yield UpstreamAnswer(
            200, ((b"X", b"\xff"),), signed=True, chunks=self._stream(end), end=end
        )

    async def _stream(self, end):
        yield b"first"
        if self.state == "breaks":
            end.outcome = BROKEN
            raise UpstreamFailed("answer broke off", crashed=True)
        yield b"last"
        end.outcome = COMPLETE

    async def is_listening(self, upstream):
        return self.state != "refused"

    async def try_connect(self, upstream, *, timeout):
        return {"refused": REFUSED, "silent": SILENT}.get(self.state, LISTENING)


class LocalPeers:
    """Connects hosts of one process; a connection may break at a chosen message."""

    def __init__(self, host, fleet):
        self._host = host
        self._fleet = fleet
        self.codec = MessageCodec()
        self.handlers = {}
        self.break_at = {}

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    register_stream = register

    async def stream(self, host, message, *, timeout):
        peers = self._fleet[host].peers
        if self.break_at.get(host) == "connect":
            raise PeerUnavailable(f"{host} is gone", sent=False)
        context = PeerContext(self._host, 1)
        message = self.codec.load(*self.codec.dump(message))
        number = 0
        async for answer in peers.handlers[type(message)](message, context):
            if self.break_at.get(host) == number:
                raise PeerUnavailable(f"connection to {host} ended")
            number += 1
            yield self.codec.load(*self.codec.dump(answer))

    async def ask(self, host, message, *, timeout):
        if self.break_at.get(host) == "connect":
            raise PeerUnavailable(f"{host} is gone", sent=False)
        handler = self._fleet[host].peers.handlers[type(message)]
        return await handler(message, PeerContext(self._host, 1))


class RelaySenderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = {}
        for host in HOSTS:
            runtime = SimpleNamespace(
                host=host,
                clock=Clock(),
                settings=SimpleNamespace(failure_domain="x"),
                gossip=SimpleNamespace(membership=Membership(host)),
                metrics=SimpleNamespace(count=lambda *a, **k: 0),
                peers=LocalPeers(host, self.fleet),
                held=HeldBytes(),
            )
            runtime.pools = UpstreamPools(runtime)
            runtime.pools.set_upstreams([UPSTREAM])
            runtime.link = ScriptedLink()
            runtime.sender = RelaySender(runtime, runtime.link)
            self.fleet[host] = runtime
        for host in HOSTS:
            for other in HOSTS:
                heartbeat = Heartbeat(other, 1, 1, "-", ENTRY, "x", relays=True)
                runtime = self.fleet[host]
                runtime.gossip.membership.record_heartbeat(
                    heartbeat, runtime.clock.monotonic()
                )

    async def send(self, *, body=b"body", history=None):
        """Send a request from the first host; return status, body, end and relay."""
        call = ProgramCall("r1", "POST", "/book/1", "h", "key", 0.0, headers=())
        dispatch = Dispatch(call, UPSTREAM, "c", body, 2.0, history=history)
        async with self.fleet["a"].sender.send(dispatch) as answer:
            parts = [chunk async for chunk in answer.chunks]
            return answer, b"".join(parts)

    def list_sent(self):
        return [d for host in HOSTS for d in self.fleet[host].link.sent]

    async def test_request_runs_once_at_most_when_a_hop_fails(self):
        """Cases are the links, breaks of the hops from host a, and what comes of it.

        The result is whether the answer is complete, and how often it was sent; for
        failures whether the request counts as sent.
        """
        gone = {"b": "connect", "c": "connect"}
        cases = [
            ("up up up", {}, True, 1),
            ("refused up up", {}, True, 1),
            ("refused refused up", {}, True, 1),
            ("refused up refused", {}, True, 1),
            ("refused up up", {"b": "connect"}, True, 1),
            ("refused refused refused", {}, False, 0),
            ("refused up up", gone, False, 0),
            ("lost up up", {}, None, 1),
            ("refused lost lost", {}, None, 1),
            ("refused up up", {"b": 0, "c": 0}, None, 1),
            ("refused up up", {"b": 1, "c": 1}, None, 1),
            ("refused up up", {"b": 2, "c": 2}, None, 1),
            ("refused up up", {"b": 3, "c": 3}, None, 1),
            ("refused breaks breaks", {}, None, 1),
        ]
        for states, breaks, outcome, sends in cases:
            with self.subTest(states=states, breaks=breaks):
                self.setUp()
                for host, state in zip(HOSTS, states.split()):
                    self.fleet[host].link.state = state
                self.fleet["a"].peers.break_at = breaks
                if outcome:
                    answer, body = await self.send()
                    self.assertEqual((answer.status, body), (200, b"firstlast"))
                    self.assertEqual(answer.end.outcome, COMPLETE)
                    self.assertEqual(answer.headers, ((b"X", b"\xff"),))
                else:
                    with self.assertRaises(UpstreamFailed) as caught:
                        await self.send()
                    self.assertEqual(caught.exception.sent, outcome is None)
                self.assertEqual(len(self.list_sent()), sends)

    async def test_relay_sends_what_the_host_would_have_sent(self):
        self.fleet["a"].link.state = "refused"
        await self.send()
        (sent,) = self.list_sent()
        self.assertEqual(
            (sent.call.request_id, sent.call.method, sent.call.target),
            ("r1", "POST", "/book/1"),
        )
        self.assertEqual((sent.customer, sent.body, sent.call.key), ("c", b"body", ""))
        self.assertLessEqual(sent.timeout, 2.0)

    async def test_leaving_upstream_gets_nothing_through_a_relay(self):
        self.fleet["a"].link.state = "refused"
        for host in ("b", "c"):
            self.fleet[host].pools.note_leaving(UPSTREAM)
        with self.assertRaises(UpstreamFailed) as caught:
            await self.send()
        self.assertFalse(caught.exception.sent)
        self.assertEqual(self.list_sent(), [])

    async def test_host_that_stops_relays_only_what_it_can_finish(self):
        """Cases are the seconds until the host stops, and whether it relays."""
        for seconds, relays in ((1.0, False), (3.0, True)):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.fleet["a"].link.state = self.fleet["c"].link.state = "refused"
                sender = self.fleet["b"].sender
                sender.closing = Closing(Clock().monotonic() + seconds)
                if relays:
                    await self.send()
                    continue
                with self.assertRaises(UpstreamFailed) as caught:
                    await self.send()
                self.assertFalse(caught.exception.sent)
                self.assertEqual(self.list_sent(), [])

    async def test_upstream_that_leaves_while_relays_are_tried_gets_nothing(self):
        """Cases are what a host learns while it fails to connect.

        The relays have not heard of it.
        """
        restarted = replace(UPSTREAM, started_at=2.0)
        cases = [
            ("removed", lambda pools: pools.set_upstreams([])),
            ("restarted", lambda pools: pools.set_upstreams([restarted])),
            ("leaving", lambda pools: pools.note_leaving(UPSTREAM)),
            ("evacuated", lambda pools: pools.evacuations.apply([""], 1)),
        ]
        for name, learn in cases:
            with self.subTest(name):
                self.setUp()
                host = self.fleet["a"]
                host.link.state = "refused"
                host.link.on_send = lambda: learn(host.pools)
                with self.assertRaises(UpstreamFailed) as caught:
                    await self.send()
                self.assertFalse(caught.exception.sent)
                self.assertEqual(self.list_sent(), [])

    async def test_request_whose_caller_leaves_goes_to_no_further_relay(self):
        """It reached an upstream after its caller had left."""
        host = self.fleet["a"]
        call = ProgramCall("r1", "POST", "/book/1", "h", "key", 0.0, headers=())
        dispatch = Dispatch(call, UPSTREAM, "c", b"body", 2.0)

        def leave():
            dispatch.handover.begun = dispatch.handover.abandoned = True

        host.link.state = "refused"
        host.link.on_send = leave
        with self.assertRaises(UpstreamFailed) as caught:
            async with host.sender.send(dispatch):
                pass
        self.assertFalse(caught.exception.sent)
        self.assertEqual(self.list_sent(), [])

    async def test_evacuated_upstream_gets_nothing_through_a_relay(self):
        """The host that asks has not heard of the evacuation."""
        self.fleet["a"].link.state = "refused"
        for host in ("b", "c"):
            self.fleet[host].pools.evacuations.apply([UPSTREAM.failure_domain], 1)
        with self.assertRaises(UpstreamFailed) as caught:
            await self.send()
        self.assertFalse(caught.exception.sent)
        self.assertEqual(self.list_sent(), [])

    async def test_body_goes_to_relays_in_its_regions_only(self):
        """Host b is in region e, host c in region w."""
        runtime = self.fleet["a"]
        runtime.link.state = "refused"
        runtime.settings.regions = {"b": "e", "c": "w"}
        for host in HOSTS:
            heartbeat = Heartbeat(host, 1, 2, "-", ENTRY, host, relays=True)
            runtime.gossip.membership.record_heartbeat(
                heartbeat, runtime.clock.monotonic()
            )
        call = ProgramCall("r1", "POST", "/book/1", "h", "key", 0.0, headers=())
        for regions, relay in (("e", "b"), ("w", "c"), ("x", None)):
            with self.subTest(regions):
                dispatch = Dispatch(
                    call, UPSTREAM, "c", b"body", 2.0, frozenset(regions)
                )
                try:
                    async with runtime.sender.send(dispatch) as answer:
                        self.assertEqual(answer.relay, relay)
                except UpstreamFailed:
                    self.assertIsNone(relay)

    async def test_body_larger_than_a_frame_is_not_relayed(self):
        self.fleet["a"].link.state = "refused"
        with self.assertRaises(UpstreamFailed) as caught:
            await self.send(body=b"x" * (MAX_RELAYED_BYTES + 1))
        self.assertFalse(caught.exception.sent)

    async def test_relay_reads_a_long_history_itself(self):
        """A history longer than a frame, of which a host sends its turn and size only.

        Cases are the memory of both relays, and whether one of them serves.
        """
        text = random.Random(1).randbytes(2 * MAX_RELAYED_BYTES)

        async def read(start, length):
            return text[start : start + length]

        self.fleet["a"].link.state = "refused"
        for limit, is_served in ((4 * WINDOW_BYTES, True), (2 * WINDOW_BYTES, False)):
            with self.subTest(limit):
                for host in ("b", "c"):
                    self.fleet[host].held.limit = limit
                    self.fleet[host].history = SimpleNamespace(
                        build_long=lambda turn, size: LongText(turn, size, read)
                    )
                history = LongText("t1", len(text), read=None)
                try:
                    answer, _ = await self.send(history=history)
                except UpstreamFailed as error:
                    self.assertFalse(is_served or error.sent)
                    continue
                (sent,) = self.fleet[answer.relay].link.sent
                self.assertEqual((sent.history.turn, sent.body), ("t1", b"body"))
                parts = [part async for part in sent.stream()]
                self.assertEqual(b"".join(parts), text + b"body")

    async def test_relay_without_memory_refuses_and_another_one_serves(self):
        self.fleet["a"].link.state = "refused"
        for host in ("b", "c"):
            self.fleet[host].held.limit = 4 * MEBIBYTE
        body = b"x" * MAX_RELAYED_BYTES
        with self.assertRaises(UpstreamFailed) as caught:
            await self.send(body=body)
        self.assertFalse(caught.exception.sent)
        self.fleet["c"].held.limit = 16 * MEBIBYTE
        answer, _ = await self.send(body=body)
        self.assertEqual(answer.relay, "c")
        await asyncio.sleep(0)  # the relay's side ends after the answer
        await asyncio.sleep(0)
        for host in HOSTS:
            self.assertEqual(self.fleet[host].held.total, 0)

    async def test_caller_that_leaves_ends_the_relayed_request(self):
        self.fleet["a"].link.state = "refused"
        relay = self.fleet["b"]
        started = asyncio.Event()

        async def stall(end):
            started.set()
            await asyncio.Event().wait()
            yield b""

        for host in ("b", "c"):
            self.fleet[host].link._stream = stall
        sending = asyncio.ensure_future(self.send())
        await started.wait()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertEqual(relay.sender.open_requests, 0)

    async def test_cut_host_does_not_take_its_cut_for_a_crash(self):
        """Cases are the links, whether host a is isolated, and the conclusion."""
        cases = [
            ("up up up", False, True),
            ("refused up up", False, True),
            ("refused up up", True, True),
            ("refused refused refused", False, False),
            ("refused refused refused", True, False),
            ("silent silent silent", False, None),
        ]
        for states, isolated, listening in cases:
            with self.subTest(states=states, isolated=isolated):
                self.setUp()
                for host, state in zip(HOSTS, states.split()):
                    self.fleet[host].link.state = state
                links = self.fleet["a"].pools.links
                if isolated:
                    links.note_failed("up-1", 0.0, 0.0)
                    links.choose_probes(10.0)
                    self.assertTrue(links.isolated)
                found = await self.fleet["a"].sender.is_listening(UPSTREAM)
                self.assertIs(found, listening)

    async def test_isolated_host_alone_cannot_tell_of_a_crash(self):
        self.fleet["a"].link.state = "refused"
        self.fleet["a"].peers.break_at = {"b": "connect", "c": "connect"}
        links = self.fleet["a"].pools.links
        links.note_failed("up-1", 0.0, 0.0)
        links.choose_probes(10.0)
        self.assertIsNone(await self.fleet["a"].sender.is_listening(UPSTREAM))


if __name__ == "__main__":
    unittest.main()
