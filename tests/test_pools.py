"""Slots of upstreams on an entry host."""

import unittest

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import Upstream
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

    async def test_failing_upstream_is_ejected(self):
        failing = Upstream("engine-1", "engine", "127.0.0.1:1", slots=8)
        for _ in range(2):
            self.runtime.pools.report(failing, ok=False)
        for _ in range(6):
            async with await self.lease() as upstream:
                self.assertNotEqual(upstream.name, "engine-1")


if __name__ == "__main__":
    unittest.main()
