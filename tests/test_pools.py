"""Slots of upstreams on an entry host."""

import asyncio
import unittest
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.pools import LEAVING_MEMORY_SECONDS
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY
from sapphireyard.scheduling.parts import KeptParts
from sapphireyard.scheduling.scheduling import SlotRequest
from tests.exchange_case import ExchangeTestCase

SLOTS = 8
"""Of each engine."""


class PoolsTest(ExchangeTestCase):
    async def lease(self, **fields):
        values = {
            "program": "c/p",
            "root": "c/p",
            "customer": "c",
            "pool": "engine",
            "deadline": self.runtime.clock.monotonic() + 0.5,
        }
        return self.runtime.pools.lease(SlotRequest(**{**values, **fields}))

    def report_load(self, number, running, reserved=None):
        now = self.runtime.clock.monotonic()
        heartbeat = Heartbeat(
            "b", 1, number, "-", ENTRY, "x", running=running, reserved=reserved or {}
        )
        member = self.runtime.gossip.membership.record_heartbeat(heartbeat, now)
        self.runtime.pools.update_remote_load(member, now)

    def report_reach(self, number, unreachable):
        now = self.runtime.clock.monotonic()
        heartbeat = Heartbeat(
            "b", 1, number, "-", ENTRY, "x", relays=True, unreachable=unreachable
        )
        self.runtime.gossip.membership.record_heartbeat(heartbeat, now)

    async def test_load_of_other_hosts_counts(self):
        self.report_load(1, {"engine-1": 8, "engine-2": 3})
        async with await self.lease() as upstream:
            self.assertEqual(upstream.name, "engine-3")
        self.report_load(2, {"engine-1": 8, "engine-2": 8, "engine-3": 7})
        async with await self.lease() as upstream:
            self.assertEqual(upstream.name, "engine-3")
            with self.assertRaises(CallError) as caught:
                async with await self.lease(
                    deadline=self.runtime.clock.monotonic() - 0.01
                ):
                    pass
            self.assertEqual(caught.exception.code, "overloaded")
            self.assertGreater(caught.exception.retry_after, 0)

    async def test_request_goes_where_its_memory_fits_beside_that_of_other_hosts(self):
        """Cases are tokens that others need on engines 1 to 3, and the engine used.

        A request of 3,001 tokens waits if no engine has memory for it.
        """
        names = ("engine-1", "engine-2", "engine-3")
        cases = [
            ((88_000, 88_000, 1_000), "engine-3"),
            ((88_000, 86_999, 88_000), "engine-2"),
            ((87_000, 88_000, 90_000), None),
        ]
        for number, (tokens, expected) in enumerate(cases, 1):
            with self.subTest(tokens=tokens):
                running = dict.fromkeys(names, 1)
                self.report_load(number, running, dict(zip(names, tokens)))
                deadline = self.runtime.clock.monotonic() + 30.0
                lease = await self.lease(new_tokens=3_000, deadline=deadline)
                if expected is None:
                    with self.assertRaises(TimeoutError):
                        async with asyncio.timeout(0.05), lease:
                            pass
                    continue
                async with lease as upstream:
                    self.assertEqual(upstream.name, expected)
                    reserved = self.runtime.pools.reserved
                    self.assertEqual(reserved, {upstream.name: 3_001})
                self.assertEqual(self.runtime.pools.reserved, {})

    async def test_program_continues_on_the_engine_that_another_host_chose(self):
        now = self.runtime.clock.monotonic()
        async with await self.lease() as preferred:
            names = {"engine-1", "engine-2", "engine-3"} - {preferred.name}
        keeper = min(names)
        parts = (("shared", 500), ("turn-1", 900))
        there = KeptParts()
        there.add(keeper, 90_000)
        there.note_sent(keeper, parts, now)
        self.runtime.pools.parts.merge(there.report(now))
        placed = {}
        lease = self.runtime.pools.lease(
            SlotRequest(
                "c/p",
                "c/p",
                "c",
                "engine",
                new_tokens=1700,
                prompt_parts=(*parts, ("turn-2", 300)),
                deadline=now + 0.5,
            ),
            placed=placed,
        )
        async with lease as upstream:
            self.assertEqual(upstream.name, keeper)
        self.assertEqual(
            placed,
            {
                "placed": "kept_parts",
                "prompt_tokens": 1700,
                "cached_tokens": 1400,
                "reread_tokens": 0,
            },
        )
        self.assertIn(keeper, self.runtime.pools.parts.report(now))

    async def test_service_is_used_as_far_as_any_host_reaches_it(self):
        """Cases are links that are down, upstreams that no other host reaches either.

        The result is the engines in use; none if requests are refused at once.
        """
        cases = [
            ("", "", "123"),
            ("1", "", "23"),
            ("12", "", "123"),
            ("12", "1", "23"),
            ("123", "", "123"),
            ("123", "12", "3"),
            ("123", "123", ""),
        ]
        links = self.runtime.pools.links
        for number, (down, unreachable, used) in enumerate(cases, 1):
            with self.subTest(down=down, unreachable=unreachable):
                self.report_reach(number, [f"engine-{n}" for n in unreachable])
                now = self.runtime.clock.monotonic()
                for name in ("engine-1", "engine-2", "engine-3"):
                    links.note_connected(name, now, now)
                    if name[-1] in down:
                        links.note_failed(name, now, now)
                self.runtime.pools._apply_states("engine", now)
                if not used:
                    with self.assertRaises(CallError) as caught:
                        async with await self.lease():
                            pass
                    self.assertEqual(caught.exception.code, "overloaded")
                    self.assertGreater(caught.exception.retry_after, 0)
                    continue
                async with AsyncExitStack() as stack:
                    leased = {
                        (await stack.enter_async_context(await self.lease())).name
                        for _ in range(SLOTS)
                    }
                self.assertEqual("".join(sorted(n[-1] for n in leased)), used)

    async def test_waiting_requests_are_refused_once_no_host_reaches_the_service(self):
        async with AsyncExitStack() as stack:
            for _ in range(3 * SLOTS):
                await stack.enter_async_context(await self.lease())
            now = self.runtime.clock.monotonic()
            lease = await self.lease(deadline=now + 60.0)
            waiting = asyncio.ensure_future(stack.enter_async_context(lease))
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            for name in ("engine-1", "engine-2", "engine-3"):
                self.runtime.pools.links.note_failed(name, now, now)
            self.runtime.pools._apply_states("engine", now)
            with self.assertRaises(CallError):
                async with asyncio.timeout(1.0):
                    await waiting

    async def test_failures_over_a_link_that_is_down_do_not_eject_an_upstream(self):
        pools = self.runtime.pools
        upstream = pools.find("engine-1")
        now = self.runtime.clock.monotonic()
        pools.links.note_failed("engine-1", now, now)
        for _ in range(5):
            pools.report(upstream, ok=False)
        pools.links.note_connected("engine-1", now, now)
        pools._apply_states("engine", now)
        async with AsyncExitStack() as stack:
            leased = [
                (await stack.enter_async_context(await self.lease())).name
                for _ in range(SLOTS)
            ]
        self.assertIn("engine-1", leased)

    async def test_chain_returns_to_the_engine_that_has_it(self):
        lease = self.runtime.pools.lease(
            SlotRequest("c/q", "c/q", "c", "engine", prefix_tokens=500),
            upstream_hint="engine-2",
        )
        async with lease as upstream:
            self.assertEqual(upstream.name, "engine-2")

    async def test_leaving_upstreams_get_nothing_new(self):
        self.runtime.pools.set_upstreams(
            [
                Upstream("engine-1", "engine", "-", slots=8, leaving=True),
                Upstream("engine-2", "engine", "-", slots=8),
            ]
        )
        for _ in range(5):
            async with await self.lease() as upstream:
                self.assertEqual(upstream.name, "engine-2")
        self.runtime.pools.set_upstreams([])
        with self.assertRaises(CallError):
            async with await self.lease():
                pass

    async def test_slot_that_is_lost_before_its_request_goes_on_is_not_used(self):
        """Cases are what happens to engine-1 right after it was granted.

        The request waits for another slot, and gets that of engine-2.
        """
        others = [Upstream(f"engine-{n}", "engine", "-", slots=8) for n in (2, 3)]
        gone = self.runtime.pools.find("engine-1")
        pools = self.runtime.pools
        cases = [
            ("removed", lambda: pools.set_upstreams(others)),
            (
                "listed as leaving",
                lambda: pools.set_upstreams([replace(gone, leaving=True), *others]),
            ),
            ("said that it leaves", lambda: pools.note_leaving(gone)),
            ("out of reach", lambda: self.cut_off("engine-1")),
        ]
        for name, happen in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                pools = self.runtime.pools
                held = {"engine-1": [], "engine-2": [], "engine-3": []}
                for _ in range(3 * SLOTS):
                    lease = await self.lease()
                    held[(await lease.__aenter__()).name].append(lease)
                deadline = self.runtime.clock.monotonic() + 5.0
                lease = await self.lease(deadline=deadline)
                waiting = asyncio.ensure_future(lease.__aenter__())
                await asyncio.sleep(0.05)
                await held["engine-1"].pop().__aexit__(None, None, None)
                happen()
                await asyncio.sleep(0.05)
                self.assertFalse(waiting.done())
                await held["engine-2"].pop().__aexit__(None, None, None)
                async with asyncio.timeout(1.0):
                    self.assertEqual((await waiting).name, "engine-2")

    async def test_request_is_refused_if_all_leave_while_a_home_is_asked(self):
        """Cases are what happens to the engines meanwhile; the home does not answer."""
        names = ("engine-1", "engine-2", "engine-3")
        cases = [
            ("removed", lambda pools: pools.set_upstreams([])),
            (
                "leaving",
                lambda pools: [pools.note_leaving(pools.find(n)) for n in names],
            ),
            ("out of reach", lambda pools: [self.cut_off(n) for n in names]),
        ]
        for name, happen in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                pools = self.runtime.pools

                @asynccontextmanager
                async def hold(home, request, *, upstream_hint):
                    happen(pools)
                    yield None

                pools.shared.hold = hold
                with mock.patch.object(pools, "_find_home", return_value="b"):
                    with self.assertRaises(CallError) as caught:
                        async with await self.lease():
                            pass
                self.assertEqual(caught.exception.code, "overloaded")
                self.assertGreater(caught.exception.retry_after, 0)

    async def test_waiting_request_is_refused_once_no_upstream_is_left(self):
        """It waited for its deadline. Cases are what happens to the last engine."""
        cases = [
            ("removed", lambda pools: pools.set_upstreams([])),
            ("leaving", lambda pools: pools.note_leaving(pools.find("engine-1"))),
        ]
        for name, happen in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                pools = self.runtime.pools
                pools.set_upstreams([Upstream("engine-1", "engine", "-", slots=1)])
                async with await self.lease():
                    deadline = self.runtime.clock.monotonic() + 9.0
                    lease = await self.lease(program="c/q", deadline=deadline)
                    waiting = asyncio.ensure_future(lease.__aenter__())
                    await asyncio.sleep(0.01)
                    self.assertFalse(waiting.done())
                    happen(pools)
                    with self.assertRaises(CallError) as caught:
                        async with asyncio.timeout(0.5):
                            await waiting
                self.assertEqual(caught.exception.code, "overloaded")
                self.assertGreater(caught.exception.retry_after, 0)

    def cut_off(self, name):
        now = self.runtime.clock.monotonic()
        self.runtime.pools.links.note_failed(name, now, now)
        self.runtime.pools._apply_states("engine", now)

    async def test_upstream_that_said_that_it_leaves_gets_nothing_more(self):
        """Only a restart, which changes its start time, makes it usable again.

        Cases are the lists received since then, as start times of engine-1 (None
        where it is missing), and whether it is used.
        """
        cases = [
            ([], False),
            ([1.0], False),
            ([None, 1.0], False),
            ([2.0], True),
            ([None, 2.0], True),
            ([2.0, 1.0], False),
        ]
        for starts, used in cases:
            with self.subTest(starts):
                await self.asyncSetUp()
                self.list_engine(1.0)
                upstream = self.engine(1.0)
                self.runtime.pools.note_leaving(upstream)
                for started_at in starts:
                    self.list_engine(started_at)
                self.assertEqual(self.runtime.pools.is_leaving(upstream), not used)
                names = set()
                for _ in range(8):
                    async with await self.lease() as leased:
                        names.add(leased.name)
                    self.runtime.pools.report(self.engine(1.0, "engine-2"), ok=False)
                self.assertEqual("engine-1" in names, used)

    async def test_late_answer_of_an_earlier_run_marks_nothing(self):
        self.list_engine(2.0)
        self.runtime.pools.note_leaving(self.engine(1.0))
        self.assertFalse(self.runtime.pools.is_leaving(self.engine(2.0)))

    async def test_marks_of_upstreams_that_are_gone_are_dropped(self):
        self.list_engine(1.0)
        self.runtime.pools.note_leaving(self.engine(1.0))
        self.list_engine(None)
        later = self.runtime.clock.monotonic() + LEAVING_MEMORY_SECONDS + 1
        self.runtime.clock = SimpleNamespace(monotonic=lambda: later)
        self.list_engine(None)
        self.list_engine(1.0)
        self.assertFalse(self.runtime.pools.is_leaving(self.engine(1.0)))

    @staticmethod
    def engine(started_at, name="engine-1"):
        return Upstream(name, "engine", "127.0.0.1:1", slots=8, started_at=started_at)

    def list_engine(self, started_at):
        """List engine-2, and engine-1 with a start time unless that is None."""
        listed = [self.engine(1.0, "engine-2")]
        if started_at is not None:
            listed.append(self.engine(started_at))
        self.runtime.pools.set_upstreams(listed)

    async def test_failing_upstream_is_ejected(self):
        failing = Upstream("engine-1", "engine", "127.0.0.1:1", slots=8)
        for _ in range(2):
            self.runtime.pools.report(failing, ok=False)
        for _ in range(6):
            async with await self.lease() as upstream:
                self.assertNotEqual(upstream.name, "engine-1")


if __name__ == "__main__":
    unittest.main()
