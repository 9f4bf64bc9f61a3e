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
from sapphireyard.ownership.assignment import (
    ASSIGNMENT_NAME,
    Assignment,
    Member,
    PartitionEntry,
)
from sapphireyard.ownership.assignment_codec import encode_assignment
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.programs.programs import Programs
from sapphireyard.runtime import Runtime
from sapphireyard.streams.frames import MessageCodec
from sapphireyard.streams.peers import PeerContext

PARTITIONS = 8

CASE_SECONDS = 20
"""Timeout of a test."""

ANSWER_SECONDS = 0.05
RETRY_SECONDS = 0.005


async def write_members(store, domains):
    """Write an assignment with one member of each failure domain."""
    members = {
        f"h-{domain}": Member(f"h-{domain}", 1, "127.0.0.1:1", "127.0.0.1:2", domain)
        for domain in domains
    }
    entry = PartitionEntry(f"h-{domains[0]}", 1, 1)
    value = encode_assignment(Assignment(1, members, (entry,)))
    await store.create(ASSIGNMENT_NAME, value)


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

    def __init__(self, runtime, network):
        self.runtime = runtime
        self.network = network
        self.codec = MessageCodec()
        self.handlers = {}
        self.address = f"{runtime.host}:1"

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    def on_hello(self, callback):
        pass

    async def ask(self, host, message, *, timeout):
        assignment = self.runtime.ownership.assignment
        if assignment is None or host not in assignment.members:
            raise PeerUnavailable(f"{host} is not a member", sent=False)
        receiver = self.network.find(self.runtime.host, host)
        context = PeerContext(self.runtime.host, self.runtime.incarnation)
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

    def list_programs(self, partition):
        return self.snapshot(partition)

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
        self.runtimes = {}
        self.replaced = []

    async def add(self, host, *, store=None, domain=None):
        """Start a host, or a new process of it, and join it to the fleet."""
        runtime = await self.add_unjoined(host, store=store, domain=domain)
        await runtime.ownership.join()
        await runtime.ownership.recover()
        return runtime

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
        runtime = Runtime(settings, store or self.store, clock=VirtualClock())
        runtime.programs = self.programs_class()
        runtime.peers = FakePeers(runtime, self.network)
        runtime.journal = self.journal_class(
            runtime, answer_seconds=ANSWER_SECONDS, retry_seconds=RETRY_SECONDS
        )
        runtime.ownership = self.ownership_class(runtime, retry_seconds=RETRY_SECONDS)
        runtime.ownership.handlers.register()
        await runtime.journal.start()
        if host in self.runtimes:
            self.replaced.append(self.runtimes[host])
        self.runtimes[host] = runtime
        self.network.peers[host] = runtime.peers
        self.network.cut.discard(host)
        return runtime

    async def kill(self, host):
        """Stop a host's process without a clean shutdown."""
        runtime = self.runtimes.pop(host)
        del self.network.peers[host]
        await runtime.journal.stop()
        return runtime

    def pause(self, host):
        """Cut a host off from its peers; its journal can still commit."""
        self.network.cut.add(host)
        return self.runtimes[host]

    async def sync(self):
        """Let every reachable host read the newest assignment and recover."""
        for runtime in list(self.runtimes.values()):
            if runtime.host not in self.network.cut:
                await self._refresh(runtime)

    async def _refresh(self, runtime):
        runtime.ownership.adopt(await runtime.ownership.assignments.read())
        await runtime.ownership.recover()

    async def rebalance(self):
        """Balance until no host moves a partition."""
        await self.sync()
        while sum(
            [await runtime.ownership.balance() for runtime in self.runtimes.values()]
        ):
            await self.sync()

    async def expire(self, host, *, by):
        """Let a host observe that another has expired, and take over from it."""
        observer = self.runtimes[by]
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
        for runtime in [*self.runtimes.values(), *self.replaced]:
            if runtime.journal.sealed or runtime.ownership.assignment is None:
                continue
            entry = runtime.ownership.assignment.entries[partition]
            if (entry.host, entry.incarnation) == (runtime.host, runtime.incarnation):
                owners.append(runtime)
        return owners

    async def stop(self):
        """Stop all journals."""
        for runtime in [*self.runtimes.values(), *self.replaced]:
            await runtime.journal.stop()


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
