"""Simulated hosts, network and disks in virtual time, to test copies of histories."""

import asyncio
import shutil
from collections import Counter
from contextlib import aclosing, contextmanager
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import msgpack

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerUnavailable, StoreError
from sapphireyard.fleet import generated_fleet
from sapphireyard.history import generated_history
from sapphireyard.history.client import HistoryClient
from sapphireyard.history.generated_history import Turn
from sapphireyard.history.log import CURSOR_BITS, LogFailed
from sapphireyard.history.service import HistoryService
from sapphireyard.streams.frames import MessageCodec
from standins.memory import MemoryStore

COPIES = ("a", "b", "c", "d", "e")
"""One more than the set has members if one disk may be lost."""
ENTRIES = ("x", "y")
LATENCY_SECONDS = 0.002
SYNC_SECONDS = 0.005
GOSSIP_SECONDS = 0.3
JOIN_SECONDS = 8.0
"""Time after which all hosts that can join have joined."""
KEEP_SECONDS = 1000.0
REPAIRED_SECONDS = 4.3
"""Time in which a copy that is back gets what it has missed: `catch-up-s`."""
RENEWED_SECONDS = 1.2
"""Time after which a client waits for no copy any more."""
PURGE_SECONDS = 12.0
"""Time within which copies have deleted what has expired."""
FILE_RECORDS = 4
"""Records in a file of a simulated log."""
BUDGET = 300
TURN_TOKENS = 100


class LoopClock(Clock):
    """A clock with the time of the virtual loop, and the time skipped by a world."""

    def __init__(self, world):
        self._world = world

    def monotonic(self):
        return asyncio.get_running_loop().time() + self._world.skipped

    def wall(self):
        return 1e9 + self.monotonic()


