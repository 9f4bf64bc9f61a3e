"""Hosts, network and disks in virtual time, around the copies of histories."""

import asyncio
import shutil
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerUnavailable, StoreError
from sapphireyard.fleet import generated_fleet
from sapphireyard.history import generated_history
from sapphireyard.history.client import HistoryClient
from sapphireyard.history.generated_history import Turn
from sapphireyard.history.log import LogFailed
from sapphireyard.history.service import HistoryService
from sapphireyard.streams.frames import MessageCodec
from standins.memory import MemoryStore

COPIES = ("a", "b", "c", "d", "e")
"""One more than the set holds when one disk may be lost."""
ENTRIES = ("x", "y")
WAY_SECONDS = 0.002
SYNC_SECONDS = 0.005
GOSSIP_SECONDS = 0.3
QUIET_SECONDS = 8.0
"""Time after which all hosts that can join have joined."""
KEEP_SECONDS = 1000.0
BUDGET = 300
TURN_TOKENS = 100


class LoopClock(Clock):
    """The virtual loop's time."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 1e9 + self.monotonic()


class Disk:
    """What lies durably on one host."""

    def __init__(self, folder):
        self.folder = folder
        self.records = []

    def wipe(self):
        """Lose all of it."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.records = []


class SimulatedLog:
    """The interface of `RecordLog` over a `Disk`; a killed host syncs no more."""

    def __init__(self, disk):
        self._disk = disk
        self._records = []
        self.killed = False

    @property
    def end(self):
        return len(self._records)

    def open(self):
        self._records = list(self._disk.records)
        yield from enumerate(self._records)

    def append(self, payload):
        self._records.append(payload)
        return self.end - 1

    def read(self, position):
        return self._records[position]

    async def sync(self):
        wanted = self.end
        await asyncio.sleep(SYNC_SECONDS)
        if self.killed:
            raise LogFailed("killed")
        if wanted > len(self._disk.records):
            self._disk.records = self._records[:wanted]

    def drop_before(self, position):
        """Keep all; positions of the simulation never move."""

    def close(self):
        """Nothing is open."""


class Network:
    """Which hosts run, which pairs are cut, and since when."""

    def __init__(self):
        self.hosts = {}
        self.cuts = set()
        self.lossy = set()
        self._apart_since = {}

    def reaches(self, one, other):
        """Return whether two hosts can talk."""
        if one not in self.hosts or other not in self.hosts:
            return False
        return frozenset((one, other)) not in self.cuts

    def note(self, now):
        """Note which pairs are apart."""
        names = {*COPIES, *ENTRIES}
        for one in names:
            for other in names - {one}:
                if self.reaches(one, other):
                    self._apart_since.pop((one, other), None)
                else:
                    self._apart_since.setdefault((one, other), now)

    def silent_for(self, one, other, now):
        """Return for how long `one` has not heard `other`."""
        since = self._apart_since.get((one, other))
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
        receiver = await self._go(host, timeout)
        message = self._copy(message)
        answer = await receiver.handlers[type(message)](message, None)
        await self._return(host, receiver, timeout)
        return self._copy(answer)

    async def stream(self, host, message, *, timeout):
        receiver = await self._go(host, timeout)
        message = self._copy(message)
        async for answer in receiver.streams[type(message)](message, None):
            await self._return(host, receiver, timeout)
            yield self._copy(answer)

    async def _go(self, host, timeout):
        await asyncio.sleep(WAY_SECONDS)
        if not self._network.reaches(self._host, host):
            await asyncio.sleep(timeout)
            raise PeerUnavailable(f"{host} does not answer")
        return self._network.hosts[host].peers

    async def _return(self, host, receiver, timeout):
        """Fail if the answer is lost: a cut, another run, a lossy host."""
        await asyncio.sleep(WAY_SECONDS)
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
    """The central object of one host."""

    def __init__(self, name, world):
        self.host = name
        self.incarnation = 1
        self.clock = LoopClock()
        self.store = world.store
        self.settings = SimpleNamespace(
            data_folder=str(world.disks[name].folder) if name in world.disks else "",
            bootstrap=True,
            tolerated_losses=1,
            failure_domain=name,
        )
        self.peers = SimulatedPeers(name, world.network)
        self.gossip = SimpleNamespace(
            membership=SimpleNamespace(
                silent_for=lambda other, now: world.network.silent_for(
                    name, other, now
                ),
                find=lambda other: None,
            )
        )


