"""Turns on an entry host: history, token budget, events, and commit."""

import asyncio
import contextlib
import random
import unittest
from dataclasses import replace
from unittest import mock

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.events import EventReader
from sapphireyard.exchange.held import MEBIBYTE, HeldBytes
from sapphireyard.exchange.routes import EngineLimits, Service
from sapphireyard.exchange.turns import MAX_PROGRAM_SECONDS
from sapphireyard.history.client import MAX_WHOLE_BYTES
from tests.exchange_case import EVENTS, ExchangeTestCase


def build_engine(tokens_per_event):
    """Return a service of engines."""
    return Service("engine", 100, EngineLimits(8, 90_000, tokens_per_event))


class TurnTest(ExchangeTestCase):
    async def turn(self, path="/chat/1", **fields):
        values = {"token_budget": 1000, "output_tokens": 280, "prompt_tokens": 100}
        return await self.serve(path, **{**values, **fields})

    def add_route(self, name):
        """Add a streaming route without retention."""
        table = self.runtime.configuration.table
        chat = next(each for each in table.routes if each.name == "chat")
        route = replace(chat, name=name, prefix=f"/{name}/", retention=None)
        self.apply_table(
            replace(table, version=table.version + 1, routes=(*table.routes, route))
        )

    async def test_order_of_what_the_caller_sees(self):
        """No event before its tokens are durable, no end before the turn is."""
        self.runtime.history.synced.clear()
        self.runtime.history.committed.clear()
        turn = asyncio.ensure_future(self.turn(previous_turn="t0"))
        while not self.sender.sent:
            await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(self.reply.log, [])
        self.runtime.history.synced.set()
        for _ in range(10):
            await asyncio.sleep(0)
        chunks = [("chunk", event) for event in EVENTS]
        self.assertEqual(self.reply.log, [("synced",), ("start", 200), *chunks])
        self.runtime.history.committed.set()
        await turn
        self.assertEqual(self.reply.log[-2:], [("committed",), ("finish",)])
        (stored,) = self.runtime.history.turns
        self.assertEqual((stored.input, stored.output), (b"body", b"one\ntwo\n"))
        self.assertEqual(stored.tokens, 28)
        self.assertEqual(self.sender.sent[0].body, b"before:body")
        self.assertEqual(self.runtime.history.settled, [])

    async def test_chain_and_spending_are_kept_while_a_turn_runs(self):
        """Guards against a chain that expires during a long turn (review/14).

        Each case has the request, and what is renewed.
        """
        cases = [
            ("/chat/1", {"previous_turn": "t0"}, ("c/p", "t0")),
            ("/chat/1", {"previous_turn": "t0", "token_budget": None}, ("c/p", "t0")),
            ("/chat/1", {}, ("c/p", "")),
            ("/chat/1", {"token_budget": None}, None),
            ("/live/1", {"previous_turn": "t0"}, ("c/p", "")),
        ]
        for path, fields, renewed in cases:
            with self.subTest((path, fields)):
                await self.asyncSetUp()
                self.add_route("live")
                self.sender.script = ["slow"]
                with mock.patch("sapphireyard.exchange.turns.RENEWAL_SECONDS", 0.2):
                    await self.turn(path, program="p", **fields)
                found = self.runtime.history.renewed
                self.assertEqual({each[:2] for each in found}, {renewed} - {None})
                if renewed:
                    self.assertGreaterEqual(len(found), 3)
                count = len(found)
                await asyncio.sleep(0.5)
                self.assertEqual(len(found), count)

    async def test_turn_without_retention_settles_its_reservation(self):
        """Guards against budgets that are used up by what turns might have taken."""
        self.add_route("live")
        await self.turn("/live/1", program="p")
        self.assertEqual(self.reply.log[-1], ("finish",))
        self.assertEqual(self.runtime.history.settled, [("r1", 28)])

    async def test_spending_is_kept_until_the_program_has_ended(self):
        """Guards against a budget that is spent again on a route without retention.

        Each case has the path, the seconds left to the program, and the seconds for
        which its spending is kept; turns are kept for 60 s on one of the routes.
        """
        cases = [
            ("/chat/1", None, 75.0),
            ("/live/1", None, 75.0),
            ("/live/1", 20.0, 75.0),
            ("/live/1", 100.0, 215.0),
            ("/chat/1", float("inf"), 2 * MAX_PROGRAM_SECONDS + 15.0),
        ]
        for path, seconds, expected in cases:
            with self.subTest((path, seconds)):
                await self.asyncSetUp()
                self.add_route("live")
                await self.turn(path, program="p", program_timeout=seconds)
                (reserved,) = self.runtime.history.reserved
                self.assertEqual(reserved, ("c/p", 280, expected))
                kept = [each.keep_seconds for each in self.runtime.history.turns]
                self.assertEqual(kept, [75.0] if path == "/chat/1" else [])

    async def test_turns_without_a_program_share_no_budget(self):
        """Each case has program and id of the request, and the stored program."""
        cases = [("p", "r1", "c/p"), ("", "r1", "c/r1"), ("", "r2", "c/r2")]
        for program, request_id, stored_under in cases:
            with self.subTest((program, request_id)):
                await self.asyncSetUp()
                await self.turn(program=program, request_id=request_id)
                (stored,) = self.runtime.history.turns
                self.assertEqual(stored.program, stored_under)

    async def test_log_names_the_owner_of_a_foreign_turn(self):
        """The caller only learns that there is no such turn."""
        with self.assertLogs("sapphireyard.exchange.turns") as logs:
            await self.turn(previous_turn="foreign")
        self.assertEqual(self.reply.status, 404)
        (record,) = logs.records
        self.assertEqual((record.turn, record.request_id), ("foreign", "r1"))
        self.assertNotEqual(record.owner, record.customer)

    async def test_ends_of_turns(self):
        """Each case has script of the engines, status, sends, and settlements."""
        cases = [
            (["full", "complete"], 200, 2, []),
            (["full", "full"], 503, 2, [("r1", 0)]),
            (["unreachable", "complete"], 200, 1, []),
            (["lost", "complete"], 502, 1, [("r1", 0)]),
            (["unsigned", "complete"], 502, 1, [("r1", 0)]),
            (["busy", "complete"], 502, 1, [("r1", 0)]),
            (["cut"], 200, 1, [("r1", 28)]),
        ]
        for script, status, sends, settled in cases:
            with self.subTest(script):
                await self.asyncSetUp()
                self.sender.script = list(script)
                self.assertEqual(await self.turn(), status)
                self.assertEqual(len(self.sender.sent), sends)
                self.assertEqual(self.runtime.history.settled, settled)
        self.assertEqual(self.reply.log[-1], ("abort",))

    async def test_version_that_comes_during_a_turn_forgets_no_tokens(self):
        """What a turn has generated counts, whatever its service has become meanwhile.

        Cases are the engine's tokens per event in the new version, None for a service
        without an engine, or no service at all; and the tokens of the two events.
        """
        cases = [
            ("dropped", {}, 28),
            ("no engine", {"engine": Service("engine", 100)}, 28),
            ("lower", {"engine": build_engine(1)}, 28),
            ("zero", {"engine": build_engine(0)}, 28),
            ("higher", {"engine": build_engine(20)}, 40),
            ("moved", {"engine-b": build_engine(14)}, 28),
        ]
        for name, services, tokens in cases:
            for script in ("complete", "cut"):
                with self.subTest(name=name, script=script):
                    await self.asyncSetUp()
                    self.sender.script = [script]
                    self.runtime.history.synced.clear()
                    turn = asyncio.ensure_future(self.turn())
                    while not self.sender.sent:
                        await asyncio.sleep(0)
                    table = self.runtime.configuration.table
                    self.apply_table(replace(table, version=2, services=services))
                    self.runtime.pools.set_services(services)
                    self.runtime.history.synced.set()
                    await turn
                    stored = [each.tokens for each in self.runtime.history.turns]
                    settled = [count for _, count in self.runtime.history.settled]
                    self.assertEqual(stored + settled, [tokens])

    async def test_events_of_a_service_without_an_engine_count(self):
        table = self.runtime.configuration.table
        services = {**table.services, "engine": Service("engine", 100)}
        self.apply_table(replace(table, version=2, services=services))
        await self.turn()
        (stored,) = self.runtime.history.turns
        self.assertEqual(stored.tokens, 2)

    async def test_run_whose_reservation_is_not_durable_is_no_refusal(self):
        """The engine is already running the turn when the copies fail."""

        async def fail():
            raise CallError("history_unavailable", "too few copies")

        async def reserve(*args, **options):
            return asyncio.ensure_future(fail())

        self.runtime.history.reserve = reserve
        self.assertEqual(await self.turn(), 502)
        self.assertEqual(self.reply.log, [("refuse", "upstream_failed")])

    async def test_turn_that_is_not_durable_does_not_look_complete(self):
        """Whatever the error is: it may look like one of the caller's connection."""
        errors = [
            CallError("history_unavailable", "too few copies"),
            ConnectionResetError("of some other connection"),
            TimeoutError(),
            ValueError(),
            asyncio.CancelledError(),
        ]
        for error in errors:
            with self.subTest(error):
                await self.asyncSetUp()

                async def fail(turn):
                    raise error

                self.runtime.history.commit = fail
                with contextlib.suppress(asyncio.CancelledError):
                    await self.turn()
                self.assertEqual(self.reply.log[-1], ("abort",))

    async def test_failed_reservation_does_not_wait_for_the_chain(self):
        async def never(turn, *, admit):
            await asyncio.Event().wait()

        self.runtime.history.read_chain = never
        self.runtime.history.refuse = "history_unavailable"
        self.assertEqual(await self.turn(previous_turn="t0"), 503)

    async def test_history_of_any_length_is_served_within_the_memory(self):
        """A 413 ends a program whose turns were each within the limit of a body.

        Each case has the memory for requests, what others keep, the history (all in
        MiB), the status, and the most that the history takes. A host without room for
        a part of a history refuses for a while.
        """
        cases = [
            (100, 0, 1, 200, 2),
            (100, 35.5, 1.5, 200, 3),
            (100, 35.5, 1.99, 200, 2),
            (100, 0, 30, 200, 2),
            (100, 0, 200, 200, 2),
            (16, 0, 200, 200, 2),
            (100, 37, 200, 503, 0),
            (100, 37, 1, 503, 0),
        ]
        for limit, kept, size, status, taken in cases:
            with self.subTest((limit, kept, size)):
                await self.asyncSetUp()
                held = self.runtime.held = HeldBytes(limit * MEBIBYTE)
                other = held.open("other", now=0.0)
                held.keep(other, int(kept * MEBIBYTE))
                before = held.total
                size = int(size * MEBIBYTE)
                self.runtime.history.text = b"x" * size
                answered = await self.turn(previous_turn="t0")
                self.assertEqual(answered, status)
                self.assertEqual(held.total, before)
                self.assertEqual(held.highest, before + taken * MEBIBYTE)
                if status == 200:
                    (sent,) = self.sender.sent
                    self.assertEqual(sent.size, size + len(b"body"))
                    continue
                self.assertEqual(self.sender.sent, [])
                self.assertEqual(self.runtime.history.settled, [("r1", 0)])
                self.assertGreater(self.reply.retry_after, 0)

    async def test_long_history_is_sent_before_the_turn_and_not_cached(self):
        """Each case has the length of the history, and whether memory keeps it."""
        cases = [
            (MAX_WHOLE_BYTES - len(b"body"), True),
            (MAX_WHOLE_BYTES, False),
            (2 * MAX_WHOLE_BYTES + 1, False),
        ]
        for size, is_whole in cases:
            with self.subTest(size):
                await self.asyncSetUp()
                text = self.runtime.history.text = random.Random(size).randbytes(size)
                self.assertEqual(await self.turn(previous_turn="t0"), 200)
                (sent,) = self.sender.sent
                body = sent.body
                if sent.history is not None:
                    body = b"".join([part async for part in sent.stream()])
                self.assertEqual(body, text + b"body")
                self.assertEqual(self.runtime.history.cached is not None, is_whole)

    async def test_turn_without_a_history_takes_no_memory_for_one(self):
        """The request itself is counted where it is received."""
        self.assertEqual(await self.turn(), 200)
        self.assertEqual(self.runtime.held.highest, 0)

    async def test_chain_that_is_not_found_gives_the_tokens_back(self):
        await self.turn(previous_turn="foreign")
        self.assertEqual(self.runtime.history.settled, [("r1", 0)])

    async def test_refused_before_any_engine_has_it(self):
        cases = [
            ({"previous_turn": "foreign"}, None, 404),
            ({}, "budget_exceeded", 402),
            ({}, "history_unavailable", 503),
        ]
        for fields, refuse, status in cases:
            with self.subTest(status):
                await self.asyncSetUp()
                self.runtime.history.refuse = refuse
                self.assertEqual(await self.turn(**fields), status)
                self.assertEqual(self.sender.sent, [])
                self.assertEqual(self.runtime.history.settled, [("r1", 0)])


class EventReaderTest(unittest.TestCase):
    def test_events_in_pieces(self):
        cases = [
            (b"id: 1\ndata: one\n\n", 1, b"one\n", False),
            (b"data: a\ndata: b\n\n", 1, b"a\nb\n", False),
            (b"data:tight\r\n\r\n", 1, b"tight\n", False),
            (b": comment\n\n", 0, b"", False),
            (b": comment\n", 0, b"", False),
            (b"id: 1\n: comment\n", 0, b"", True),
            (b"id: 1\n", 0, b"", True),
            (b"id: 1\n\n", 0, b"", False),
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
