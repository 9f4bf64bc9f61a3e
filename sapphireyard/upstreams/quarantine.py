"""Service that prevents requests that crash upstreams from running again."""

import asyncio
import contextlib
import json
from collections import Counter, defaultdict
from dataclasses import asdict

from mode import Service
from opentelemetry import metrics

from sapphireyard.exceptions import (
    CallError,
    PeerError,
    StoreConflict,
    StoreUnavailable,
)
from sapphireyard.limits.homes import choose_home
from sapphireyard.streams.generated_messages import Done
from sapphireyard.upstreams import generated_quarantine
from sapphireyard.upstreams.generated_quarantine import (
    LoneRunGrant,
    LoneRunRequest,
    QuarantineEntries,
    QuarantineNotice,
    QuarantineObject,
    QuarantineRequest,
    SuspectNotice,
)
from sapphireyard.upstreams.suspicion import Quarantine

QUARANTINE_PREFIX = "quarantine/"
REFRESH_INTERVAL_SECONDS = 10.0
"""Time between two reads of the list in the store."""
LIST_LIMIT = 1000
PEER_TIMEOUT_SECONDS = 1.0
LONE_RUN_SECONDS = 120.0
"""Longest time for which one suspect may block the others."""
SUSPECT_RETRY_SECONDS = 5.0


