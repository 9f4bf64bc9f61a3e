"""Registration of hosts in the store, in virtual time."""

import asyncio
import sys
import unittest
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import StoreConflict, StoreUnavailable
from sapphireyard.fleet.generated_fleet import Heartbeat, HostProfile
from sapphireyard.fleet.membership import ENTRY, Membership
from tests.platform_site import ROOT
from tests.virtual_loop import VirtualLoop

sys.path.insert(0, str(ROOT / "platform"))

from adapter.registry import (  # noqa: E402
    READ_SECONDS,
    REMOVAL_SECONDS,
    HostRegistry,
)

HOSTS = 9
ADDRESS = "10.0.0.1:7780"
CALLER_ADDRESS = "10.0.0.1:80"
STORE_SECONDS = 0.004
KNOWN_SECONDS = 8.0
"""Time within which hosts that start together know each other, if reads may return the
state of 3 s ago."""


class LoopClock(Clock):
    """A clock with the time of the virtual loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()


class FakeStore:
    """Entries of hosts; stale reads return the entries of `lag` seconds ago."""

    def __init__(self, *, lag=0.0):
        self.lag = lag
        self.down = False
        self.entries = {}
        self.calls = 0
        self._versions = [(float("-inf"), {})]

    async def create_object(self, kind, name, spec):
        await self._wait()
        if name in self.entries:
            raise StoreConflict(name)
        self.write(name, spec)

    async def put_object(self, kind, name, spec):
        await self._wait()
        self.write(name, spec)

    async def delete(self, name, *, expected_version):
        await self._wait()
        self.entries.pop(name.split("/")[1])
        self._keep_version()

    async def list_objects(self, kind, *, stale=False):
        await self._wait()
        entries = self.entries
        if stale:
            seen_at = asyncio.get_running_loop().time() - self.lag
            entries = [e for at, e in self._versions if at <= seen_at][-1]
        items = [
            SimpleNamespace(name=name, revision=1, spec=spec)
            for name, spec in entries.items()
        ]
        return items, 1

    def write(self, name, spec):
        """Write an entry."""
        self.entries[name] = spec
        self._keep_version()

    async def _wait(self):
        self.calls += 1
        await asyncio.sleep(STORE_SECONDS)
        if self.down:
            raise StoreUnavailable("down")

    def _keep_version(self):
        now = asyncio.get_running_loop().time()
        self._versions.append((now, dict(self.entries)))


class RegistryTest(unittest.TestCase):
    def run_world(self, test, **options):
        """Run a test in virtual time."""

        async def main():
            self.store = FakeStore(**options)
            self.registries = {}
            try:
                await test()
            finally:
                for registry in self.registries.values():
                    await registry.stop()

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(main())

    async def start(self, name, *, leads=False):
        """Start the registry of a host."""
        profile = HostProfile(name, ADDRESS, ENTRY, "a", CALLER_ADDRESS, 1.0)
        membership = Membership(name, "a")
        membership.own = profile
        runtime = SimpleNamespace(
            store=self.store,
            clock=LoopClock(),
            peers=SimpleNamespace(static_addresses={}),
            gossip=SimpleNamespace(
                membership=membership,
                beat_now=lambda: None,
                rotation=SimpleNamespace(leads=lambda now: leads),
            ),
        )
        registry = self.registries[name] = HostRegistry(runtime, profile)
        registry.membership = membership
        await registry.start()
        return registry

    def test_hosts_that_start_at_one_moment_know_each_other(self):
        """Each case has how old the state may be that a cheap read returns."""

        async def test():
            names = [f"h{number}" for number in range(HOSTS)]
            await asyncio.gather(*(self.start(name) for name in names))
            await asyncio.sleep(KNOWN_SECONDS)
            for name, registry in self.registries.items():
                known = set(registry.membership.profiles)
                self.assertEqual(known, set(names) - {name})
                self.assertTrue(registry.complete)

        for lag in (0.0, 1.0, 3.0):
            with self.subTest(lag):
                self.run_world(test, lag=lag)

    def test_hosts_register_once_the_store_answers(self):
        async def test():
            self.store.down = True
            await asyncio.gather(self.start("a"), self.start("b"))
            await asyncio.sleep(20.0)
            self.assertFalse(self.registries["a"].complete)
            self.store.down = False
            await asyncio.sleep(KNOWN_SECONDS)
            self.assertEqual(list(self.registries["a"].membership.profiles), ["b"])

        self.run_world(test)

    def test_restarted_host_knows_the_others_at_once(self):
        async def test():
            for name in ("a", "b"):
                profile = {"host": name, "address": ADDRESS, "role": ENTRY}
                self.store.write(name, {**profile, "failure_domain": "a"})
            await asyncio.sleep(60.0)
            registry = await self.start("a")
            await asyncio.sleep(0.1)
            self.assertTrue(registry.complete)
            self.assertEqual(list(registry.membership.profiles), ["b"])

        self.run_world(test, lag=3.0)

    def test_missing_own_entry_is_written_again(self):
        async def test():
            await self.start("a")
            await asyncio.sleep(KNOWN_SECONDS)
            await self.store.delete("hosts/a", expected_version=1)
            await asyncio.sleep(1.5 * READ_SECONDS)
            self.assertIn("a", self.store.entries)

        self.run_world(test)

    def test_entry_of_a_host_that_is_gone_is_removed_by_the_first_host(self):
        async def test():
            entry = {"address": ADDRESS, "role": ENTRY, "failure_domain": "a"}
            for name in ("silent", "heard"):
                self.store.write(name, {**entry, "host": name})
            await self.start("a", leads=True)
            await self.start("b", leads=False)
            membership = self.registries["a"].membership
            for number in range(int(2 * REMOVAL_SECONDS + READ_SECONDS)):
                if number < REMOVAL_SECONDS:
                    self.assertIn("silent", self.store.entries)
                heartbeat = Heartbeat("heard", 1, number + 1, ADDRESS, ENTRY, "a")
                membership.record_heartbeat(heartbeat, LoopClock().monotonic())
                await asyncio.sleep(1.0)
            self.assertNotIn("silent", self.store.entries)
            self.assertIn("heard", self.store.entries)

        self.run_world(test)

    def test_invalid_entries_are_ignored(self):
        async def test():
            self.store.write("old", "10.0.0.1:7780")
            self.store.write("odd", {"host": 7})
            await self.start("a")
            await self.start("b")
            await asyncio.sleep(KNOWN_SECONDS)
            self.assertEqual(list(self.registries["a"].membership.profiles), ["b"])

        self.run_world(test)

    def test_calls_of_a_quiet_host(self):
        """A host that knows all others calls the store twice a minute."""

        async def test():
            await self.start("a")
            await asyncio.sleep(KNOWN_SECONDS)
            before = self.store.calls
            await asyncio.sleep(120.0)
            self.assertLessEqual(self.store.calls - before, 6)

        self.run_world(test)


if __name__ == "__main__":
    unittest.main()
