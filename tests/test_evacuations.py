"""Failure domains that operators evacuate: their upstreams get nothing."""

import asyncio
import contextlib
import sys
import unittest
from types import SimpleNamespace

from sapphireyard.exceptions import CallError, StoreUnavailable, WatchExpired
from sapphireyard.exchange.calls import Upstream
from sapphireyard.fleet.evacuations import Evacuations
from sapphireyard.scheduling.scheduling import SlotRequest
from tests.exchange_case import ExchangeTestCase
from tests.platform_site import ROOT
from tests.test_standby import LoopClock
from tests.virtual_loop import VirtualLoop

sys.path.insert(0, str(ROOT / "platform"))

from adapter.feeds import EvacuationsFeed  # noqa: E402

BOUND_SECONDS = 5.0
"""Time after which an evacuation must be in force at each host."""


class EvacuationsTest(unittest.TestCase):
    def test_newest_view_counts(self):
        """Cases are views in the order in which they arrive, and the last in force."""
        for views, domains in (
            ([], ""),
            ([(5, "x")], "x"),
            ([(5, "x"), (6, "")], ""),
            ([(6, ""), (5, "x")], ""),
            ([(5, "x"), (5, "")], "x"),
            ([(5, "x"), (0, "")], "x"),
            ([(5, "x"), (9, "xy"), (7, "y")], "xy"),
        ):
            with self.subTest(views):
                evacuations = Evacuations()
                for revision, names in views:
                    evacuations.apply(names, revision, source="b")
                self.assertEqual(evacuations.domains, frozenset(domains))


class EvacuatedPoolsTest(ExchangeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pools = self.runtime.pools
        upstreams = [
            Upstream(f"engine-{domain}", "engine", "127.0.0.1:1", domain, slots=2)
            for domain in "xy"
        ]
        self.pools.set_upstreams(upstreams)

    async def acquire(self):
        """Return the upstream that a request gets."""
        request = SlotRequest(
            program="c/p",
            root="c/p",
            customer="c",
            pool="engine",
            deadline=self.runtime.clock.monotonic() + 2.0,
        )
        self._slot = self.pools.lease(request)
        upstream = await self._slot.__aenter__()
        self.addAsyncCleanup(self._slot.__aexit__, None, None, None)
        return upstream.name

    async def assert_refused(self):
        with self.assertRaises(CallError) as caught:
            async with asyncio.timeout(0.1):
                await self.acquire()
        self.assertEqual(caught.exception.code, "overloaded")
        self.assertGreater(caught.exception.retry_after, 0)

    async def test_requests_go_to_other_domains_until_it_is_taken_back(self):
        for revision, (evacuated, used) in enumerate(
            [("", "xy"), ("x", "y"), ("y", "x"), ("xy", ""), ("", "xy")], 1
        ):
            with self.subTest(evacuated=evacuated):
                await self.asyncSetUp()
                self.pools.evacuations.apply(evacuated, revision)
                if not used:
                    await self.assert_refused()
                    continue
                names = {await self.acquire() for _ in range(2 * len(used))}
                self.assertEqual(names, {f"engine-{domain}" for domain in used})

    async def test_upstream_that_is_listed_later_is_covered(self):
        self.pools.evacuations.apply("x", 1)
        self.pools.set_upstreams(
            [Upstream("engine-new", "engine", "127.0.0.1:1", "x", slots=2)]
        )
        await self.assert_refused()

    async def test_waiting_requests_are_refused_at_once(self):
        for _ in range(4):
            await self.acquire()
        waiting = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0.01)
        self.pools.evacuations.apply("xy", 1)
        with self.assertRaises(CallError):
            async with asyncio.timeout(0.1):
                await waiting


