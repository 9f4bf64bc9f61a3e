"""Tests of the ownership service with its background tasks, in real time."""

import asyncio
import logging
import unittest

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import SapphireyardError
from sapphireyard.journal.generated_records import ProgramOpened
from standins.memory import MemoryStore
from tests.fleet import PARTITIONS, Fleet

WAIT_SECONDS = 30
"""Timeout of waiting for a condition."""


class RunningFleet(Fleet):
    """A fleet whose ownership services run their own tasks."""

    async def start(self, host):
        """Start a host with all its tasks."""
        runtime = await self.add_unjoined(host)
        runtime.clock = Clock()
        runtime.settings.renewal_seconds = 0.05
        runtime.settings.expiry_seconds = 1.0
        await runtime.ownership.start()
        return runtime

    async def end(self, host):
        """Stop a host's process without a clean shutdown."""
        await self.runtimes[host].ownership.stop()
        return await self.kill(host)

    async def stop(self):
        for runtime in self.runtimes.values():
            await runtime.ownership.stop()
        await super().stop()


class OwnershipServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.fleet = RunningFleet(MemoryStore())
        for host in "abc":
            await self.fleet.start(host)
        self.addAsyncCleanup(self.fleet.stop)

    async def wait_for(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    def is_balanced(self):
        """Return whether all hosts know one assignment with even load and are ready."""
        runtimes = list(self.fleet.runtimes.values())
        if len({runtime.ownership.version for runtime in runtimes}) > 1:
            return False
        shares = [len(runtime.ownership.owned) for runtime in runtimes]
        ready = all(
            runtime.ownership.is_ready(p)
            for runtime in runtimes
            for p in runtime.ownership.owned
        )
        even = max(shares) - min(shares) <= 1
        return ready and even and sum(shares) == PARTITIONS

    async def open_program(self, key):
        while True:
            try:
                return await self.try_open(key)
            except SapphireyardError:
                await self.wait_for(self.is_balanced)

    async def try_open(self, key):
        location = self.fleet.runtimes["a"].ownership.locate(key)
        runtime = self.fleet.runtimes[location.host]
        record = ProgramOpened(key, key, 1.0)
        await runtime.journal.commit([record], partition=location.partition)
        runtime.programs.apply(location.partition, record)
        return location.partition

    def find_program(self, partition, key):
        for runtime in self.fleet.runtimes.values():
            if partition in runtime.ownership.owned:
                return runtime.programs.get(partition, key)
        return None

    async def test_balance_takeover_restart_and_leaving(self):
        await self.wait_for(self.is_balanced)
        keys = {f"c/{n}": await self.open_program(f"c/{n}") for n in range(8)}
        await self.fleet.end("b")
        await self.wait_for(self.is_balanced)
        await self.fleet.start("b")
        await self.wait_for(self.is_balanced)
        self.assertTrue(await self.fleet.runtimes["c"].ownership.leave(timeout=20))
        await self.fleet.end("c")
        await self.wait_for(self.is_balanced)
        for key, partition in keys.items():
            self.assertIsNotNone(self.find_program(partition, key), key)

    async def test_sealed_host_joins_again(self):
        await self.wait_for(self.is_balanced)
        runtime = self.fleet.runtimes["b"]
        recovery = self.fleet.runtimes["a"].ownership.recovery
        await recovery.take_over("b", runtime.incarnation)
        await self.wait_for(lambda: runtime.incarnation == 2 and self.is_balanced())
