"""Decides when records become segments of a journal and when they are durable."""

from collections import deque
from dataclasses import dataclass, field

from sapphireyard.exceptions import CommitInDoubt, JournalSealed, StoreUnavailable
from sapphireyard.journal.records import SEGMENT_BYTES, pack_segment

OUTAGE_INTERVAL_SECONDS = 0.2
"""Least seconds between two segments while they pile up."""

BURST_SEGMENTS = 20
"""Segments that may follow each other without a wait after a quiet time."""

UNFLUSHED_BYTES = 32_000_000
"""Most bytes of segments that wait for the store."""


@dataclass(eq=False)
class Commit:
    """Records that a caller waits for.

    Parameters
    ----------
    records : list of bytes
        Packed records, in order.
    needs_store : bool
        Whether tails in peers' memory do not count as durable.
    waiter : object, optional
        The caller's own; not looked at here.
    """

    records: list
    needs_store: bool = False
    waiter: object = None
    first: int = 0
    number: int = 0


@dataclass(eq=False)
class StagedSegment:
    """A segment whose name and bytes are fixed; `commits` end in it."""

    number: int
    value: bytes
    commits: list = field(default_factory=list)


class JournalWriter:
    """Decides when records become segments and when commits are durable.

    Every segment takes the next number, and its bytes are fixed before the
    first attempt to store it; an attempt without an answer is repeated with
    the same bytes. One attempt runs at a time, so a journal has no holes. A
    segment of somebody else under a number of this journal is a seal: nothing
    is committed from then on.

    Parameters
    ----------
    host, incarnation
        The journal written.
    interval_seconds : float
        Least mean time between two segments.
    burst_segments : int, optional
        Segments that may follow each other at once after a quiet time.

    Attributes
    ----------
    interval_seconds : float
        May be changed at any time.
    """

    def __init__(
        self,
        host,
        incarnation,
        *,
        interval_seconds,
        burst_segments=BURST_SEGMENTS,
    ):
        self._host = host
        self._incarnation = incarnation
        self.interval_seconds = interval_seconds
        self._burst_segments = burst_segments
        self._paid_until = float("-inf")
        self._queue = deque()
        self._staged = deque()
        self._staged_at = None
        self._staged_bytes = 0
        self._next_number = 1
        self._out = False
        self._sealed = False

    @property
    def incarnation(self):
        """int: Incarnation whose journal is written."""
        return self._incarnation

    @property
    def sealed(self):
        """bool: Whether nothing can be committed any more."""
        return self._sealed

    @property
    def out(self):
        """bool: Whether the store is known not to answer."""
        return self._out

    @property
    def idle(self):
        """bool: Whether no commit waits."""
        return not self._queue and not self._staged

    @property
    def behind(self):
        """bool: Whether segments pile up and peers should hold them."""
        return self._out or len(self._staged) > 1

    @property
    def next_number(self):
        """int: Number of the segment that the next records can stand in."""
        return self._next_number

    @property
    def stored_number(self):
        """int: Number up to which all segments are known to be stored."""
        return self._next_number - len(self._staged) - 1

    @property
    def head(self):
        """StagedSegment or None: The segment to store next."""
        return self._staged[0] if self._staged else None

    @property
    def staged(self):
        """list of StagedSegment: Segments not yet known to be stored."""
        return list(self._staged)

    def add(self, commit):
        """Take a commit.

        Raises
        ------
        JournalSealed
            The journal is sealed.
        StoreUnavailable
            The store is out and the commit needs it, or too much waits for
            it. The records will never become durable.
        """
        if self._sealed:
            raise JournalSealed(f"journal {self._host}/{self._incarnation}")
        if self._out and commit.needs_store:
            raise StoreUnavailable("the store is out")
        if self._staged_bytes > UNFLUSHED_BYTES:
            raise StoreUnavailable("too many segments wait for the store")
        self._queue.append(commit)

    def delay(self, now):
        """Return seconds until `stage` may give a segment; None for unknown."""
        if not self._queue or self._sealed:
            return None
        if self._staged and not self.behind:
            return None
        if self.behind and self._staged_at is not None:
            interval = max(OUTAGE_INTERVAL_SECONDS, self.interval_seconds)
            return max(0.0, self._staged_at + interval - now)
        credit = (self._burst_segments - 1) * self.interval_seconds
        return max(0.0, self._paid_until - credit - now)

    def stage(self, now, *, token, written_at=0.0):
        """Close the next segment; return it, or None when it is not yet time.

        Parameters
        ----------
        token : str
            Unique to the segment.
        written_at : float, optional
            Wall-clock seconds, kept in the segment.
        """
        if self.delay(now) != 0.0:
            return None
        commits, records = self._take_records()
        value = pack_segment(
            host=self._host,
            incarnation=self._incarnation,
            number=self._next_number,
            token=token,
            records=records,
            written_at=written_at,
        )
        segment = StagedSegment(self._next_number, value, commits)
        self._staged.append(segment)
        self._staged_bytes += len(value)
        self._staged_at = now
        self._paid_until = max(self._paid_until, now) + self.interval_seconds
        self._next_number += 1
        return segment

    def store_answered(self):
        """Note that the store answers."""
        self._out = False

    def store_failed(self):
        """Note that the store does not answer; return the commits that fail.

        Returns
        -------
        list of (Commit, Exception)
            Commits that need the store. Those still queued are removed and
            never become durable; those already in a segment are in doubt.
        """
        self._out = True
        failed = []
        for segment in self._staged:
            failed += [(c, CommitInDoubt("no answer")) for c in segment.commits]
        failed = [(c, error) for c, error in failed if c.needs_store]
        failed += [(c, self._refuse(c)) for c in self._queue if c.needs_store]
        self._queue = deque(c for c in self._queue if not c.needs_store)
        for commit, _ in failed:
            self._drop_commit(commit)
        return failed

    def store_succeeded(self, number):
        """Note that the head is stored; return the commits now durable."""
        segment = self._staged.popleft()
        assert segment.number == number, "segments are stored in order"
        assert not self._sealed, "a sealed journal stores nothing"
        self._staged_bytes -= len(segment.value)
        self._out = False
        return segment.commits

    def peers_hold(self, number):
        """Note that peers hold all segments up to `number`; return commits."""
        durable = []
        for segment in self._staged:
            if segment.number > number or self._sealed:
                break
            durable += [c for c in segment.commits if not c.needs_store]
            segment.commits = [c for c in segment.commits if c.needs_store]
        return durable

    def seal(self):
        """Note that the journal is sealed; return the commits in doubt."""
        self._sealed = True
        lost = [commit for segment in self._staged for commit in segment.commits]
        lost += self._queue
        self._queue.clear()
        self._next_number -= len(self._staged)
        self._staged.clear()
        return lost

    def _refuse(self, commit):
        if commit.first:
            return CommitInDoubt("a part of the records may be stored")
        return StoreUnavailable("the store is out")

    def _drop_commit(self, commit):
        for segment in self._staged:
            segment.commits = [c for c in segment.commits if c is not commit]

    def _take_records(self):
        """Return the commits that end in the next segment and its records."""
        ended, records, size = [], [], 0
        while self._queue:
            commit = self._queue[0]
            total = sum(map(len, commit.records))
            if records and size + total > SEGMENT_BYTES:
                break
            commit.first = commit.first or self._next_number
            size += self._move_records(commit, records)
            if commit.records:
                break
            commit.number = self._next_number
            ended.append(self._queue.popleft())
        return ended, records

    def _move_records(self, commit, records):
        """Move records of a commit to a segment as far as they fit."""
        size = 0
        while commit.records and size + len(commit.records[0]) <= SEGMENT_BYTES:
            size += len(commit.records[0])
            records.append(commit.records.pop(0))
        return size
