"""The list of upstreams around calls to the store that fail, in virtual time."""

import asyncio
import sys
import unittest
from dataclasses import dataclass
from types import SimpleNamespace

from sapphireyard.exceptions import StoreUnavailable, WatchExpired
from tests.platform_site import ROOT
from tests.test_odd_entries import ENTRY
from tests.test_standby import LoopClock
from tests.virtual_loop import VirtualLoop

sys.path.insert(0, str(ROOT / "platform"))

from adapter import feeds  # noqa: E402

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
REPORT_SECONDS = 1.2
CALL_SECONDS = 0.004
CALL_TIMEOUT_SECONDS = 1.0
PROMPT_SECONDS = 0.5
"""Time in which a removal is known that nothing hides."""


class Failure(StoreUnavailable):
    """A call that failed; the client raises subclasses of `StoreUnavailable` only."""


@dataclass
class Item:
    """An object as the client of the store returns it."""

    name: str
    spec: object
    revision: int = 1


class ScriptedStore:
    """Has the entries of upstreams, and fails calls in ways that a test chooses.

    Attributes
    ----------
    failures : list of str
        How the next calls fail: ``busy``, ``refused`` or ``slow``.
    down : str
        How all calls fail, if at all.
    silent : bool
        Watches that wait get nothing more, not even an end.
    """

    def __init__(self):
        self.entries = {}
        self.failures = []
        self.down = ""
        self.silent = False
        self.forgotten = 0
        self.calls = []
        self._events = []
        self._changed = asyncio.Event()
        self._cut = False

    @property
    def revision(self):
        return len(self._events) + 1

    def put(self, name, **changes):
        """Write an entry."""
        self.entries[name] = {**ENTRY, **changes}
        self._record(name)

    def remove(self, name):
        """Remove an entry."""
        del self.entries[name]
        self._record(name)

    def cut_watches(self):
        """Break off the watches that wait."""
        self._cut = True
        self._notify()

    async def list_objects(self, kind):
        self.calls.append("list")
        await self._answer()
        return [Item(*entry) for entry in self.entries.items()], self.revision

    async def watch_objects(self, kind, *, revision, seconds):
        self.calls.append("watch")
        await self._answer()
        if revision < self.forgotten:
            raise WatchExpired(kind)
        deadline = asyncio.get_running_loop().time() + seconds
        while revision == self.revision:
            remaining = deadline - asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                break
            if self._cut:
                self._cut = False
                raise Failure("watch is cut")
        if self.silent:  # also if there are changes
            remaining = deadline - asyncio.get_running_loop().time()
            await asyncio.sleep(remaining + CALL_TIMEOUT_SECONDS)
            self.silent = False  # the next call has a connection of its own
            raise Failure("watch is silent")
        await self._fail(self.down)
        names = set(self._events[revision - 1 :])
        return SimpleNamespace(
            changed=[Item(n, self.entries[n]) for n in names if n in self.entries],
            deleted=[Item(n, None) for n in names if n not in self.entries],
            revision=self.revision,
        )

    async def _answer(self):
        await asyncio.sleep(CALL_SECONDS)
        await self._fail(self.failures.pop(0) if self.failures else self.down)

    async def _fail(self, failure):
        if failure == "busy":
            # Before there was a class of its own, this was any other failure.
            raise getattr(feeds, "StoreBusy", Failure)("status 429")
        if failure == "slow":
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        if failure:
            raise Failure(failure)

    def _record(self, name):
        self._events.append(name)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


