"""A fleet of hosts in one process that share an in-memory store, for tests."""

import asyncio
import json
import logging
from collections import defaultdict
from contextlib import asynccontextmanager

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import PeerUnavailable
from sapphireyard.generated_settings import EntrySettings
from sapphireyard.journal.generated_records import ProgramSnapshot
from sapphireyard.journal.journal import JournalService
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.programs.programs import Programs
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.streams.peers import PeerContext
from sapphireyard.yard import Yard

PARTITIONS = 8

CASE_SECONDS = 20
"""Timeout of a test."""

ANSWER_SECONDS = 0.05
RETRY_SECONDS = 0.005


class VirtualClock(Clock):
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now


class Network:
    """Connects the `FakePeers` of a fleet; `cut` hosts are unreachable."""

    def __init__(self):
        self.peers = {}
        self.cut = set()

    def find(self, sender, receiver):
        """Return the receiver's `FakePeers` if both ends are reachable."""
        if {sender, receiver} & self.cut or receiver not in self.peers:
            raise PeerUnavailable(f"{receiver} cannot be reached", sent=False)
        return self.peers[receiver]


class FakePeers:
    """The interface of `Peers` without sockets."""

    def __init__(self, yard, network):
        self.yard = yard
        self.network = network
        self.codec = MessageCodec()
        self.handlers = {}
        self.address = f"{yard.host}:1"

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    def on_hello(self, callback):
        pass

    async def ask(self, host, message, *, timeout):
        assignment = self.yard.ownership.assignment
        if assignment is None or host not in assignment.members:
            raise PeerUnavailable(f"{host} is not a member", sent=False)
        receiver = self.network.find(self.yard.host, host)
        context = PeerContext(self.yard.host, self.yard.incarnation)
        message = self.codec.load(*self.codec.dump(message))
        return await receiver.handlers[type(message)](message, context)

    def tell(self, host, message):
        asyncio.ensure_future(self._tell(host, message))

    async def _tell(self, host, message):
        try:
            await self.ask(host, message, timeout=1)
        except PeerUnavailable:
            return


class RecordedPrograms:
    """Programs whose state is the list of numbers committed to each partition."""

    def __init__(self):
        self.numbers = defaultdict(list)

    def apply(self, partition, record, *, source=None):
        if isinstance(record, ProgramSnapshot):
            self.numbers[partition] = json.loads(record.ended)
            return
        self.numbers[partition].append(int(record.reason))

    def snapshot(self, partition):
        if not self.numbers[partition]:
            return []
        return [
            ProgramSnapshot("p", "p", 0.0, ended=json.dumps(self.numbers[partition]))
        ]

    def drop(self, partition):
        self.numbers.pop(partition, None)

    async def quiesce(self, partition):
        pass

    async def resume(self, partition):
        pass

    def finish_recovery(self, partition, *, tail_uncertain=False):
        return []


class Fleet:
    """Hosts a, b, c ... whose services are driven by the test.

    Parameters
    ----------
    store : Store
        Shared by all hosts, unless `add` is given another.
    """

    programs_class = Programs
    journal_class = JournalService
    ownership_class = OwnershipService

    def __init__(self, store):
        self.store = store
        self.network = Network()
        self.yards = {}
        self.replaced = []

    async def add(self, host, *, store=None, domain=None):
        """Start a host, or a new process of it, and join it to the fleet."""
        yard = await self.add_unjoined(host, store=store, domain=domain)
        await yard.ownership.join()
        await yard.ownership.recover()
        return yard

    async def add_unjoined(self, host, *, store=None, domain=None):
        """Start a host, or a new process of it, without joining."""
        settings = EntrySettings(
            host=host,
            failure_domain=domain or f"domain-{host}",
            caller_address="127.0.0.1:1",
            peer_address="127.0.0.1:1",
            store="http://127.0.0.1:1",
            commit_interval_seconds=0,
            partitions=PARTITIONS,
        )
        yard = Yard(settings, store or self.store, clock=VirtualClock())
        yard.programs = self.programs_class()
        yard.peers = FakePeers(yard, self.network)
        yard.journal = self.journal_class(
            yard, answer_seconds=ANSWER_SECONDS, retry_seconds=RETRY_SECONDS
        )
        yard.ownership = self.ownership_class(yard, retry_seconds=RETRY_SECONDS)
        yard.ownership.handlers.register()
        await yard.journal.start()
        if host in self.yards:
            self.replaced.append(self.yards[host])
        self.yards[host] = yard
        self.network.peers[host] = yard.peers
        self.network.cut.discard(host)
        return yard

    async def kill(self, host):
        """Stop a host's process without a clean shutdown."""
        yard = self.yards.pop(host)
        del self.network.peers[host]
        await yard.journal.stop()
        return yard

    def pause(self, host):
        """Cut a host off from its peers; its journal can still commit."""
        self.network.cut.add(host)
        return self.yards[host]

    async def sync(self):
        """Let every reachable host read the newest assignment and recover."""
        for yard in list(self.yards.values()):
            if yard.host not in self.network.cut:
                await self._refresh(yard)

    async def _refresh(self, yard):
        yard.ownership.adopt(await yard.ownership.assignments.read())
        await yard.ownership.recover()

    async def rebalance(self):
        """Balance until no host moves a partition."""
        await self.sync()
        while sum([await y.ownership.balance() for y in self.yards.values()]):
            await self.sync()

    async def expire(self, host, *, by):
        """Let a host observe that another has expired, and take over from it."""
        observer = self.yards[by]
        for _ in range(3):
            await observer.ownership.membership.renew()
            expired = await observer.ownership.membership.find_expired()
            observer.clock.now += observer.settings.expiry_seconds * 0.6
        expired = [item for item in expired if item[0] == host]
        await observer.ownership.membership.renew()
        await observer.ownership.take_over(expired)
        return expired

    def owners(self, partition):
        """Return the hosts that would accept commits for a partition now."""
        owners = []
        for yard in [*self.yards.values(), *self.replaced]:
            if yard.journal.sealed or yard.ownership.assignment is None:
                continue
            entry = yard.ownership.assignment.entries[partition]
            if (entry.host, entry.incarnation) == (yard.host, yard.incarnation):
                owners.append(yard)
        return owners

    async def stop(self):
        """Stop all journals."""
        for yard in [*self.yards.values(), *self.replaced]:
            await yard.journal.stop()


@asynccontextmanager
async def run_fleet(store, hosts="", *, fleet_class=Fleet):
    """Run a fleet with balanced hosts for the duration of a block."""
    fleet = fleet_class(store)
    logging.disable(logging.WARNING)
    try:
        async with asyncio.timeout(CASE_SECONDS):
            for host in hosts:
                await fleet.add(host)
                await fleet.rebalance()
            yield fleet
    finally:
        logging.disable(logging.NOTSET)
        await fleet.stop()
