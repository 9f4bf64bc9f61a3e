"""One request on an entry host, with upstreams, copies and callers replaced."""

import asyncio
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, UpstreamFailed
from sapphireyard.exchange.calls import (
    ProgramCall,
    Reply,
    Upstream,
    UpstreamAnswer,
    UpstreamSender,
)
from sapphireyard.exchange.configuration import Configuration
from sapphireyard.exchange.events import EventReader
from sapphireyard.exchange.exchange import Exchange
from sapphireyard.exchange.pools import UpstreamPools
from sapphireyard.exchange.routes import (
    Customer,
    EngineLimits,
    Route,
    RouteTable,
    Service,
    digest_key,
)
from sapphireyard.exchange.turns import TurnService
from sapphireyard.fleet.crashes import CrashLedger
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, Membership
from sapphireyard.fleet.quotas import FleetQuotas, QuotaRule
from sapphireyard.history.client import ChainText
from sapphireyard.scheduling.scheduling import SlotRequest

EVENTS = [b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n"]
WAIT_SECONDS = 5.0


def build_table(**quota):
    """Return a configuration with one route of each kind."""

    def route(name, **fields):
        values = {
            "name": name,
            "host": "h",
            "prefix": f"/{name}/",
            "repeatable": False,
            "streaming": False,
            "timeout": 2.0,
            "aim": 0.2,
            "priority": 0,
            "targets": (("plain", 1.0),),
            "attempts": 2,
        }
        return Route(**{**values, **fields})

    customer = Customer("c", QuotaRule(**quota) if quota else None)
    return RouteTable(
        version=1,
        routes=(
            route("view", repeatable=True),
            route("book"),
            route("chat", streaming=True, targets=(("engine", 1.0),), retention=60.0),
            route("short", repeatable=True, timeout=0.1),
        ),
        services={
            "plain": Service("plain", 100),
            "engine": Service("engine", 100, EngineLimits(8, 90_000, 14)),
        },
        customers={"c": customer},
        keys={digest_key("k"): "c"},
    )


class ScriptedSender(UpstreamSender):
    """Answers as the test says; notes what was sent where."""

    def __init__(self):
        self.script = []
        self.sent = []

    @asynccontextmanager
    async def send(self, dispatch):
        step = self.script.pop(0) if self.script else "whole"
        if step != "unreachable":
            self.sent.append(dispatch)
        if step == "unreachable":
            raise UpstreamFailed("no connection", sent=False)
        if step == "lost":
            raise UpstreamFailed("no answer", crashed=True)
        if step == "hang":
            await asyncio.Event().wait()
        if step == "full":
            yield UpstreamAnswer(503, refused=True, chunks=self.give([]))
            return
        if step == "busy":
            yield UpstreamAnswer(503, signed=True, chunks=self.give([b"busy"]))
            return
        if step == "unsigned":
            yield UpstreamAnswer(200, chunks=self.give([b"x"]))
            return
        parts = EVENTS if dispatch.call.path.startswith("/chat/") else [b"answer"]
        chunks = self.give(parts, cut=step == "cut")
        yield UpstreamAnswer(200, signed=True, chunks=chunks)

    async def is_listening(self, upstream):
        return True

    async def give(self, parts, *, cut=False):
        for part in parts:
            yield part
        if cut:
            raise UpstreamFailed("answer broke off", crashed=True)


class NotedReply(Reply):
    """Keeps what the caller would see, in order."""

    def __init__(self):
        self.log = []
        self.status = None

    @property
    def started(self):
        return self.status is not None

    async def send_whole(self, status, headers, body):
        self.status = status
        self.log.append(("whole", body))

    async def start(self, status, headers):
        self.status = status
        self.log.append(("start", status))

    async def write(self, chunk):
        self.log.append(("chunk", chunk))

    async def finish(self):
        self.log.append(("finish",))

    async def refuse(self, error):
        self.status = error.status
        self.log.append(("refuse", error.code))
        self.retry_after = error.retry_after

    def abort(self):
        self.log.append(("abort",))


class FakeHistory:
    """Copies that answer when the test lets them."""

    def __init__(self, log):
        self.log = log
        self.synced = asyncio.Event()
        self.synced.set()
        self.committed = asyncio.Event()
        self.committed.set()
        self.turns = []
        self.settled = []
        self.refuse = None

    async def read_chain(self, turn):
        if turn == "foreign":
            return ChainText("other", b"secret")
        return ChainText("c", b"before:", "up-1", 50)

    async def reserve(self, program, turn, tokens, budget, *, keep_seconds):
        if self.refuse:
            raise CallError(self.refuse, "no", retry_after=0.3)

        async def wait():
            await self.synced.wait()
            self.log.append(("synced",))

        return asyncio.ensure_future(wait())

    def settle(self, program, turn, tokens, *, keep_seconds):
        self.settled.append((turn, tokens))

    async def commit(self, turn):
        await self.committed.wait()
        self.log.append(("committed",))
        self.turns.append(turn)

    def cache(self, turn, chain):
        pass


class ExchangeTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = Clock()
        self.yard = SimpleNamespace(
            host="a",
            clock=clock,
            gossip=SimpleNamespace(membership=Membership("a")),
            metrics=SimpleNamespace(count=lambda *a, **k: 0, record=lambda *a, **k: 0),
            quotas=FleetQuotas(started_at=clock.monotonic() - 60),
            crashes=CrashLedger(),
        )
        self.yard.configuration = Configuration(clock, withdrawal_seconds=5.0)
        self.take_table(build_table())
        self.yard.configuration.confirm(clock.monotonic())
        self.yard.pools = UpstreamPools(self.yard)
        self.yard.pools.set_services(self.yard.configuration.table.services)
        upstreams = [
            Upstream(f"{service}-{n}", service, "127.0.0.1:1", slots=8)
            for service in ("plain", "engine")
            for n in (1, 2, 3)
        ]
        self.yard.pools.take_upstreams(upstreams)
        self.sender = ScriptedSender()
        turns = TurnService(self.yard, self.sender)
        self.exchange = turns.exchange = Exchange(self.yard, self.sender, turns)
        self.reply = NotedReply()
        self.yard.history = FakeHistory(self.reply.log)

    def take_table(self, table):
        self.yard.configuration.take(table)

    async def serve(self, path, **fields):
        """Serve a request; return the status and what the caller saw."""
        values = {
            "request_id": "r1",
            "method": "POST",
            "target": path,
            "host": "h",
            "key": "k",
            "arrived_at": self.yard.clock.monotonic(),
            "seconds": 2.0,
            "program": "p",
            "read_body": self.read_body,
        }
        call = ProgramCall(**{**values, **fields})
        async with asyncio.timeout(WAIT_SECONDS):
            await self.exchange.serve(call, self.reply)
        return self.reply.status

    async def read_body(self, limit):
        return b"body"


class PlainTest(ExchangeTestCase):
    async def test_what_is_sent_again(self):
        """Path, what upstreams do, the status, and how often it was sent."""
        cases = [
            ("/view/1", ["whole"], 200, 1),
            ("/view/1", ["lost", "whole"], 200, 2),
            ("/view/1", ["lost", "lost", "whole"], 502, 2),
            ("/view/1", ["lost", "full"], 502, 2),
            ("/view/1", ["full", "lost"], 502, 2),
            ("/view/1", ["lost"] + ["unreachable"] * 4, 502, 1),
            ("/view/1", ["cut", "whole"], 200, 2),
            ("/view/1", ["unsigned", "whole"], 200, 2),
            ("/view/1", ["full", "whole"], 200, 2),
            ("/view/1", ["full", "full", "whole"], 503, 2),
            ("/view/1", ["unreachable", "unreachable", "whole"], 200, 1),
            ("/book/1", ["lost", "whole"], 502, 1),
            ("/book/1", ["cut", "whole"], 502, 1),
            ("/book/1", ["unsigned", "whole"], 502, 1),
            ("/book/1", ["full", "whole"], 200, 2),
            ("/book/1", ["busy", "whole"], 502, 1),
            ("/view/1", ["busy", "whole"], 200, 2),
            ("/book/1", ["unreachable", "whole"], 200, 1),
            ("/book/1", ["unreachable", "lost", "whole"], 502, 1),
            ("/short/1", ["hang"], 504, 1),
        ]
        for path, script, status, sends in cases:
            with self.subTest(f"{path} {script}"):
                await self.asyncSetUp()
                self.sender.script = list(script)
                self.assertEqual(await self.serve(path), status)
                self.assertEqual(len(self.sender.sent), sends)
                names = [each.upstream.name for each in self.sender.sent]
                self.assertEqual(len(set(names)), len(names))

    async def test_no_slot_after_a_run_is_no_promise(self):
        """The first upstream may have run the request; none is left for another."""
        for path, script, status in (("/view/1", ["lost"], 502), ("/view/1", [], 503)):
            with self.subTest(script):
                await self.asyncSetUp()
                if script:
                    self.sender.script = script
                    take = self.yard.pools.report

                    def report(upstream, *, ok, take=take):
                        take(upstream, ok=ok)
                        self.yard.pools.take_upstreams([])

                    self.yard.pools.report = report
                else:
                    self.yard.pools.take_upstreams([])
                self.assertEqual(await self.serve(path), status)

    async def test_refusal_gives_the_token_back(self):
        """A request that no upstream got does not count against the rate."""
        self.take_table(replace(build_table(rate=10.0, burst=10.0), version=2))
        rule = QuotaRule(10.0, 10.0)
        before = self.yard.quotas.admit("c", rule, self.yard.clock.monotonic())
        self.assertEqual(before, 0)
        counts = self.yard.quotas.counts()
        self.sender.script = ["unreachable"] * 9
        self.assertEqual(await self.serve("/book/1"), 503)
        after = self.yard.quotas.counts()
        self.assertEqual(after, counts)

    async def test_unrepeatable_call_ends_though_its_caller_has_gone(self):
        for path, ends in (("/book/1", True), ("/view/1", False)):
            with self.subTest(path):
                await self.asyncSetUp()
                ended = asyncio.Event()
                left = asyncio.Event()

                async def give(parts, *, cut=False):
                    await left.wait()
                    ended.set()
                    yield b"answer"

                self.sender.give = give
                serving = asyncio.ensure_future(self.serve(path))
                while not self.sender.sent:
                    await asyncio.sleep(0)
                serving.cancel()
                await asyncio.wait([serving])
                left.set()
                for _ in range(20):
                    await asyncio.sleep(0)
                self.assertEqual(ended.is_set(), ends)


class TurnTest(ExchangeTestCase):
    async def turn(self, **fields):
        values = {"token_budget": 1000, "output_tokens": 280, "prompt_tokens": 100}
        return await self.serve("/chat/1", **{**values, **fields})

    async def test_order_of_what_the_caller_sees(self):
        """No event before its tokens are durable, no end before the turn is."""
        self.yard.history.synced.clear()
        self.yard.history.committed.clear()
        turn = asyncio.ensure_future(self.turn(previous_turn="t0"))
        while not self.sender.sent:
            await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(self.reply.log, [])
        self.yard.history.synced.set()
        for _ in range(10):
            await asyncio.sleep(0)
        chunks = [("chunk", event) for event in EVENTS]
        self.assertEqual(self.reply.log, [("synced",), ("start", 200), *chunks])
        self.yard.history.committed.set()
        await turn
        self.assertEqual(self.reply.log[-2:], [("committed",), ("finish",)])
        (kept,) = self.yard.history.turns
        self.assertEqual((kept.input, kept.output), (b"body", b"one\ntwo\n"))
        self.assertEqual(kept.tokens, 28)
        self.assertEqual(self.sender.sent[0].body, b"before:body")
        self.assertEqual(self.yard.history.settled, [])

    async def test_turns_without_a_program_share_no_budget(self):
        """Program and id of the request, and the program it is kept under."""
        cases = [("p", "r1", "c/p"), ("", "r1", "c/r1"), ("", "r2", "c/r2")]
        for program, request_id, kept_under in cases:
            with self.subTest((program, request_id)):
                await self.asyncSetUp()
                await self.turn(program=program, request_id=request_id)
                (kept,) = self.yard.history.turns
                self.assertEqual(kept.program, kept_under)

    async def test_ends_of_turns(self):
        """What engines do, the status, how often it was sent, what is settled."""
        cases = [
            (["full", "whole"], 200, 2, []),
            (["full", "full"], 503, 2, [("r1", 0)]),
            (["unreachable", "whole"], 200, 1, []),
            (["lost", "whole"], 502, 1, [("r1", 0)]),
            (["unsigned", "whole"], 502, 1, [("r1", 0)]),
            (["busy", "whole"], 502, 1, [("r1", 0)]),
            (["cut"], 200, 1, [("r1", 28)]),
        ]
        for script, status, sends, settled in cases:
            with self.subTest(script):
                await self.asyncSetUp()
                self.sender.script = list(script)
                self.assertEqual(await self.turn(), status)
                self.assertEqual(len(self.sender.sent), sends)
                self.assertEqual(self.yard.history.settled, settled)
        self.assertEqual(self.reply.log[-1], ("abort",))

    async def test_run_whose_reservation_is_not_durable_is_no_refusal(self):
        """The engine runs the turn already when the copies fail."""

        async def fail():
            raise CallError("history_unavailable", "too few copies")

        async def reserve(*args, **options):
            return asyncio.ensure_future(fail())

        self.yard.history.reserve = reserve
        self.assertEqual(await self.turn(), 502)
        self.assertEqual(self.reply.log, [("refuse", "upstream_failed")])

    async def test_turn_that_is_not_durable_does_not_look_complete(self):
        async def fail(turn):
            raise CallError("history_unavailable", "too few copies")

        self.yard.history.commit = fail
        await self.turn()
        self.assertEqual(self.reply.log[-1], ("abort",))

    async def test_failed_reservation_does_not_wait_for_the_chain(self):
        async def never(turn):
            await asyncio.Event().wait()

        self.yard.history.read_chain = never
        self.yard.history.refuse = "history_unavailable"
        self.assertEqual(await self.turn(previous_turn="t0"), 503)

    async def test_chain_that_is_not_found_gives_the_tokens_back(self):
        await self.turn(previous_turn="foreign")
        self.assertEqual(self.yard.history.settled, [("r1", 0)])

    async def test_refused_before_any_engine_has_it(self):
        cases = [
            ({"previous_turn": "foreign"}, None, 404),
            ({}, "budget_exceeded", 402),
            ({}, "history_unavailable", 503),
        ]
        for fields, refuse, status in cases:
            with self.subTest(status):
                await self.asyncSetUp()
                self.yard.history.refuse = refuse
                self.assertEqual(await self.turn(**fields), status)
                self.assertEqual(self.sender.sent, [])
                self.assertEqual(self.yard.history.settled, [("r1", 0)])


class EventReaderTest(unittest.TestCase):
    def test_events_in_pieces(self):
        cases = [
            (b"id: 1\ndata: one\n\n", 1, b"one\n", False),
            (b"data: a\ndata: b\n\n", 1, b"a\nb\n", False),
            (b"data:tight\r\n\r\n", 1, b"tight\n", False),
            (b": comment\n\n", 0, b"", False),
            (b"weight-versions: 3\ndata: x\n\n", 1, b"x\n", False),
            (b"data: x\n", 0, b"", True),
            (b"data: x", 0, b"", True),
        ]
        for stream, events, output, partial in cases:
            for size in (1, 2, 5, 100):
                with self.subTest(stream=stream, size=size):
                    reader = EventReader()
                    for start in range(0, len(stream), size):
                        reader.feed(stream[start : start + size])
                    self.assertEqual(reader.events, events)
                    self.assertEqual(bytes(reader.output), output)
                    self.assertEqual(reader.partial, partial)


class PoolsTest(ExchangeTestCase):
    async def lease(self, **fields):
        values = {
            "program": "c/p",
            "root": "c/p",
            "customer": "c",
            "pool": "engine",
            "deadline": self.yard.clock.monotonic() + 0.5,
        }
        return self.yard.pools.lease(SlotRequest(**{**values, **fields}))

    def hear(self, number, running):
        now = self.yard.clock.monotonic()
        heartbeat = Heartbeat("b", 1, number, "-", ENTRY, "x", running=running)
        member = self.yard.gossip.membership.hear(heartbeat, now)
        self.yard.pools.hear(member, now)

    async def test_load_of_other_hosts_counts(self):
        self.hear(1, {"engine-1": 8, "engine-2": 3})
        async with await self.lease() as upstream:
            self.assertEqual(upstream.name, "engine-3")
        self.hear(2, {"engine-1": 8, "engine-2": 8, "engine-3": 7})
        async with await self.lease() as upstream:
            self.assertEqual(upstream.name, "engine-3")
            with self.assertRaises(CallError) as caught:
                async with await self.lease(
                    deadline=self.yard.clock.monotonic() - 0.01
                ):
                    pass
            self.assertEqual(caught.exception.code, "overloaded")
            self.assertGreater(caught.exception.retry_after, 0)

    async def test_chain_returns_to_the_engine_that_has_it(self):
        lease = self.yard.pools.lease(
            SlotRequest("c/q", "c/q", "c", "engine", prefix_tokens=500),
            upstream_hint="engine-2",
        )
        async with lease as upstream:
            self.assertEqual(upstream.name, "engine-2")

    async def test_leaving_upstreams_get_nothing_new(self):
        self.yard.pools.take_upstreams(
            [
                Upstream("engine-1", "engine", "-", slots=8, leaving=True),
                Upstream("engine-2", "engine", "-", slots=8),
            ]
        )
        for _ in range(5):
            async with await self.lease() as upstream:
                self.assertEqual(upstream.name, "engine-2")
        self.yard.pools.take_upstreams([])
        with self.assertRaises(CallError):
            async with await self.lease():
                pass

    async def test_failing_upstream_rests(self):
        failing = Upstream("engine-1", "engine", "127.0.0.1:1", slots=8)
        for _ in range(2):
            self.yard.pools.report(failing, ok=False)
        for _ in range(6):
            async with await self.lease() as upstream:
                self.assertNotEqual(upstream.name, "engine-1")


if __name__ == "__main__":
    unittest.main()
