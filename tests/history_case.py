"""Copies of histories and their client over real streams, as a base of tests."""

import asyncio
import contextlib
import itertools
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import HISTORY, Membership
from sapphireyard.history.client import HistoryClient
from sapphireyard.history.service import HistoryService
from sapphireyard.intake import Intake
from sapphireyard.streams.peers import Peers
from standins.memory import MemoryStore

WAIT_SECONDS = 10.0

NOTICE_SECONDS = 0.02
"""Time in which other hosts learn that the connections of one have ended."""


class SteadyMembership(Membership):
    """A membership in which all hosts are live without heartbeats, except some."""

    def __init__(self, host):
        super().__init__(host)
        self.silent = set()

    def silent_for(self, host, now):
        return float("inf") if host in self.silent else 0.0


class JumpingClock(Clock):
    """A clock whose wall time jumps, and which advances, as the test sets."""

    jump = 0.0
    advance = 0.0

    def monotonic(self):
        return super().monotonic() + self.advance

    def wall(self):
        return super().wall() + self.advance + self.jump


class Host:
    """One process in the test's loop: peers, and a copy or a client."""

    def __init__(self, name, store, folder, *, bootstrap=True, domain="a"):
        settings = SimpleNamespace(
            peer_address="127.0.0.1:0",
            data_folder=str(folder / name),
            bootstrap=bootstrap,
            tolerated_losses=1,
            failure_domain=domain,
            role=HISTORY,
        )
        self.host = name
        self.incarnation = 1
        self.settings = settings
        self.store = store
        self.clock = JumpingClock()
        self.configuration = self.ownership = None
        self.intake = Intake()
        self.peers = Peers(self)
        self.gossip = SimpleNamespace(membership=SteadyMembership(name))
        self.address = ""

    async def listen(self):
        """Open the socket for other hosts."""
        await self.peers.listen()
        self.address = self.peers.address


class HistoryCase(unittest.IsolatedAsyncioTestCase):
    """Four copies and a client, over real streams."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = MemoryStore()
        self.copies = {}
        self.hosts = {}
        self.heartbeat_numbers = itertools.count(1)
        entry = Host("entry", self.store, self.folder)
        self.hosts["entry"] = entry
        await entry.listen()
        self.client = HistoryClient(entry)
        self.addAsyncCleanup(entry.peers.on_stop)
        for name in ("a", "b", "c", "d"):
            await self.start_copy(name)
            await self.wait_until_serving(name)

    async def start_copy(self, name, *, bootstrap=True):
        """Start or restart a copy."""
        host = Host(name, self.store, self.folder, bootstrap=bootstrap)
        await host.listen()
        service = HistoryService(host)
        self.hosts[name] = host
        self.copies[name] = service
        self.exchange_heartbeats()
        await service.start()
        self.addAsyncCleanup(self.stop_copy, name, service)

    def exchange_heartbeats(self):
        """Send all hosts each other's addresses and readiness."""
        for receiver in self.hosts.values():
            for name, host in self.hosts.items():
                receiver.peers.static_addresses[name] = host.address
                copy = self.copies.get(name)
                heartbeat = Heartbeat(
                    name,
                    1,
                    next(self.heartbeat_numbers),
                    host.address,
                    HISTORY,
                    "a",
                    ready=copy is not None and copy.serving,
                )
                receiver.gossip.membership.record_heartbeat(
                    heartbeat, receiver.clock.monotonic()
                )

    async def stop_copy(self, name, service=None):
        """Stop a copy as a kill would, except that its files are closed."""
        service = service or self.copies.get(name)
        if service is None or service.should_stop:
            return
        await service.stop()
        await self.hosts[name].peers.on_stop()
        await asyncio.sleep(NOTICE_SECONDS)
        if self.copies.get(name) is service:
            del self.copies[name]

    async def wait_until_serving(self, name):
        """Wait until a copy serves, and update the client's set."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.copies[name].serving:
                self.exchange_heartbeats()
                await asyncio.sleep(0.02)
        self.client.update_copies(self.copies[name].copies)

    async def advance(self, seconds):
        """Let time pass on all clocks; the copies drop what has expired."""
        for host in self.hosts.values():
            host.clock.advance += seconds
        for copy in self.copies.values():
            await copy.purge_expired()

    @contextlib.contextmanager
    def unreachable(self, *names):
        """Cut the client off from some copies."""
        peers = self.hosts["entry"].peers
        addresses = {name: peers.static_addresses.pop(name) for name in names}
        for name in names:
            connection = peers._connections.get(name)
            if connection is not None:
                connection.close()
        try:
            yield
        finally:
            peers.static_addresses.update(addresses)
