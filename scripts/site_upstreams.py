"""Upstreams of the platform's deployment that come, leave, fail and come back."""

import asyncio
from dataclasses import dataclass, field
from time import monotonic, time_ns

from standins.site_upstream import (
    COMPLETE,
    NO_CAPACITY,
    RESET,
    UNFRAMED,
    SiteUpstream,
    reset,
)

SERVICES = {"engine": 4, "plain": 4}
"""Upstreams of each service at the start of a run."""
EVENTS = 5
DRAIN_SECONDS = 2.0
"""Time for which upstreams serve at least after the store has accepted their leave."""
LAPSE_SECONDS = 3.6
"""Silence after which the entry of an upstream is removed: three check-ins of 1.2 s."""
REUSE_SECONDS = 2.0
"""Time after which the address of an upstream that is gone may be used again."""
LEAVING_HEADER = "Server-Leaving: 1"
IDLE_SECONDS = (1.0, 8.0)
"""Shortest and longest time after which upstreams close an idle connection."""


@dataclass
class SoakUpstream(SiteUpstream):
    """An upstream with the moments at which it left, as the rules count them.

    Attributes
    ----------
    left_at : float or None
        When the store had accepted that it is leaving or gone.
    said_at : float or None
        From when its answers say that it is leaving.
    ended_at : float or None
        When it ended.
    """

    service: str = ""
    born: int = field(default_factory=lambda: time_ns() // 1_000_000)
    idle_seconds: float = 4.0
    left_at: float = None
    said_at: float = None
    ended_at: float = None
    _writers: set = field(default_factory=set)

    def say_leaving(self):
        """Say in all answers from now on that it is leaving."""
        self.headers = [LEAVING_HEADER]
        self.said_at = self.said_at or monotonic()

    def end(self, *, crashed=False):
        """Close everything: in order, or by a reset after a crash."""
        self.ended_at = monotonic()
        self._server.close()
        for writer in list(self._writers):
            if not crashed:
                writer.close()
            elif not writer.is_closing():
                reset(writer)

    def is_sound_for(self, request):
        """Return whether it broke off neither a request nor its connection."""
        if request.answer not in (COMPLETE, UNFRAMED):
            return False
        if self.ended_at is None:
            return True
        return request.finished_at is not None and request.finished_at < self.ended_at

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _read(self, reader):
        try:
            async with asyncio.timeout(self.idle_seconds):
                return await super()._read(reader)
        except TimeoutError:
            return None


class Fleet:
    """The upstreams of a run, those that are gone included.

    Parameters
    ----------
    store : SiteStore
        The platform's store.
    rng : random.Random
        Chooses upstreams and times.
    """

    def __init__(self, store, rng):
        self._store = store
        self._random = rng
        self._busy = set()
        self.all = []

    async def start(self):
        """Start and register the first upstreams."""
        for service, count in SERVICES.items():
            for _ in range(count):
                await self._add(service)

    def stop(self):
        """End all upstreams."""
        for upstream in self.all:
            if upstream.ended_at is None:
                upstream.end()

    async def drain(self):
        """An upstream reports that it is leaving, serves for a while and exits."""
        await self._leave(reports=True, says=self._random.random() < 0.5)

    async def remove(self):
        """An upstream is removed without a report, serves for a while and exits."""
        await self._leave()

    async def announce(self):
        """An upstream says in its answers that it is leaving; later it is removed."""
        await self._leave(says=True, seconds=self._random.uniform(0.5, 6.0))

    async def _leave(self, *, reports=False, says=False, seconds=0.0):
        upstream = self._choose()
        if upstream is None:
            return
        if says:
            upstream.say_leaving()
        await asyncio.sleep(seconds)
        if reports:
            self._put(upstream, state="draining")
        else:
            self._store.remove("servers", upstream.name)
        upstream.left_at = monotonic()
        await asyncio.sleep(DRAIN_SECONDS + self._random.uniform(0.3, 6.0))
        if reports:
            self._store.remove("servers", upstream.name)
        upstream.end()
        await self._replace(upstream)

    async def crash(self):
        """An upstream crashes; its entry lapses, or it is back before."""
        upstream = self._choose()
        if upstream is None:
            return
        upstream.end(crashed=True)
        if self._random.random() < 0.5:
            await asyncio.sleep(LAPSE_SECONDS)
            self._store.remove("servers", upstream.name)
            await self._replace(upstream)
            return
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        await self._add(upstream.service, name=upstream.name, address=upstream.address)

    async def disturb(self):
        """An upstream refuses a request, breaks one off, or ends a body by a close."""
        upstream = self._choose()
        if upstream is None:
            return
        kinds = [NO_CAPACITY, RESET, UNFRAMED]
        upstream.answers = [*self._random.choices(kinds, k=3), COMPLETE]
        self._busy.discard(upstream.name)

    def _choose(self):
        """Return an upstream that nothing else happens to; None if there is none."""
        free = [u for u in self.all if u.ended_at is None and u.name not in self._busy]
        if not free:
            return None
        upstream = self._random.choice(free)
        self._busy.add(upstream.name)
        return upstream

    async def _replace(self, upstream):
        """Start another upstream, perhaps at the same address for another service."""
        await asyncio.sleep(REUSE_SECONDS)
        service = upstream.service
        address = ""
        if self._random.random() < 0.5:
            address = upstream.address
            service = self._random.choice(list(SERVICES))
        await self._add(service, address=address)
        alive = {each.service for each in self.all if each.ended_at is None}
        for missing in SERVICES.keys() - alive:
            await self._add(missing)

    async def _add(self, service, *, name="", address=""):
        upstream = SoakUpstream(
            name or f"i-{len(self.all) + 1:04x}",
            service=service,
            delay_seconds=self._random.uniform(0.01, 0.2),
            gap_seconds=self._random.uniform(0.01, 0.15),
            idle_seconds=self._random.uniform(*IDLE_SECONDS),
        )
        if service == "engine":
            number = len(self.all)
            upstream.events = tuple(f"{number}.{n}" for n in range(EVENTS))
        ip, _, port = address.partition(":")
        ip = ip or f"127.0.3.{len(self.all) + 1}"
        await upstream.start(ip=ip, port=int(port or 0))
        self.all.append(upstream)
        self._busy.discard(upstream.name)
        self._put(upstream)

    def _put(self, upstream, *, state="ready"):
        entry = upstream.describe(upstream.service, state=state, born=upstream.born)
        self._store.put("servers", upstream.name, entry)
