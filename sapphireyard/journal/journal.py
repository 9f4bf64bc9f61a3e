"""Group commit of records into a host's journal.

`JournalWriter` makes the decisions; `JournalService` does the I/O with the
store and with peers.
"""

import asyncio
import secrets
from typing import NamedTuple

from mode import Service

from sapphireyard.exceptions import (
    JournalSealed,
    RecordError,
    StoreConflict,
    StoreUnavailable,
)
from sapphireyard.journal.journal_writer import Commit, JournalWriter
from sapphireyard.journal.records import pack_record, split_record, unpack_segment
from sapphireyard.journal.tails import TailSender
from sapphireyard.tasks import start_task

ANSWER_SECONDS = 0.5
"""Time without an answer after which the store counts as unavailable."""

ATTEMPT_SECONDS = 5.0
"""Timeout of one attempt to store a segment, which is then repeated."""

RETRY_SECONDS = 0.25
"""Wait after a failed attempt to store a segment."""

READ_AHEAD = 16
"""Number of segments of a range read at a time."""

NUMBER_DIGITS = 10
"""Number of digits of the segment number in a segment's name."""

TOKEN_BYTES = 8
"""Number of random bytes in a token."""


class CommitPosition(NamedTuple):
    """Position of a commit's records: segments `first` to `number`."""

    host: str
    incarnation: int
    first: int
    number: int


class JournalRange(NamedTuple):
    """Segments `first` to `last`, inclusive, of one journal.

    Parameters
    ----------
    epoch : int
        Only records of this epoch are used; 0 for all records.
    uncertain : bool
        Whether tails of the journal may have been lost when it was sealed.
    """

    host: str
    incarnation: int
    first: int
    last: int
    epoch: int = 0
    uncertain: bool = False


def name_segment(host, incarnation, number):
    """Return the name of a segment's object."""
    return f"journal/{host}/{incarnation}/{number:0{NUMBER_DIGITS}d}"