class World:
    """Copies, entry hosts, and what was acknowledged."""

    def __init__(self, folder):
        self.store = MemoryStore()
        self.network = Network()
        self.disks = {name: Disk(Path(folder) / name) for name in COPIES}
        self.services = {}
        self.logs = {}
        self.clients = {}
        self.texts = {}
        self.given = {}
        self.retired = set()
        self._numbers = 0

    async def start(self):
        """Start all hosts and wait until the set is whole."""
        for name in ENTRIES:
            host = SimulatedHost(name, self)
            self.network.hosts[name] = host
            self.clients[name] = HistoryClient(host)
        self._gossip = asyncio.ensure_future(self._gossip_steadily())
        for name in COPIES:  # the first four become members
            await self.run(name)
            await asyncio.sleep(1.0)
        await self.wait_quiet()

    async def stop(self):
        """End everything."""
        await self.kill_all()
        self._gossip.cancel()
        await asyncio.wait([self._gossip])

    async def _gossip_steadily(self):
        while True:
            self.network.note(asyncio.get_running_loop().time())
            told = {**self.services, **self.clients}
            for one, sender in told.items():
                for other, receiver in told.items():
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
        """End a copy at once; what is not synced is lost."""
        service = self.services.pop(name, None)
        if service is None:
            return
        self.logs[name].killed = True
        del self.network.hosts[name]
        await service.stop()

    async def wait_quiet(self):
        await asyncio.sleep(QUIET_SECONDS)

    @property
    def whole(self):
        """bool: Whether each member runs and serves, and nothing is cut."""
        members = self.clients["x"].copies.members
        return (
            not self.network.cuts
            and not self.network.lossy
            and all(n in self.services and self.services[n].serving for n in members)
        )

    async def commit(self, entry, branch):
        """Keep a turn after one that is known to be kept."""
        self._numbers += 1
        name = f"t{self._numbers}"
        kept = sorted(self.texts)
        previous = kept[branch % len(kept)] if kept and branch % 3 else ""
        said = f"<{name}>".encode()
        turn = Turn(name, previous, "c", "c/p", 0, said, b"", KEEP_SECONDS)
        try:
            await self.clients[entry].commit(turn)
        except CallError:
            return
        self.texts[name] = self.texts.get(previous, b"") + said

    async def commit_at(self, places, branch):
        """Keep a turn while entry hosts reach some copies; ask each copy for it."""
        with self.apart_from_others(places):
            await self.commit("x", branch)
            await asyncio.sleep(1.2)
        newest = f"t{self._numbers}"
        for name in COPIES if newest in self.texts else ():
            with self.apart_from_others({name}):
                await self._check("x", newest, must_answer=False)

    async def read_at(self, places, branch):
        """Read a turn while only some copies can be reached."""
        with self.apart_from_others(places):
            await self.read("x", branch)

    @contextmanager
    def apart_from_others(self, places):
        """Cut the entry hosts from all copies but some."""
        apart = {
            frozenset((entry, name))
            for entry in ENTRIES
            for name in COPIES
            if name not in places
        }
        added = apart - self.network.cuts
        self.network.cuts |= added
        try:
            yield
        finally:
            self.network.cuts -= added

    async def read(self, entry, branch):
        """Read an acknowledged turn; it may be out of reach, but not denied."""
        if self.texts:
            kept = sorted(self.texts)
            await self._check(entry, kept[branch % len(kept)], must_answer=False)

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
        """Two turns of one program reserve tokens at once, on both entry hosts."""
        program = f"c/q{branch % 2}"
        self._numbers += 1
        names = [f"r{self._numbers}{entry}" for entry in ENTRIES]
        await asyncio.gather(
            *(self._spend(e, program, n) for e, n in zip(ENTRIES, names))
        )
        total = sum(self.given.get(program, {}).values())
        if total > BUDGET:
            raise AssertionError(f"{program} was given {total} of {BUDGET}")

    async def _spend(self, entry, program, turn):
        client = self.clients[entry]
        options = {"keep_seconds": KEEP_SECONDS}
        try:
            synced = await client.reserve(program, turn, TURN_TOKENS, BUDGET, **options)
            await synced
        except CallError:
            client.settle(program, turn, 0, **options)
            return
        self.given.setdefault(program, {})[turn] = TURN_TOKENS

    async def heal(self):
        """End all faults; everything acknowledged must be there."""
        self.network.cuts.clear()
        self.network.lossy.clear()
        for name in COPIES:
            await self.run(name)
        await self.wait_quiet()
        for entry in ENTRIES:
            for name in self.texts:
                await self._check(entry, name, must_answer=True)

    async def wipe(self, name):
        """Lose one disk; a second only once the first is made up for."""
        if not self.whole or name in self.retired:
            return
        await self.kill(name)
        self.disks[name].wipe()

    async def replace(self, name):
        """Lose one disk and come back empty, with time to join again."""
        await self.wipe(name)
        await self.run(name)
        await self.wait_quiet()

    async def replace_all(self):
        """Replace one disk after the other."""
        for name in COPIES:
            await self.replace(name)

    async def retire(self, name):
        """Empty a copy for good, if enough others are left."""
        if not self.whole or len(self.retired) > 1 or name not in self.services:
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
        """Cut a copy from another host."""
        others = [other for other in (*COPIES, *ENTRIES) if other != name]
        self.network.cuts.add(frozenset((name, others[number % len(others)])))

    async def kill_all(self):
        """All copies lose power at once."""
        for name in list(self.services):
            await self.kill(name)