class QuarantineService(Service):
    """Suspects and quarantined requests of all hosts.

    Each quarantined request has an object in the store; an operator releases a
    request by deleting its object. Hosts notify each other of suspects, which
    run one at a time in each pool.

    Parameters
    ----------
    runtime : Runtime
        Provides peers, store, ownership and clock.
    """

    def __init__(self, runtime):
        super().__init__()
        self.runtime = runtime
        self._quarantine = Quarantine()
        self._unsaved = {}
        self._saved = set()
        self._isolation_locks = defaultdict(asyncio.Lock)
        self._isolated_counts = Counter()
        self._counter = metrics.get_meter("sapphireyard.quarantine").create_counter(
            "sapphireyard.quarantine.verdicts",
            description="Requests suspected, cleared and quarantined.",
        )
        runtime.peers.codec.register_module(generated_quarantine)
        runtime.peers.register(SuspectNotice, self._handle_suspect)
        runtime.peers.register(QuarantineNotice, self._handle_quarantine)
        runtime.peers.register(QuarantineRequest, self._handle_entries_request)
        runtime.peers.register_stream(LoneRunRequest, self._handle_lone_run)

    def check(self, digest):
        """Raise `CallError` with code ``quarantined`` if a request must not run."""
        if self._quarantine.is_quarantined(digest, self._now()):
            raise CallError(
                "quarantined",
                f"upstreams crashed while they ran this request ({digest})",
            )

    def is_suspect(self, digest):
        """Return whether a request has to run inside `isolate`."""
        return self._quarantine.is_suspect(digest, self._now())

    def entries(self):
        """Return the seconds left for each quarantined digest."""
        return self._quarantine.quarantined(self._now())

    def suspects(self):
        """Return the digests of the suspects."""
        return self._quarantine.suspects(self._now())

    def note_start(self, digest, upstream):
        """Record that a request is about to be sent to an upstream."""
        isolated = self._isolated_counts[digest] > 0
        self._quarantine.note_start(digest, upstream, self._now(), isolated=isolated)

    def note_end(self, digest, upstream, *, crashed, completed=False):
        """Record the end of a run.

        Parameters
        ----------
        digest, upstream : str
            Which request ran on which upstream.
        crashed : bool
            Whether the upstream crashed while the request was in flight.
        completed : bool, optional
            Whether the complete answer arrived; only this clears a suspect.
        """
        verdicts = self._quarantine.note_end(
            digest, upstream, self._now(), crashed=crashed, completed=completed
        )
        for verdict in verdicts:
            self._publish(verdict)

    @contextlib.asynccontextmanager
    async def isolate(self, digest, *, pool="", timeout=LONE_RUN_SECONDS):
        """Hold the exclusive right to run a suspect in a pool.

        Only a crash inside this context leads to quarantine, so it has to be
        entered anew for each attempt.

        Parameters
        ----------
        digest : str
            The suspect.
        pool : str, optional
            The pool in which it is to run.
        timeout : float, optional
            Seconds to wait for other suspects.

        Raises
        ------
        CallError
            ``quarantined`` if the request was quarantined while it waited;
            ``overloaded`` if its turn did not come in time.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._acquire_turn(stack, digest, pool, timeout)
            self.check(digest)
            self._isolated_counts[digest] += 1
            try:
                yield
            finally:
                self._isolated_counts[digest] -= 1
                self._isolated_counts += Counter()

    async def release(self, digest):
        """Let a quarantined request run again, on all hosts.

        Raises
        ------
        StoreUnavailable
            The store did not answer; the request may still be quarantined.
        """
        self._unsaved.pop(digest, None)
        stored = await self.runtime.store.get(QUARANTINE_PREFIX + digest)
        if stored is not None:
            with contextlib.suppress(StoreConflict):
                await self.runtime.store.delete(
                    stored.name, expected_version=stored.version
                )
        self._saved.discard(digest)
        self._quarantine.release(digest)
        self._broadcast(QuarantineNotice(digest))

    async def refresh(self):
        """Save pending entries and synchronise with the list in the store."""
        now = self._now()
        self._quarantine.forget_expired(now)
        await self._save()
        saved = set(self._saved)
        listed = await self._list()
        for digest in saved - listed:
            self.log.info("request %s released from quarantine", digest)
            self._quarantine.release(digest)
        for digest in sorted(listed - set(self.entries())):
            await self._load(digest)
        self._saved = (self._saved - saved) | listed

    async def on_start(self):
        for host in self._list_other_hosts():
            if await self._copy_entries_from(host):
                return

    @Service.timer(REFRESH_INTERVAL_SECONDS)
    async def _refresh_periodically(self):
        try:
            await self.refresh()
        except StoreUnavailable as error:
            self.log.info("quarantine list not read: %s", error)

    def _publish(self, verdict):
        outcome = self._describe(verdict)
        self._counter.add(1, {"outcome": outcome})
        self.log.warning(
            "request %s on upstream %s: %s", verdict.digest, verdict.upstream, outcome
        )
        if verdict.suspected:
            self._broadcast(SuspectNotice(verdict.digest))
        if verdict.cleared:
            self._broadcast(SuspectNotice(verdict.digest, cleared=True))
        if verdict.quarantined:
            self._add_entry(verdict)

    @staticmethod
    def _describe(verdict):
        if verdict.quarantined:
            return "quarantined"
        if verdict.cleared:
            return "cleared"
        return "suspected" if verdict.suspected else "crashed again"

    def _add_entry(self, verdict):
        seconds = self.entries()[verdict.digest]
        wall = self.runtime.clock.wall()
        self._unsaved[verdict.digest] = QuarantineObject(
            verdict.digest, verdict.upstream, self.runtime.host, wall, wall + seconds
        )
        self._broadcast(QuarantineNotice(verdict.digest, seconds))
        self.add_future(self._try_save())

    async def _try_save(self):
        try:
            await self._save()
        except StoreUnavailable as error:
            self.log.warning("quarantine entry not saved yet: %s", error)

    async def _save(self):
        for digest, entry in list(self._unsaved.items()):
            await self._save_entry(QUARANTINE_PREFIX + digest, entry)
            if self._unsaved.pop(digest, None) is not None:
                self._saved.add(digest)

    async def _save_entry(self, name, entry):
        """Create an entry's object, or replace one that has expired."""
        value = json.dumps(asdict(entry)).encode()
        try:
            await self.runtime.store.create(name, value)
            return
        except StoreConflict:
            stored = await self.runtime.store.get(name)
        if stored is None or _parse(stored).until > self.runtime.clock.wall():
            return
        with contextlib.suppress(StoreConflict):
            await self.runtime.store.update(
                name, value, expected_version=stored.version
            )

    async def _list(self):
        digests = set()
        after = ""
        while True:
            page = await self.runtime.store.list(
                QUARANTINE_PREFIX, after=after, limit=LIST_LIMIT
            )
            digests.update(name[len(QUARANTINE_PREFIX) :] for name, _ in page)
            if len(page) < LIST_LIMIT:
                return digests
            after = page[-1][0]

    async def _load(self, digest):
        """Apply an entry of the store, or delete it if it has expired."""
        stored = await self.runtime.store.get(QUARANTINE_PREFIX + digest)
        if stored is None:
            return
        seconds = _parse(stored).until - self.runtime.clock.wall()
        if seconds > 0:
            self._quarantine.quarantine(digest, self._now(), seconds=seconds)
            return
        with contextlib.suppress(StoreConflict):
            await self.runtime.store.delete(
                stored.name, expected_version=stored.version
            )

    async def _copy_entries_from(self, host):
        try:
            answer = await self.runtime.peers.ask(
                host, QuarantineRequest(), timeout=PEER_TIMEOUT_SECONDS
            )
        except (PeerError, CallError):
            return False
        for digest in answer.suspects:
            self._quarantine.suspect(digest, self._now())
        for entry in answer.quarantined:
            self._quarantine.quarantine(
                entry.digest, self._now(), seconds=entry.seconds
            )
        return True

    async def _acquire_turn(self, stack, digest, pool, timeout):
        """Wait for the other suspects of a pool, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._acquire_turn_at_home(stack, digest, pool, timeout)
        except TimeoutError as error:
            raise CallError(
                "overloaded",
                f"no turn within {timeout:.1f} s: requests that may crash upstreams "
                "run one at a time",
                retry_after=SUSPECT_RETRY_SECONDS,
            ) from error

    async def _acquire_turn_at_home(self, stack, digest, pool, timeout):
        """Wait on the host that all hosts choose for the suspects of a pool.

        If that host cannot be reached the suspect only waits for those of this
        host.
        """
        home = (
            choose_home(f"suspects/{pool}", self._list_active_hosts())
            or self.runtime.host
        )
        grants = self.runtime.peers.stream(
            home, LoneRunRequest(digest, pool), timeout=timeout + LONE_RUN_SECONDS
        )
        grants = await stack.enter_async_context(contextlib.aclosing(grants))
        try:
            await anext(grants)
        except (PeerError, CallError, StopAsyncIteration) as error:
            self.log.warning(
                "suspect %s is isolated on this host only: %s", digest, error
            )
            await stack.enter_async_context(self._isolation_locks[pool])

    async def _handle_lone_run(self, message, context):
        """Let one suspect run until its host ends the stream or the time is up."""
        async with self._isolation_locks[message.pool]:
            yield LoneRunGrant()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LONE_RUN_SECONDS):
                    await asyncio.Event().wait()

    async def _handle_suspect(self, message, context):
        if message.cleared:
            self._quarantine.clear(message.digest)
        else:
            self._quarantine.suspect(message.digest, self._now())
        return Done()

    async def _handle_quarantine(self, message, context):
        if message.seconds > 0:
            self._quarantine.quarantine(
                message.digest, self._now(), seconds=message.seconds
            )
        else:
            self._quarantine.release(message.digest)
        return Done()

    async def _handle_entries_request(self, message, context):
        entries = [QuarantineNotice(d, left) for d, left in self.entries().items()]
        return QuarantineEntries(self.suspects(), entries)

    def _broadcast(self, message):
        for host in self._list_other_hosts():
            self.runtime.peers.tell(host, message)

    def _list_other_hosts(self):
        return [host for host in self._list_members() if host != self.runtime.host]

    def _list_members(self):
        assignment = self.runtime.ownership.assignment
        return list(assignment.members) if assignment else []

    def _list_active_hosts(self):
        assignment = self.runtime.ownership.assignment
        return [member.host for member in assignment.active] if assignment else []

    def _now(self):
        return self.runtime.clock.monotonic()


def _parse(stored):
    return QuarantineObject(**json.loads(stored.value))
