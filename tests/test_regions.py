"""Requests stay in the regions that their route and their customer allow."""

import asyncio
import unittest

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.requests import AdmittedRequest
from sapphireyard.exchange.routes import Customer, Route
from sapphireyard.scheduling.scheduling import SlotRequest
from tests.exchange_case import ExchangeTestCase


def build_regions(names):
    return None if names is None else frozenset(names)


class RegionsTest(unittest.TestCase):
    def test_route_and_customer_both_bind(self):
        for route, customer, regions in (
            ("", "", None),
            ("e", "", "e"),
            ("", "w", "w"),
            ("ew", "w", "w"),
            ("e", "w", ""),
        ):
            with self.subTest((route, customer)):
                request = AdmittedRequest(
                    None,
                    Route(
                        *("r", "h", "/", True, False, 1.0, 1.0, 0, ()),
                        regions=frozenset(route),
                    ),
                    Customer("c", regions=frozenset(customer)),
                    "engine",
                    0.0,
                )
                self.assertEqual(request.regions, build_regions(regions))


class RegionPoolsTest(ExchangeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pools = self.runtime.pools
        upstreams = [
            Upstream(f"engine-{region}", "engine", "-", region, slots=4, region=region)
            for region in "ew"
        ]
        self.pools.set_upstreams(upstreams)

    async def acquire(self, regions, *, excluded=()):
        request = SlotRequest(
            program="c/p",
            root="c/p",
            customer="c",
            pool="engine",
            deadline=self.runtime.clock.monotonic() + 2.0,
            excluded=excluded,
            regions=build_regions(regions),
        )
        lease = self.pools.lease(request, upstream_hint="engine-e")
        async with asyncio.timeout(0.1):
            upstream = await lease.__aenter__()
        self.addAsyncCleanup(lease.__aexit__, None, None, None)
        return upstream.region

    async def test_requests_go_to_allowed_regions(self):
        for regions, used in ((None, "ew"), ("e", "e"), ("w", "w"), ("ew", "ew")):
            with self.subTest(regions):
                await self.asyncSetUp()
                got = {await self.acquire(regions) for _ in range(2 * len(used))}
                self.assertEqual(got, set(used))

    async def test_request_is_refused_at_once_if_its_regions_have_no_upstream(self):
        for regions, evacuated in (("x", ""), ("", ""), ("e", "e")):
            with self.subTest((regions, evacuated)):
                await self.asyncSetUp()
                self.pools.evacuations.apply(evacuated, 1)
                with self.assertRaises(CallError) as caught:
                    await self.acquire(regions)
                self.assertEqual(caught.exception.code, "overloaded")
                self.assertGreater(caught.exception.retry_after, 0)

    async def test_another_attempt_stays_in_its_regions(self):
        self.assertEqual(await self.acquire("e", excluded=("engine-e",)), "e")

    async def test_full_region_does_not_spill(self):
        for _ in range(4):
            await self.acquire("e")
        with self.assertRaises(TimeoutError):
            await self.acquire("e")


if __name__ == "__main__":
    unittest.main()
