"""Slots of upstreams on an entry host."""

import unittest
from types import SimpleNamespace

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.pools import LEAVING_MEMORY_SECONDS
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY
from sapphireyard.scheduling.scheduling import SlotRequest
from tests.exchange_case import ExchangeTestCase


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

    def report_load(self, number, running):
        now = self.runtime.clock.monotonic()
        heartbeat = Heartbeat("b", 1, number, "-", ENTRY, "x", running=running)
        member = self.runtime.gossip.membership.record_heartbeat(heartbeat, now)
        self.runtime.pools.update_remote_load(member, now)

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
