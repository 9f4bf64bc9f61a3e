"""Loading and eviction of the texts of programs' histories.

The texts of a program are by far the largest part of its state. They are kept
in journal segments, which never change, and each call records its position.
If a program's texts are spread over many segments, they are written to one
record before they are evicted, so that a later load reads few objects.
"""

import asyncio
import logging
from collections import OrderedDict

import mode

from sapphireyard.exceptions import (
    CallError,
    JournalSealed,
    RecordError,
    StoreUnavailable,
)
from sapphireyard.journal.archive_reader import ArchiveReader
from sapphireyard.journal.generated_records import (
    CallCompleted,
    CallSource,
    ProgramSnapshot,
)
from sapphireyard.journal.journal import JournalRange, read_range
from sapphireyard.journal.records import RecordAssembler
from sapphireyard.programs.programs import take_snapshot

logger = logging.getLogger(__name__)

EVICTION_INTERVAL_SECONDS = 1.0
IDLE_SECONDS = 60.0
"""Time without a call after which a program's texts are evicted."""

COMPACTION_MIN_SEGMENTS = 8
"""Number of segments from which a program's texts are written to one record."""

MAX_EVICTIONS_PER_TICK = 64
"""Most programs considered in one interval."""

MAX_CONCURRENT_LOADS = 16
"""Programs whose texts may be loaded at the same time."""

LOAD_RETRY_SECONDS = 2.0


class TextCache:
    """Selects the programs whose texts are evicted, least recently used first.

    Parameters
    ----------
    limit_bytes : int
        Text to keep in memory, counted like `Program.text_bytes`.
    idle_seconds : float, optional
        Idle time after which a program's texts are evicted in any case.
    """

    def __init__(self, limit_bytes, *, idle_seconds=IDLE_SECONDS):
        self._limit_bytes = limit_bytes
        self._idle_seconds = idle_seconds
        self._entries = OrderedDict()
        self._bytes = 0

    def __len__(self):
        return len(self._entries)

    @property
    def bytes(self):
        """int: Size of the texts in memory, counted like `Program.text_bytes`."""
        return self._bytes

    def touch(self, partition, key, size, now):
        """Record that a program was used and how much text it holds."""
        self.remove(partition, key)
        if not size:
            return
        self._entries[partition, key] = (size, now)
        self._bytes += size

    def remove(self, partition, key):
        """Remove a program that no longer holds text."""
        size, _ = self._entries.pop((partition, key), (0, 0.0))
        self._bytes -= size

    def find_evictable(self, now, *, max_count=MAX_EVICTIONS_PER_TICK):
        """Return (partition, key) of programs to evict, the longest idle first."""
        evictable = []
        remaining_bytes = self._bytes
        for entry, (size, touched_at) in self._entries.items():
            is_idle = now - touched_at >= self._idle_seconds
            if (
                not is_idle
                and remaining_bytes <= self._limit_bytes
                or len(evictable) >= max_count
            ):
                break
            evictable.append(entry)
            remaining_bytes -= size
        return evictable


class TextService(mode.Service):
    """Loads and evicts the texts of the programs owned by this host.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._load_slots = asyncio.Semaphore(MAX_CONCURRENT_LOADS)
        self._segments = ArchiveReader(runtime)
        self.cache = TextCache(runtime.settings.text_bytes)
        runtime.programs.on_change(self._touch)

    def _touch(self, partition, program):
        now = self._runtime.clock.monotonic()
        self.cache.touch(partition, program.key, program.text_bytes, now)

    async def load(self, partition, program):
        """Load all texts of a program into memory.

        They stay while the program runs a call. Otherwise they may be evicted
        at the next await.

        Raises
        ------
        CallError
            ``history_unavailable``: the texts cannot be read now.
        """
        while not program.is_loaded:
            async with self._load_slots:
                await self._read(program)
        self._touch(partition, program)

    async def _read(self, program):
        missing = {}
        for call in program.calls.values():
            if not call.is_loaded:
                source = call.source
                key = (source.host, source.incarnation, source.first, source.last)
                missing.setdefault(key, []).append(call)
        try:
            for source, calls in missing.items():
                await self._read_range(JournalRange(*source), program, calls)
        except (StoreUnavailable, RecordError) as error:
            raise CallError(
                "history_unavailable",
                "the program's history cannot be read now",
                retry_after=LOAD_RETRY_SECONDS,
            ) from error

    async def _read_range(self, journal_range, program, calls):
        found = {}
        assembler = RecordAssembler()
        async for segment in read_range(self._segments, journal_range):
            for placed in assembler.feed(segment):
                found.update(_find_texts(placed.record, program.key))
        for call in calls:
            texts = found.get((call.sequence, call.digest))
            if texts is None:
                raise RecordError(f"call {call.sequence} is not in {journal_range}")
            call.request, call.answer = texts

    @mode.Service.task
    async def _evict_periodically(self):
        while not self.should_stop:
            await self.sleep(EVICTION_INTERVAL_SECONDS)
            for partition, key in self.cache.find_evictable(
                self._runtime.clock.monotonic()
            ):
                await self._evict(partition, key)

    async def _evict(self, partition, key):
        program = self._runtime.programs.get(partition, key)
        if program is None:
            self.cache.remove(partition, key)
            return
        if not self._may_evict(partition, program):
            self._touch(partition, program)
            return
        try:
            await self._compact_texts(partition, program)
        except (StoreUnavailable, JournalSealed, CallError) as error:
            logger.info("texts of %s not evicted: %s", key, error)
            self._touch(partition, program)
            return
        if not self._may_evict(partition, program):
            self._touch(partition, program)
            return
        for call in program.calls.values():
            if call.is_loaded and call.source is not None:
                call.unload()
        self.cache.remove(partition, key)

    def _may_evict(self, partition, program):
        if program.running is not None or self._runtime.programs.is_paused(partition):
            return False
        if self._runtime.programs.get(partition, program.key) is not program:
            return False
        return all(map(self._is_stored, program.calls.values()))

    def _is_stored(self, call):
        """Return whether a call's texts are certain to be in the store."""
        source = call.source
        if source is None:
            return True
        own = (self._runtime.host, self._runtime.incarnation)
        if (source.host, source.incarnation) != own:
            return True
        return source.last <= self._runtime.journal.stored_number

    async def _compact_texts(self, partition, program):
        """Write texts spread over many segments to one journal record."""
        calls = list(program.calls.values())
        places = {(c.source.host, c.source.last) for c in calls if c.source}
        if len(places) < COMPACTION_MIN_SEGMENTS or not program.is_loaded:
            return
        position = await self._runtime.journal.commit(
            [take_snapshot(program, with_texts=True)],
            partition=partition,
            needs_store=True,
        )
        for call in calls:
            if call.answer:
                call.source = CallSource(*position)


def _find_texts(record, key):
    """Return the texts that a record has of program `key`, by (sequence, digest)."""
    if record.program != key:
        return {}
    if isinstance(record, CallCompleted):
        texts = (record.request, record.answer)
        return {(record.sequence, record.digest): texts}
    if isinstance(record, ProgramSnapshot):
        return {
            (call.sequence, call.digest): (call.request, call.answer)
            for call in record.calls
            if call.answer
        }
    return {}