class JournalService(Service):
    """The journal of this host's incarnation.

    Parameters
    ----------
    runtime : Runtime
        Provides store, clock, settings, incarnation, peers and ownership.
    answer_seconds : float, optional
        Time without an answer after which the store counts as unavailable.
    retry_seconds : float, optional
        Wait after a failed attempt to store a segment.
    """

    def __init__(
        self, runtime, *, answer_seconds=ANSWER_SECONDS, retry_seconds=RETRY_SECONDS
    ):
        super().__init__()
        self.runtime = runtime
        self._answer_seconds = answer_seconds
        self._retry_seconds = retry_seconds
        self._writer = None
        self._tails = TailSender(runtime)
        self._wake = asyncio.Event()
        self._flush = asyncio.Event()

    @property
    def sealed(self):
        """bool: Whether commits fail until the next `open`."""
        return self._writer is None or self._writer.sealed

    @property
    def store_out(self):
        """bool: Whether the store does not answer the journal."""
        return self._writer is not None and self._writer.store_out

    @property
    def next_number(self):
        """int: Lowest number of the segment that can contain the next records."""
        return self._writer.next_number if self._writer is not None else 1

    @property
    def stored_number(self):
        """int: Number up to which all segments are known to be stored."""
        return self._writer.stored_number if self._writer is not None else 0

    async def on_start(self):
        """Open the journal if the incarnation is already known."""
        if self.runtime.incarnation:
            self.open(self.runtime.incarnation)

    async def on_stop(self):
        """Fail the pending commits."""
        self.seal()

    def open(self, incarnation):
        """Start the journal of a new incarnation, which was never used before."""
        self.seal()
        self._writer = JournalWriter(
            self.runtime.host,
            incarnation,
            interval_seconds=self._find_interval(),
        )
        self._tails = TailSender(self.runtime)
        self._wake.set()
        self._flush.set()

    def _find_interval(self):
        """Return the minimum mean time between this host's segments.

        All hosts share the store's write rate, so the interval grows with the
        number of hosts.
        """
        ownership = self.runtime.ownership
        assignment = ownership.assignment if ownership is not None else None
        hosts = len(assignment.members) if assignment is not None else 1
        return self.runtime.settings.commit_interval_seconds * hosts

    async def barrier(self):
        """Wait until all earlier commits are durable and acknowledged.

        Raises
        ------
        JournalSealed
            This incarnation no longer owns anything.
        """
        if self.sealed:
            raise JournalSealed(f"the journal of {self.runtime.host} is sealed")
        if self._writer.idle:
            return
        await self._enqueue([], needs_store=False)

    async def commit(self, records, *, partition, needs_store=False, epoch=None):
        """Make records durable; return their `CommitPosition`.

        The records of one commit are contiguous, and commits are in the order
        of the calls. If the caller is cancelled, the records may still become
        durable.

        Parameters
        ----------
        records : sequence
            Instances of the classes of `generated_records`.
        partition : int
            Partition of their program, owned by this host.
        needs_store : bool, optional
            Whether only the store counts as durable. Otherwise, tails in the
            memory of two peers suffice while segments wait for the store.
        epoch : int, optional
            Epoch of a partition that is being handed over.

        Raises
        ------
        JournalSealed
            This incarnation no longer owns anything. The records may be
            durable.
        CommitInDoubt
            The store is unavailable; the records may become durable later.
            Revoke them with another record.
        StoreUnavailable
            The store is unavailable; the records will never become durable.
        CallError
            This host does not own the partition.
        """
        if self.sealed:
            raise JournalSealed(f"the journal of {self.runtime.host} is sealed")
        if epoch is None:
            epoch = self._find_epoch(partition)
        packed = []
        for record in records:
            packed += split_record(
                pack_record(record, partition=partition, epoch=epoch),
                partition=partition,
                epoch=epoch,
                token=secrets.token_hex(TOKEN_BYTES),
            )
        return await self._enqueue(packed, needs_store=needs_store)

    def _find_epoch(self, partition):
        if self.runtime.ownership is None:
            return 0
        return self.runtime.ownership.check_owned(partition)

    async def _enqueue(self, packed, *, needs_store):
        waiter = asyncio.get_running_loop().create_future()
        self._writer.add(Commit(packed, needs_store=needs_store, waiter=waiter))
        self._wake.set()
        return await waiter

    def seal(self):
        """Fail pending and further commits until the next `open`."""
        if self._writer is None:
            return
        error = JournalSealed(
            f"journal {self.runtime.host}/{self._writer.incarnation} is sealed"
        )
        for commit in self._writer.seal():
            self._fail(commit, error)
        self._wake.set()
        self._flush.set()

    @Service.task
    async def _stage_segments(self):
        while not self.should_stop:
            await self._stage_next()

    async def _stage_next(self):
        writer = self._writer
        if writer is None:
            await self._wait_for_wake(None)
            return
        writer.interval_seconds = self._find_interval()
        now = self.runtime.clock.monotonic()
        segment = writer.stage(
            now,
            token=secrets.token_hex(TOKEN_BYTES),
            written_at=self.runtime.clock.wall(),
        )
        if segment is not None:
            self._flush.set()
        if writer.has_backlog and not writer.sealed:
            await self._replicate(writer)
        delay = writer.delay(self.runtime.clock.monotonic())
        if delay is None and writer.has_backlog and not self._tails.fully_replicated:
            delay = self._retry_seconds
        await self._wait_for_wake(delay)

    async def _wait_for_wake(self, delay):
        if delay == 0.0:
            return
        try:
            await asyncio.wait_for(self._wake.wait(), delay)
        except TimeoutError:
            return
        self._wake.clear()

    async def _replicate(self, writer):
        tails = self._tails
        if not self._may_acknowledge():
            return
        number = await tails.send(writer.staged, incarnation=writer.incarnation)
        for commit in writer.record_replicated(number):
            self._succeed(commit, writer)

    @Service.task
    async def _flush_segments(self):
        while not self.should_stop:
            writer = self._writer
            if writer is None or writer.head is None:
                await self._flush.wait()
                self._flush.clear()
                continue
            await self._flush_head(writer)

    async def _flush_head(self, writer):
        segment = writer.head
        name = name_segment(self.runtime.host, writer.incarnation, segment.number)
        try:
            await self._store_with_timeout(name, segment.value, writer)
        except (StoreUnavailable, TimeoutError):
            self._record_outage(writer)
            await self.sleep(self._retry_seconds)
            return
        except JournalSealed:
            self.log.warning(
                "another segment is stored as %s: the journal is sealed", name
            )
            self._seal_writer(writer)
            return
        if writer.sealed:
            return
        for commit in writer.store_succeeded(segment.number):
            self._succeed(commit, writer)
        self._wake.set()
        if writer.head is None:
            self._tails.release(segment.number, incarnation=writer.incarnation)

    def _may_acknowledge(self):
        """Return whether tails count as durable: no host can be sealing this one."""
        ownership = self.runtime.ownership
        return ownership is None or ownership.is_valid(self.runtime.clock.monotonic())

    def _seal_writer(self, writer):
        if writer is not self._writer:
            return
        self.seal()
        if self.runtime.ownership is not None:
            self.runtime.ownership.handle_seal()

    async def _store_with_timeout(self, name, value, writer):
        attempt = start_task(self._store(name, value), name="segment")
        try:
            await asyncio.wait({attempt}, timeout=self._answer_seconds)
            if not attempt.done():
                self._record_outage(writer)
            await asyncio.wait_for(attempt, ATTEMPT_SECONDS)
        finally:
            attempt.cancel()

    async def _store(self, name, value):
        """Store a segment, or find that an earlier attempt stored it.

        Raises
        ------
        JournalSealed
            Another segment has its name.
        StoreUnavailable
            The store did not answer; the attempt has to be repeated.
        """
        try:
            await self.runtime.store.create(name, value)
            return
        except (StoreConflict, StoreUnavailable):
            stored = await self.runtime.store.get(name)
        if stored is None:
            raise StoreUnavailable(f"{name} was not stored")
        if stored.value != value:
            raise JournalSealed(f"{name} was written by another host")

    def _record_outage(self, writer):
        for commit, error in writer.store_failed():
            self._fail(commit, error)
        self._wake.set()

    def _succeed(self, commit, writer):
        if commit.waiter.done():
            return
        position = CommitPosition(
            self.runtime.host, writer.incarnation, commit.first, commit.number
        )
        commit.waiter.set_result(position)

    @staticmethod
    def _fail(commit, error):
        if not commit.waiter.done():
            commit.waiter.set_exception(error)


async def read_range(store, journal_range):
    """Yield the segments of a range in order.

    Raises
    ------
    RecordError
        A segment is missing or damaged.
    StoreUnavailable
        The store did not answer.
    """
    numbers = range(journal_range.first, journal_range.last + 1)
    for start in range(0, len(numbers), READ_AHEAD):
        names = [
            name_segment(journal_range.host, journal_range.incarnation, number)
            for number in numbers[start : start + READ_AHEAD]
        ]
        for name, stored in zip(names, await asyncio.gather(*map(store.get, names))):
            if stored is None:
                raise RecordError(f"{name} is missing")
            yield unpack_segment(stored.value)
