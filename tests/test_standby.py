"""An entry host that stands by, and what a request to it does."""

import asyncio
import functools
import sys
import unittest
from types import SimpleNamespace
from unittest import mock

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import StoreConflict, StoreUnavailable
from sapphireyard.fleet.generated_fleet import Heartbeat, HostProfile
from sapphireyard.fleet.membership import ENTRY
from sapphireyard.runtime import Runtime
from sapphireyard.streams.frames import MessageCodec
from tests.platform_site import ROOT, build_configuration
from tests.virtual_loop import VirtualLoop

sys.path.insert(0, str(ROOT / "platform"))

from adapter.entry import (  # noqa: E402
    AWAKE_SECONDS,
    SETTLE_SECONDS,
    WAKE_TIMEOUT_SECONDS,
    EntryProcess,
)
from adapter.names import EVACUATIONS_KIND, HOSTS_KIND  # noqa: E402
from adapter.settings import HostSettings  # noqa: E402

STORE_SECONDS = 0.004


class LoopClock(Clock):
    """A clock with the time of the virtual loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()


class FakeStore:
    """Answers with one configuration and no upstreams, or not at all."""

    def __init__(self):
        self.calls = []
        self.available = None
        self.silent = False
        self.unanswered = None
        self.entries = []

    async def create_object(self, kind, name, spec):
        await self._answer(f"create {kind}")
        raise StoreConflict(name)

    async def put_object(self, kind, name, spec):
        await self._answer(f"put {kind}")
        self.entries = [SimpleNamespace(name=name, revision=1, spec=spec)]

    async def list_objects(self, kind, *, stale=False):
        await self._answer(f"list {kind}")
        if kind == HOSTS_KIND:
            return self.entries, 1
        if kind != "config":
            return [], 1
        item = SimpleNamespace(name="main", revision=1, spec=build_configuration())
        return [item], 1

    async def watch_objects(self, kind, *, revision, seconds):
        await asyncio.sleep(seconds)
        await self._answer(f"watch {kind}")
        return SimpleNamespace(changed=(), deleted=(), revision=revision)

    async def get_object(self, kind, name):
        await self._answer(f"get {kind}")
        return SimpleNamespace(name=name, revision=1, spec=build_configuration())

    async def _answer(self, call):
        self.calls.append(call)
        if self.silent or call.split()[1] == self.unanswered:
            await asyncio.sleep(1.0)
            self.available = False
            raise StoreUnavailable(call)
        await asyncio.sleep(STORE_SECONDS)
        self.available = True


class StandbyTest(unittest.TestCase):
    def run_process(self, test, **fields):
        """Run a test in virtual time, with the feeds of an entry process started.

        `fields` are further settings.
        """

        async def main():
            settings = HostSettings(
                host="a",
                role="entry",
                failure_domain="x",
                peer_address="127.0.0.1:1",
                caller_address="127.0.0.1:2",
                ready_address="",
                directory_address="",
                seeds=(),
                bootstrap=False,
                data_folder="",
                tolerated_losses=1,
                withdrawal_seconds=5.0,
                contact_seconds=3.0,
                stop_seconds=8.0,
                address_seconds=5.0,
                store_address="",
                cores=1.0,
                **fields,
            )
            self.store = FakeStore()
            runtime = Runtime(settings, self.store, clock=LoopClock())
            runtime.peers = SimpleNamespace(
                static_addresses={},
                codec=MessageCodec(),
                register=lambda message_class, handler: None,
                register_stream=lambda message_class, handler: None,
            )
            self.process = EntryProcess(runtime)
            feeds = self.process._feeds
            for feed in feeds:
                await feed.start()
            try:
                await test()
            finally:
                for feed in feeds:
                    feed.pause()
                    await feed.stop()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    def beat(self):
        self.process._prepare_beat(asyncio.get_running_loop().time())

    def activate(self):
        """Let the rotation choose this host at its next heartbeat."""
        rotation = self.process._rotation
        rotation.active = False

        def choose(now, **options):
            rotation.active = True

        rotation.update = choose
        self.beat()

    async def wake(self):
        """Return the seconds for which a request waits."""
        started = asyncio.get_running_loop().time()
        await self.process._wake()
        return asyncio.get_running_loop().time() - started

    def test_standby_host_calls_the_store_for_requests_only(self):
        async def test():
            self.beat()
            await asyncio.sleep(10.0)
            self.assertEqual(self.store.calls, [])
            self.assertLess(await self.wake(), 0.1)
            self.assertTrue(self.process._runtime.configuration.fresh)
            self.assertIn("list servers", self.store.calls)
            self.assertLess(await self.wake(), 0.001)
            await asyncio.sleep(AWAKE_SECONDS + 0.1)
            self.beat()
            await asyncio.sleep(5.0)
            calls = len(self.store.calls)
            await asyncio.sleep(60.0)
            self.assertEqual(len(self.store.calls), calls)

        self.run_process(test)

    def test_later_request_reads_anew(self):
        async def test():
            await self.wake()
            await asyncio.sleep(AWAKE_SECONDS + 0.1)
            self.beat()
            await asyncio.sleep(30.0)
            del self.store.calls[:]
            await self.wake()
            self.assertIn("list config", self.store.calls)
            self.assertIn("list servers", self.store.calls)

        self.run_process(test)

    def test_request_right_after_a_pause_uses_the_watch_in_progress(self):
        """The watch has missed nothing, and may take seconds to end."""

        async def test():
            await self.wake()
            await asyncio.sleep(AWAKE_SECONDS + 0.1)
            self.beat()
            await asyncio.sleep(0.1)
            self.assertLess(await self.wake(), 0.001)
            self.assertTrue(self.process._upstreams_feed.answered)

        self.run_process(test)

    def test_host_that_becomes_active_is_ready_once_it_has_heard_the_others(self):
        """In a small fleet all hosts are active from the start, and need not wait."""

        async def test(others, seconds):
            profiles = [HostProfile(f"h{n}", "", "entry", "x") for n in range(others)]
            self.process._membership.set_profiles(profiles)
            copies = SimpleNamespace(members={"s": "id"}, version=1)
            history = SimpleNamespace(copies=copies, keeps_turns=True)
            self.process._runtime.history = history
            started = asyncio.get_running_loop().time()
            self.activate()
            while not self.process.ready:
                await asyncio.sleep(0.01)
            waited = asyncio.get_running_loop().time() - started
            self.assertAlmostEqual(waited, seconds, delta=0.05)

        for others, seconds in ((7, 0.0), (40, SETTLE_SECONDS)):
            with self.subTest(others):
                self.run_process(functools.partial(test, others, seconds))

    def test_host_that_becomes_active_is_ready_once_upstreams_are_read(self):
        async def test():
            copies = SimpleNamespace(members={"s": "id"}, version=1)
            history = SimpleNamespace(copies=copies, keeps_turns=True)
            self.process._runtime.history = history
            await self.wake()
            await asyncio.sleep(AWAKE_SECONDS + 0.1)
            self.beat()
            await asyncio.sleep(10.0)
            self.process._rotation.active = True
            with mock.patch.object(type(self.process._rotation), "update"):
                self.beat()
                configuration = self.process._runtime.configuration
                configuration.confirm(asyncio.get_running_loop().time())
                self.assertFalse(self.process.ready)
                await asyncio.sleep(0.1)
                self.assertTrue(self.process.ready)

        self.run_process(test)

    def test_restarted_host_is_ready_once_evacuations_are_read(self):
        async def test():
            copies = SimpleNamespace(members={"s": "id"}, version=1)
            history = SimpleNamespace(copies=copies, keeps_turns=True)
            self.process._runtime.history = history
            self.store.unanswered = EVACUATIONS_KIND
            self.activate()
            await asyncio.sleep(1.0)
            self.assertTrue(self.process._runtime.configuration.fresh)
            self.assertFalse(self.process.ready)
            self.store.unanswered = None
            await asyncio.sleep(1.0)
            self.assertTrue(self.process.ready)

        self.run_process(test, evacuation_seconds=5.0)

    def test_restarted_host_is_active_as_soon_as_it_has_read_the_others(self):
        """It does not wait for its next heartbeat, which a standby host sends late."""

        async def test():
            gossip = self.process._runtime.gossip
            gossip._transport = SimpleNamespace(
                sendto=lambda *datagram: None, close=lambda: None
            )
            with mock.patch.object(type(gossip), "on_start"):
                await gossip.start()
            await self.process._registry.start()
            await asyncio.sleep(0.1)
            self.assertTrue(self.process._rotation.active)
            for service in (gossip, self.process._registry):
                await service.stop()

        self.run_process(test)

    def test_host_that_the_store_does_not_answer_hears_of_an_evacuation(self):
        async def test():
            self.store.silent = True
            heartbeat = Heartbeat(
                "b", 1, 1, "-", ENTRY, "x", evacuated=["y"], evacuated_revision=7
            )
            now = asyncio.get_running_loop().time()
            gossip = self.process._runtime.gossip
            member = gossip.membership.record_heartbeat(heartbeat, now)
            with mock.patch.object(type(gossip), "answered_since"):
                self.process._handle_heartbeat(member, now)
            self.assertEqual(self.process._runtime.pools.evacuations.domains, {"y"})
            described = self.process._describe(now, full=False)
            self.assertEqual(described["evacuated"], ["y"])
            self.assertEqual(described["evacuated_revision"], 7)

        self.run_process(test)

    def test_request_is_not_held_while_the_store_is_known_to_be_down(self):
        async def test():
            self.store.silent = True
            self.assertLess(await self.wake(), WAKE_TIMEOUT_SECONDS + 0.01)
            await asyncio.sleep(1.0)
            for _ in range(3):
                self.assertLess(await self.wake(), 0.001)

        self.run_process(test)

    def test_outage_before_a_pause_does_not_let_a_request_use_the_old_list(self):
        """The store is back, but no call of this host has told it so."""

        async def test():
            await self.wake()
            await asyncio.sleep(1.0)
            self.store.silent = True
            await asyncio.sleep(AWAKE_SECONDS + 5.0)
            self.assertIs(self.store.available, False)
            self.beat()
            await asyncio.sleep(30.0)
            self.store.silent = False
            for _ in range(2):
                self.assertLess(await self.wake(), 0.1)
                self.assertTrue(self.process._upstreams_feed.answered)

        self.run_process(test)


if __name__ == "__main__":
    unittest.main()
