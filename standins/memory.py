"""An in-memory object store with the failure modes of the platform's store."""

import asyncio
from collections import Counter, deque
from contextlib import contextmanager
from dataclasses import dataclass

from sapphireyard.exceptions import StoreConflict, StoreUnavailable, WatchExpired
from sapphireyard.storage.stores import ObjectChange, Store, StoredObject, WatchResult

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value."""

MAX_WATCH_CHANGES = 100_000
"""Number of changes kept for watches; older revisions have expired."""

DROP = "drop"
"""The call has no effect and gets no response."""

LOSE = "lose"
"""The call takes effect, but its response is lost."""

CONFLICT = "conflict"
"""The call fails with a conflict and has no effect."""

HOLD_BEFORE = "hold_before"
"""The call waits for the fault's gate before it takes effect."""

HOLD_AFTER = "hold_after"
"""The call takes effect, then waits for the fault's gate before it returns."""


@dataclass
class Fault:
    """A fault injected into the next matching calls.

    Parameters
    ----------
    kind : str
        One of the fault kinds defined in this module.
    operation : str, optional
        Name of a `Store` method; empty matches every method.
    prefix : str, optional
        Prefix of the object name.
    count : int, optional
        Number of calls affected; negative for all until the fault is removed.

    Attributes
    ----------
    gate : asyncio.Event
        Releases calls held by the fault.
    hits : int
        Number of calls affected so far.
    """

    kind: str
    operation: str = ""
    prefix: str = ""
    count: int = 1

    def __post_init__(self):
        self.gate = asyncio.Event()
        self.hits = 0

    def matches(self, operation, name):
        """Return whether this fault applies to the call."""
        if self.count == 0:
            return False
        if self.operation and self.operation != operation:
            return False
        return name.startswith(self.prefix)

    def record_hit(self):
        """Count one affected call."""
        self.hits += 1
        self.count -= 1 if self.count > 0 else 0


class _Content:
    """Objects and changes shared by several `MemoryStore` instances."""

    def __init__(self):
        self.objects = {}
        self.changes = deque(maxlen=MAX_WATCH_CHANGES)
        self.revision = 0
        self.changed = asyncio.Condition()


class MemoryStore(Store):
    """An in-memory `Store` with fault injection.

    Parameters
    ----------
    shared : MemoryStore, optional
        Store to share objects with; faults are not shared.

    Attributes
    ----------
    unavailable : bool
        If true, calls have no effect and fail with `StoreUnavailable`.
    delay_seconds : float
        Duration of each call.
    faults : list of Fault
        Active faults; the first that matches a call applies.
    calls : Counter
        Number of calls by operation, including failed ones.
    """

    def __init__(self, *, shared=None):
        self._content = _Content() if shared is None else shared._content
        self.unavailable = False
        self.delay_seconds = 0.0
        self.faults = []
        self.calls = Counter()

    @property
    def revision(self):
        """int: Number of changes so far."""
        return self._content.revision

    @property
    def objects(self):
        """list of StoredObject: All objects currently stored."""
        return list(self._content.objects.values())

    def add_fault(self, kind, **options):
        """Add a `Fault` and return it."""
        fault = Fault(kind, **options)
        self.faults.append(fault)
        return fault

    @contextmanager
    def outage(self):
        """Make the store unavailable within a ``with`` block."""
        self.unavailable = True
        try:
            yield
        finally:
            self.unavailable = False

    async def get(self, name):
        return await self._run("get", name, lambda: self._content.objects.get(name))

    async def create(self, name, value):
        def effect():
            if name in self._content.objects:
                raise StoreConflict(f"{name} exists")
            return self._put(name, value, 1)

        return await self._run("create", name, effect)

    async def update(self, name, value, *, expected_version):
        def effect():
            self._check_version(name, expected_version)
            return self._put(name, value, expected_version + 1)

        return await self._run("update", name, effect)

    async def delete(self, name, *, expected_version):
        def effect():
            self._check_version(name, expected_version)
            del self._content.objects[name]
            self._record_change(name, 0)

        return await self._run("delete", name, effect)

    async def list(self, prefix, *, after="", limit=1000):
        def effect():
            names = sorted(
                name
                for name in self._content.objects
                if name.startswith(prefix) and name > after
            )
            return [
                (name, self._content.objects[name].version) for name in names[:limit]
            ]

        return await self._run("list", prefix, effect)

    async def watch(self, prefix, *, after_revision, timeout_seconds):
        await self._run("watch", prefix, lambda: None)
        if after_revision is None:
            return WatchResult((), self._content.revision)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._wait_changes(prefix, after_revision)
        except TimeoutError:
            return WatchResult((), max(after_revision, self._content.revision))

    async def _wait_changes(self, prefix, after_revision):
        async with self._content.changed:
            while True:
                changes = self._find_changes(prefix, after_revision)
                if changes:
                    return WatchResult(changes, changes[-1].revision)
                await self._content.changed.wait()

    def _find_changes(self, prefix, after_revision):
        oldest = self._content.revision - len(self._content.changes)
        if after_revision < oldest or after_revision > self._content.revision:
            raise WatchExpired(f"revision {after_revision} is no longer kept")
        return tuple(
            change
            for change in self._content.changes
            if change.revision > after_revision and change.name.startswith(prefix)
        )

    async def _run(self, operation, name, effect):
        self.calls[operation] += 1
        fault = next((f for f in self.faults if f.matches(operation, name)), None)
        if fault is not None:
            fault.record_hit()
        kind = fault.kind if fault is not None else ""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if kind == HOLD_BEFORE:
            await fault.gate.wait()
        if self.unavailable or kind == DROP:
            raise StoreUnavailable(f"no answer to {operation} {name}")
        if kind == CONFLICT:
            raise StoreConflict(f"{name} was changed")
        result = effect()
        await self._notify_watches()
        if kind == HOLD_AFTER:
            await fault.gate.wait()
        if kind == LOSE:
            raise StoreUnavailable(f"answer to {operation} {name} was lost")
        return result

    async def _notify_watches(self):
        async with self._content.changed:
            self._content.changed.notify_all()

    def _check_version(self, name, expected_version):
        stored = self._content.objects.get(name)
        version = stored.version if stored is not None else 0
        if stored is None or version != expected_version:
            raise StoreConflict(f"{name} has version {version}")

    def _put(self, name, value, version):
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{name}: {len(value)} bytes exceed {MAX_VALUE_BYTES}")
        self._content.objects[name] = StoredObject(name, bytes(value), version)
        self._record_change(name, version)
        return version

    def _record_change(self, name, version):
        self._content.revision += 1
        self._content.changes.append(
            ObjectChange(name, version, self._content.revision)
        )