class ScriptedStore:
    """Has evacuated domains; may be down, hear nothing, or forget its history."""

    def __init__(self):
        self.history = [frozenset()]
        self.forgotten = 0
        self.down = False
        self.silent = False
        self.changed = asyncio.Event()

    @property
    def revision(self):
        return len(self.history)

    def write(self, *domains):
        self.history.append(frozenset(domains))
        self.changed.set()
        self.changed = asyncio.Event()

    async def list_objects(self, kind):
        await self._answer(kind)
        return _build_items(self.history[-1]), self.revision

    async def watch_objects(self, kind, *, revision, seconds):
        if self.silent:
            await asyncio.sleep(seconds + 1.0)
            raise StoreUnavailable(kind)
        if revision == self.revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self.changed.wait()
        await self._answer(kind)
        if revision < self.forgotten:
            raise WatchExpired(kind)
        before, now = self.history[revision - 1], self.history[-1]
        return SimpleNamespace(
            changed=_build_items(now - before),
            deleted=_build_items(before - now),
            revision=self.revision,
        )

    async def _answer(self, kind):
        await asyncio.sleep(1.0 if self.down else 0.004)
        if self.down:
            raise StoreUnavailable(kind)


def _build_items(domains):
    return [SimpleNamespace(name=name) for name in domains]


class EvacuationsFeedTest(unittest.TestCase):
    def run_feed(self, test):
        """Run a test in virtual time with a feed that follows `self.store`."""

        async def main():
            self.store = ScriptedStore()
            self.evacuations = Evacuations()
            runtime = SimpleNamespace(
                store=self.store,
                clock=LoopClock(),
                pools=SimpleNamespace(evacuations=self.evacuations),
                settings=SimpleNamespace(evacuation_seconds=BOUND_SECONDS),
            )
            feed = EvacuationsFeed(runtime)
            await feed.start()
            await asyncio.sleep(0.1)
            try:
                await test()
            finally:
                feed.pause()
                await feed.stop()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    async def measure(self, *domains):
        """Return the seconds until these domains are known to be evacuated."""
        started = asyncio.get_running_loop().time()
        async with asyncio.timeout(60.0):
            while self.evacuations.domains != set(domains):
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - started

    def test_changes_are_known_at_once(self):
        async def test():
            for domains in (["x"], ["x", "y"], ["y"], []):
                self.store.write(*domains)
                self.assertLess(await self.measure(*domains), 0.1)

        self.run_feed(test)

    def test_silent_connection_hides_an_evacuation_within_the_bound(self):
        async def test():
            self.store.silent = True
            self.store.write("y")
            await self.measure("y")
            await asyncio.sleep(0.1)  # this watch hears nothing
            self.store.silent = False
            self.store.write("x")
            self.assertLess(await self.measure("x"), BOUND_SECONDS)

        self.run_feed(test)

    def test_store_that_fails_between_the_write_and_the_read(self):
        async def test():
            self.store.down = True
            self.store.write("x")
            await asyncio.sleep(8.0)
            self.assertEqual(self.evacuations.domains, set())
            self.store.down = False
            self.assertLess(await self.measure("x"), 1.6)
            self.store.down = True
            await asyncio.sleep(20.0)
            self.assertEqual(self.evacuations.domains, {"x"})

        self.run_feed(test)

    def test_lost_history_loses_no_change(self):
        async def test():
            self.store.write("x")
            self.store.write("y")
            self.store.forgotten = self.store.revision
            self.assertLess(await self.measure("y"), 0.2)

        self.run_feed(test)

    def test_report_of_another_host_does_not_wait_for_the_store(self):
        async def test():
            self.store.silent = True
            self.store.write("y")
            await self.measure("y")
            self.store.write("x")
            self.evacuations.apply(["x"], self.store.revision, source="b")
            self.assertEqual(self.evacuations.domains, {"x"})
            await asyncio.sleep(4 * BOUND_SECONDS)
            self.assertEqual(self.evacuations.domains, {"x"})

        self.run_feed(test)


if __name__ == "__main__":
    unittest.main()