class UpstreamsFeedTest(unittest.TestCase):
    def run_feed(self, test, **settings):
        """Run a test in virtual time with a feed that follows `self.store`."""

        async def main():
            self.store = ScriptedStore()
            self.listed = set()
            runtime = SimpleNamespace(
                store=self.store,
                clock=LoopClock(),
                pools=SimpleNamespace(set_upstreams=self.note_listed),
                settings=SimpleNamespace(
                    contact_seconds=CONTACT_SECONDS,
                    drain_seconds=DRAIN_SECONDS,
                    report_seconds=REPORT_SECONDS,
                    regions={},
                    **settings,
                ),
            )
            self.feed = feeds.UpstreamsFeed(runtime)
            for name in ("a", "b"):
                self.store.put(name)
            await self.feed.start()
            await asyncio.sleep(1.0)
            self.assertEqual(self.listed, {"a", "b"})
            try:
                await test()
            finally:
                self.feed.pause()
                await self.feed.stop()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    def note_listed(self, upstreams):
        self.listed = {each.name for each in upstreams}

    async def measure_removal(self, name="b"):
        """Return the seconds until an upstream is no longer listed."""
        started = asyncio.get_running_loop().time()
        async with asyncio.timeout(60.0):
            while name in self.listed:
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - started

    async def fail_calls(self, failures):
        """Make the next calls fail; return when they have."""
        self.store.failures = list(failures)
        self.store.cut_watches()
        while self.store.failures:
            await asyncio.sleep(0.01)

    def test_removal_after_a_failed_call_is_in_force_at_once(self):
        """Cases are the calls that fail and the seconds from there to the removal."""
        for failures in ([], ["busy"], ["refused"], ["slow"], ["busy"] * 4):
            for pause in (0.0, 0.3, 1.0, 2.0):

                async def test(failures=failures, pause=pause):
                    await self.fail_calls(failures)
                    await asyncio.sleep(pause)
                    self.store.remove("b")
                    seconds = await self.measure_removal()
                    limit = PROMPT_SECONDS
                    if "slow" in failures:
                        limit += CALL_TIMEOUT_SECONDS
                    if len(failures) > 1:
                        limit += len(failures) * feeds.MAX_RETRY_SECONDS
                    self.assertLess(seconds, limit)

                with self.subTest(failures=failures, pause=pause):
                    self.run_feed(test)

    def test_removal_while_the_store_is_refusing_this_host_alone(self):
        """The store is back before an entry can have lapsed."""

        async def test():
            self.store.failures = ["refused"] * 3
            self.store.cut_watches()
            self.store.remove("b")
            self.assertLess(await self.measure_removal(), DRAIN_SECONDS)

        self.run_feed(test)

    def test_removal_is_in_force_while_the_store_is_down(self):
        async def test():
            await self.fail_calls(["busy"])
            self.store.remove("b")
            await asyncio.sleep(PROMPT_SECONDS)
            self.store.down = "slow"
            self.assertLess(await self.measure_removal(), DRAIN_SECONDS)

        self.run_feed(test)

    async def go_through_outage(self, *, lapse, seconds=5.0, failure="refused"):
        """Take the store down; entries lapse shortly before it is back."""
        self.store.down = failure
        self.store.cut_watches()
        await asyncio.sleep(seconds - 0.1)
        for name in lapse:
            self.store.remove(name)
        await asyncio.sleep(0.1)
        self.store.down = ""

    def test_entry_that_lapsed_in_an_outage_may_reappear(self):
        async def test():
            await self.go_through_outage(lapse="ab")
            for _ in range(15):
                await asyncio.sleep(0.1)
                self.assertEqual(self.listed, {"a", "b"})
            self.store.put("a")
            await asyncio.sleep(2 * DRAIN_SECONDS)
            self.assertEqual(self.listed, {"a"})

        for failure in ("refused", "slow"):
            with self.subTest(failure):
                self.run_feed(test)

    def test_lapsed_entry_is_dropped_by_the_clock(self):
        """Even if the store falls silent or is down again."""
        for after in ("", "silent", "slow"):

            async def test(after=after):
                await self.go_through_outage(lapse="b")
                await asyncio.sleep(1.0)
                self.assertIn("b", self.listed)
                self.store.silent = after == "silent"
                self.store.down = "slow" if after == "slow" else ""
                self.assertLess(await self.measure_removal(), 1.5)

            with self.subTest(after):
                self.run_feed(test)

    def test_removals_that_no_outage_explains(self):
        """An upstream that said it leaves, and one removed after the store is back."""

        async def leaving():
            self.store.put("b", state="draining")
            await asyncio.sleep(0.5)
            await self.go_through_outage(lapse="b")
            self.assertLess(await self.measure_removal(), 1.0)

        async def removed():
            await self.go_through_outage(lapse="")
            await asyncio.sleep(1.0)
            self.store.remove("b")
            self.assertLess(await self.measure_removal(), PROMPT_SECONDS)

        for test in (leaving, removed):
            with self.subTest(test.__name__):
                self.run_feed(test)

    def test_silent_connection_hides_a_leaving_upstream_for_a_bounded_time(self):
        """No longer than a disturbance may delay a host, whenever it falls silent."""
        for offset in (0.0, 0.4, 0.8, 1.2, 1.6):
            for changed in (False, True):

                async def test(offset=offset, changed=changed):
                    await asyncio.sleep(offset)
                    if changed:  # the next watch begins after a pause
                        self.store.put("c")
                        await asyncio.sleep(2 * CALL_SECONDS)
                    self.store.silent = True
                    self.store.remove("b")
                    self.assertLess(await self.measure_removal(), CONTACT_SECONDS)

                with self.subTest(offset, changed=changed):
                    self.run_feed(test)

    def test_entries_that_lapse_in_two_outages_have_each_their_time(self):
        async def test():
            await self.go_through_outage(lapse="b")
            await asyncio.sleep(0.5)
            self.store.put("b")
            await self.go_through_outage(lapse="ab")
            for _ in range(15):
                await asyncio.sleep(0.1)
                self.assertIn("a", self.listed)
            self.assertLess(await self.measure_removal("a"), 1.5)
            self.assertEqual(self.listed, set())

        self.run_feed(test)

    def test_lost_history_is_listed_with_growing_pauses(self):
        async def test():
            self.store.forgotten = 10_000
            self.store.put("c")
            await asyncio.sleep(PROMPT_SECONDS)
            self.assertIn("c", self.listed)
            before = len(self.store.calls)
            await asyncio.sleep(10.0)
            self.assertLess(len(self.store.calls) - before, 60)
            self.store.forgotten = 0
            await asyncio.sleep(1.0)
            self.store.remove("b")
            self.assertLess(await self.measure_removal(), PROMPT_SECONDS)

        self.run_feed(test)

    def test_unexpected_error_does_not_end_the_feed(self):
        async def test():
            put = self.feed._put

            def fail(item):
                self.feed._put = put
                raise OverflowError("unexpected")

            self.feed._put = fail
            with self.assertLogs("adapter.feeds", "ERROR"):
                self.store.put("c")
                await asyncio.sleep(1.0)
            self.assertIn("c", self.listed)
            self.assertFalse(self.feed.crashed)

        self.run_feed(test)


if __name__ == "__main__":
    unittest.main()