class Disk:
    """The durable records of one host, each with the number of its file."""

    def __init__(self, folder):
        self.folder = folder
        self.records = []
        self.next_file = 0

    def forget_set(self):
        """Lose the records that name the set, as with builds that deleted them."""
        self.records = [
            each for each in self.records if msgpack.unpackb(each[1])[0] != "CopySet"
        ]

    def wipe(self):
        """Lose all records."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.records = []


class SimulatedLog:
    """The interface of `RecordLog` over a `Disk`; syncs fail once it is killed."""

    def __init__(self, disk):
        self._disk = disk
        self._records = []
        self._file = 0
        self._synced_end = 0
        self.first = 0
        self.killed = False

    @property
    def end(self):
        return self.first + len(self._records)

    @property
    def synced_end(self):
        return min(self.end, self._synced_end)

    @property
    def files(self):
        return len({file for file, _ in self._records})

    def open(self):
        self._records = list(self._disk.records)
        self._synced_end = self.end
        self._start_file()
        yield from enumerate(payload for _, payload in self._records)

    def append(self, payload):
        if sum(file == self._file for file, _ in self._records) >= FILE_RECORDS:
            self._start_file()
        self._records.append((self._file, payload))
        return self.end - 1

    def read(self, position, start=0, size=None):
        index = position - self.first
        if not 0 <= index < len(self._records):
            return None
        payload = self._records[index][1]
        return payload[start:] if size is None else payload[start : start + size]

    def find_cursor(self, position):
        cursors = self._list_cursors()
        if not cursors:
            return 0
        index = position - self.first
        file, place = cursors[min(index, len(cursors) - 1)]
        return (file << CURSOR_BITS) + place + (index == len(cursors))

    def find_position(self, cursor):
        wanted = divmod(cursor, 1 << CURSOR_BITS)
        earlier = sum(each < wanted for each in self._list_cursors())
        return min(self.first + earlier, self.synced_end)

    def find_range(self, cursor):
        begin = self.find_position(cursor)
        rest = self._records[begin - self.first : self.synced_end - self.first]
        return begin, begin + sum(file == rest[0][0] for file, _ in rest)

    def _list_cursors(self):
        """Return the number of the file of each record, and its place there."""
        counts = Counter()
        cursors = []
        for file, _ in self._records:
            cursors.append((file, counts[file]))
            counts[file] += 1
        return cursors

    async def sync(self):
        wanted = self.end
        await asyncio.sleep(SYNC_SECONDS)
        if self.killed:
            raise LogFailed("killed")
        if wanted > self._synced_end:
            self._synced_end = wanted
            self._disk.records = self._records[: max(0, wanted - self.first)]

    def find_kept(self, position):
        later = self._records[max(0, position - self.first) :]
        kept = min([self._file, *(file for file, _ in later)])
        return self.first + sum(file < kept for file, _ in self._records)

    def drop_before(self, position):
        dropped = self.find_kept(position) - self.first
        files = {file for file, _ in self._records[:dropped]}
        self.first += dropped
        del self._records[:dropped]
        durable = self._disk.records
        self._disk.records = [each for each in durable if each[0] not in files]

    async def finish(self):
        await self.sync()

    def _start_file(self):
        self._file = self._disk.next_file
        self._disk.next_file += 1


class Network:
    """The running hosts, the disconnected pairs, and since when they are so."""

    def __init__(self):
        self.hosts = {}
        self.names = set()
        self.cuts = set()
        self.lossy = set()
        self._disconnected_since = {}

    def reaches(self, one, other):
        """Return whether two hosts can communicate."""
        if one not in self.hosts or other not in self.hosts:
            return False
        return frozenset((one, other)) not in self.cuts

    def record_disconnected(self, now):
        """Record which pairs cannot communicate."""
        self.names |= set(self.hosts)
        for one in self.names:
            for other in self.names - {one}:
                if self.reaches(one, other):
                    self._disconnected_since.pop((one, other), None)
                else:
                    self._disconnected_since.setdefault((one, other), now)

    def silent_for(self, one, other, now):
        """Return the seconds for which `one` has been cut off from `other`."""
        since = self._disconnected_since.get((one, other))
        return 0.0 if since is None else now - since


class SimulatedPeers:
    """The interface of `Peers` over a `Network`."""

    def __init__(self, host, network):
        self._host = host
        self._network = network
        self.codec = MessageCodec()
        self.codec.register_module(generated_history)
        self.codec.register_module(generated_fleet)
        self.handlers = {}
        self.streams = {}
        self.static_addresses = {}

    def register(self, message_class, handler):
        self.handlers[message_class] = handler

    def register_stream(self, message_class, handler):
        self.streams[message_class] = handler

    async def ask(self, host, message, *, timeout):
        receiver = await self._connect(host, timeout)
        message = self._copy(message)
        handler = receiver.handlers.get(type(message))
        if handler is not None:
            answer = await handler(message, None)
        else:
            async with aclosing(
                receiver.streams[type(message)](message, None)
            ) as answers:
                answer = await anext(answers)
        await self._deliver_answer(host, receiver, timeout)
        return self._copy(answer)

    async def stream(self, host, message, *, timeout):
        receiver = await self._connect(host, timeout)
        message = self._copy(message)
        async for answer in receiver.streams[type(message)](message, None):
            await self._deliver_answer(host, receiver, timeout)
            yield self._copy(answer)

    async def _connect(self, host, timeout):
        await asyncio.sleep(LATENCY_SECONDS)
        if not self._network.reaches(self._host, host):
            await asyncio.sleep(timeout)
            raise PeerUnavailable(f"{host} does not answer")
        return self._network.hosts[host].peers

    async def _deliver_answer(self, host, receiver, timeout):
        """Fail if the answer is lost by a cut, a restart or a lossy host."""
        await asyncio.sleep(LATENCY_SECONDS)
        same_run = (
            self._network.reaches(self._host, host)
            and self._network.hosts[host].peers is receiver
        )
        if not same_run or host in self._network.lossy:
            await asyncio.sleep(timeout)
            raise PeerUnavailable(f"the answer of {host} is lost")

    def _copy(self, message):
        return self.codec.load(*self.codec.dump(message))


class SimulatedHost:
    """Stands in for the `Runtime` of one host."""

    def __init__(self, name, world):
        self.host = name
        self.incarnation = 1
        self.clock = LoopClock(world)
        self.store = world.store
        self.settings = SimpleNamespace(
            data_folder=str(world.disks[name].folder) if name in world.disks else "",
            bootstrap=True,
            tolerated_losses=world.tolerated,
            failure_domain=name,
        )
        self.peers = SimulatedPeers(name, world.network)
        self.gossip = SimpleNamespace(
            membership=SimpleNamespace(
                active=True,
                silent_for=lambda other, now: world.network.silent_for(
                    name, other, now
                ),
                find=lambda other: None,
            )
        )


class World:
    """Copies, entry hosts, and the acknowledged turns and reservations.

    Parameters
    ----------
    folder : str
        Folder of the disks.
    copies : sequence of str, optional
        Hosts that keep copies.
    tolerated : int, optional
        Disks that may be lost at once.
    """

    def __init__(self, folder, *, copies=COPIES, tolerated=1):
        self.tolerated = tolerated
        self.store = MemoryStore()
        self.network = Network()
        self.network.names = {*copies, *ENTRIES}
        self.disks = {name: Disk(Path(folder) / name) for name in copies}
        self.services = {}
        self.logs = {}
        self.clients = {}
        self.texts = {}
        self.granted = {}
        self.settled = {}
        self.occasions = Counter()
        self.retired = set()
        self.skipped = 0.0
        self._numbers = 0

    async def start(self):
        """Start all hosts and wait until the set is complete."""
        for name in ENTRIES:
            self.start_entry(name)
        self._gossip = asyncio.ensure_future(self._gossip_forever())
        for name in self.disks:  # those beyond the wanted size stay spare
            await self.run(name)
            await asyncio.sleep(1.0)
        await self.wait_for_joins()

    def start_entry(self, name):
        """Start an entry host, or restart it without anything it knew."""
        host = SimulatedHost(name, self)
        self.network.hosts[name] = host
        self.clients[name] = HistoryClient(host)

    async def stop(self):
        """Stop all hosts."""
        await self.kill_all()
        self._gossip.cancel()
        await asyncio.wait([self._gossip])

    async def _gossip_forever(self):
        while True:
            now = asyncio.get_running_loop().time() + self.skipped
            self.network.record_disconnected(now)
            parties = {**self.services, **self.clients}
            for one, sender in parties.items():
                for other, receiver in parties.items():
                    if one != other and self.network.reaches(one, other):
                        receiver.update_copies(sender.copies)
            await asyncio.sleep(GOSSIP_SECONDS)

    async def run(self, name):
        """Start a copy on its disk."""
        if name in self.services or name in self.retired:
            return
        host = SimulatedHost(name, self)
        log = SimulatedLog(self.disks[name])
        with mock.patch("sapphireyard.history.service.RecordLog", lambda folder: log):
            service = HistoryService(host)
        self.logs[name] = log
        self.network.hosts[name] = host
        self.services[name] = service
        await service.start()

    async def kill(self, name):
        """Kill a copy; unsynced records are lost."""
        service = self.services.pop(name, None)
        if service is None:
            return
        self.logs[name].killed = True
        del self.network.hosts[name]
        await service.stop()

    async def wait_for_joins(self):
        await asyncio.sleep(JOIN_SECONDS)

    @property
    def healthy(self):
        """bool: Whether there is a set, each member serves and no message is lost."""
        running = [*self.services.values(), *self.clients.values()]
        members = max((each.copies for each in running), key=_read_version).members
        return (
            bool(members)
            and not self.network.cuts
            and not self.network.lossy
            and all(n in self.services and self.services[n].serving for n in members)
        )

    async def commit(self, entry, branch):
        """Commit a turn that continues an acknowledged one, or a new chain."""
        known = sorted(self.texts)
        await self._commit(
            entry, known[branch % len(known)] if known and branch % 3 else ""
        )

    async def _commit(self, entry, previous):
        """Commit a turn; return its name, or None if it is not acknowledged."""
        name = f"t{self._next_number()}"
        before = self.texts.get(previous, b"")
        text = f"<{name}>".encode()
        turn = Turn(name, previous, "c", "c/p", 0, text, b"", KEEP_SECONDS)
        try:
            await self.clients[entry].commit(turn)
        except CallError:
            return None
        self.texts[name] = before + text
        return name

    def _next_number(self):
        self._numbers += 1
        return self._numbers

    async def commit_at(self, places, branch):
        """Commit a turn while only some copies are reachable; ask each copy for it."""
        with self.reaching_only(places):
            await self.commit("x", branch)
            await asyncio.sleep(1.2)
        newest = f"t{self._numbers}"
        for name in COPIES if newest in self.texts else ():
            with self.reaching_only({name}):
                await self._check("x", newest, must_answer=False)

    async def commit_scattered(self, missing):
        """Commit the turns of one chain, each of which another copy misses."""
        healthy = self.healthy
        previous = ""
        for name in missing:
            with self.reaching_only(set(COPIES) - {name}):
                previous = await self._commit("x", previous) or previous
        if not previous or not (healthy and self.healthy):
            return
        states = [each._state for each in self.services.values() if each.serving]
        if not any(state.find_chain(previous) for state in states):
            self.occasions["scattered chain"] += 1
        await self._check("y", previous, must_answer=True)

    async def commit_late(self, missing):
        """Commit a turn that ran for longer than the turn before it is kept.

        Parameters
        ----------
        missing : str
            Copy that gets nothing from the entry hosts meanwhile.
        """
        previous = await self._commit("x", "")
        if not previous or not self.healthy:
            return
        text = self.texts[previous]
        with self.reaching_only(set(COPIES) - {missing}):
            for _ in range(3):
                self.clients["x"].renew("c/p", previous, keep_seconds=KEEP_SECONDS)
                await asyncio.sleep(RENEWED_SECONDS)
                self.skipped += KEEP_SECONDS / 2
                await asyncio.sleep(PURGE_SECONDS)
            self._forget_expected()
            self.texts[previous] = text
            last = await self._commit("x", previous)
        states = [each._state for each in self.services.values() if each.serving]
        if last and not all(state.find_turn(previous) for state in states):
            self.occasions["turn expired at a copy while it was continued"] += 1
        if self.healthy:
            self.occasions["turn kept by renewals"] += 1
            await self._check("y", last, must_answer=True)

    async def settle_after_change(self, name):
        """Settle a reservation after a member has left the set."""
        program = f"c/s{self._next_number()}"
        client = self.clients["x"]
        options = {"keep_seconds": KEEP_SECONDS}
        try:
            await (await client.reserve(program, "t", TURN_TOKENS, BUDGET, **options))
        except CallError:
            return
        version = client.copies.version
        await self.retire(name)
        client.settle(program, "t", 1, **options)
        await asyncio.sleep(RENEWED_SECONDS)
        if not self.healthy:
            return
        self.settled[program] = 1
        if client.copies.version > version:
            self.occasions["set changed before a settlement"] += 1

    async def read_at(self, places, branch):
        """Read a turn while only some copies are reachable."""
        with self.reaching_only(places):
            await self.read("x", branch)

    @contextmanager
    def reaching_only(self, places):
        """Cut the entry hosts off from all copies but some."""
        cuts = {
            frozenset((entry, name))
            for entry in ENTRIES
            for name in COPIES
            if name not in places
        }
        added = cuts - self.network.cuts
        self.network.cuts |= added
        try:
            yield
        finally:
            self.network.cuts -= added

    async def read(self, entry, branch):
        """Read an acknowledged turn; it may be unavailable, but not unknown."""
        if self.texts:
            known = sorted(self.texts)
            await self._check(entry, known[branch % len(known)], must_answer=False)

    async def _check(self, entry, name, *, must_answer):
        client = self.clients[entry]
        client._cache.clear()
        try:
            chain = await client.read_chain(name)
        except CallError as error:
            if must_answer or error.code == "turn_unknown":
                raise AssertionError(f"{name}: {error}") from error
            return
        if chain.text != self.texts[name]:
            raise AssertionError(f"{name}: {chain.text} for {self.texts[name]}")

    async def spend(self, branch):
        """Reserve tokens for two turns of a program at once, on both entry hosts."""
        program = f"c/q{branch % 2}"
        number = self._next_number()
        names = [f"r{number}{entry}" for entry in ENTRIES]
        await asyncio.gather(
            *(self._spend(e, program, n) for e, n in zip(ENTRIES, names))
        )
        total = sum(self.granted.get(program, {}).values())
        if total > BUDGET:
            raise AssertionError(f"{program} was granted {total} of {BUDGET}")

    async def _spend(self, entry, program, turn):
        client = self.clients[entry]
        options = {"keep_seconds": KEEP_SECONDS}
        try:
            synced = await client.reserve(program, turn, TURN_TOKENS, BUDGET, **options)
            await synced
        except CallError:
            client.settle(program, turn, 0, **options)
            return
        self.granted.setdefault(program, {})[turn] = TURN_TOKENS

    async def age(self):
        """Let all records expire, and wait until copies have deleted their files."""
        self.skipped += KEEP_SECONDS + 1.0
        self._forget_expected()
        await asyncio.sleep(PURGE_SECONDS)

    def _forget_expected(self):
        """Expect nothing any more of what has expired."""
        self.texts.clear()
        self.granted.clear()
        self.settled.clear()

    async def heal(self):
        """End all faults; every acknowledged turn must be readable.

        No more disks were lost than allowed, so that no loss may have been declared.
        """
        self.network.cuts.clear()
        self.network.lossy.clear()
        for name in list(self.disks):
            await self.run(name)
        await self.wait_for_joins()
        lost = {name for name, c in self.clients.items() if c.copies.lost_before}
        if lost:
            raise AssertionError(f"histories count as lost at {sorted(lost)}")
        await self.read_all()
        await asyncio.sleep(REPAIRED_SECONDS)
        self.check_repaired()

    async def read_all(self):
        """Read all acknowledged turns, each of which must be readable."""
        for entry in ENTRIES:
            for name in self.texts:
                await self._check(entry, name, must_answer=True)

    def check_repaired(self):
        """Check that each member has the chains of all acknowledged turns."""
        for host, service in self.services.items():
            lacking = [t for t in self.texts if not service._state.find_chain(t)]
            if service.serving and lacking:
                raise AssertionError(f"{host} lacks the chains of {lacking}")
            for program, tokens in self.settled.items() if service.serving else ():
                found = [each.tokens for each in service._state.spendings(program)]
                if found != [tokens]:
                    raise AssertionError(f"{host} has {found} of {program}")

    async def wipe(self, name):
        """Lose one disk; another one only once the lost one has been replaced."""
        if not self.healthy or name in self.retired:
            return
        await self.kill(name)
        self.disks[name].wipe()

    async def wipe_and_power_off(self, name):
        """Lose one disk while all other hosts, entry hosts too, lose power."""
        if not self.healthy or name in self.retired:
            return
        await self.kill_all()
        self.disks[name].wipe()
        for entry in ENTRIES:
            self.start_entry(entry)

    async def replace(self, name):
        """Lose one disk and restart without it, with time to join again."""
        await self.wipe(name)
        await self.run(name)
        await self.wait_for_joins()

    async def replace_all(self):
        """Replace one disk after the other."""
        for name in COPIES:
            await self.replace(name)

    async def retire(self, name):
        """Retire a copy for good, if enough others are left."""
        if not self.healthy or len(self.retired) > 1 or name not in self.services:
            return
        service = self.services[name]
        if not service.serving:
            return
        try:
            await service.retire()
        except (CallError, StoreError):
            return
        self.retired.add(name)
        await self.kill(name)
        self.disks[name].wipe()

    def cut(self, name, number):
        """Disconnect a copy from another host."""
        others = [other for other in (*COPIES, *ENTRIES) if other != name]
        self.network.cuts.add(frozenset((name, others[number % len(others)])))

    async def kill_all(self):
        """Kill all copies, as a power failure does."""
        for name in list(self.services):
            await self.kill(name)


def _read_version(copies):
    return copies.version
