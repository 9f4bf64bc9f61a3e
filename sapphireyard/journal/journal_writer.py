"""Decides when records are grouped into segments and when they are durable."""

from collections import deque
from dataclasses import dataclass, field

from sapphireyard.exceptions import CommitInDoubt, JournalSealed, StoreUnavailable
from sapphireyard.journal.records import SEGMENT_BYTES, pack_segment

OUTAGE_INTERVAL_SECONDS = 0.2
"""Minimum time between two segments while a backlog waits for the store."""

BURST_SEGMENTS = 20
"""Number of segments that may be staged without a wait after an idle period."""

MAX_STAGED_BYTES = 32_000_000
"""Size of the staged segments in bytes beyond which commits are refused."""


@dataclass(eq=False)
class Commit:
    """Records whose durability a caller waits for.

    Parameters
    ----------
    records : list of bytes
        Packed records, in order.
    needs_store : bool
        Whether tails in peers' memory do not count as durable.
    waiter : object, optional
        Opaque to the writer.
    first, number : int
        Numbers of the first and last segment with these records; 0 until they
        are staged.
    """

    records: list
    needs_store: bool = False
    waiter: object = None
    first: int = 0
    number: int = 0


@dataclass(eq=False)
class StagedSegment:
    """A segment whose name and bytes are final; `commits` end in it."""

    number: int
    value: bytes
    commits: list = field(default_factory=list)


class JournalWriter:
    """Decides when records become segments and when commits are durable.

    Each segment gets the next number, and its bytes are final before the
    first attempt to store it; an attempt without an answer is repeated with
    the same bytes. Only one attempt runs at a time, so a journal has no gaps.
    A segment by another writer under a number of this journal is a seal:
    nothing is committed after it.

    Parameters
    ----------
    host, incarnation
        Identify the journal.
    interval_seconds : float
        Minimum mean time between two segments.
    burst_segments : int, optional
        Number of segments that may be staged at once after an idle period.

    Attributes
    ----------
    interval_seconds : float
        Can be changed at any time.
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
        self._paced_until = float("-inf")
        self._queue = deque()
        self._staged = deque()
        self._staged_at = None
        self._staged_bytes = 0
        self._next_number = 1
        self._store_out = False
        self._sealed = False

    @property
    def incarnation(self):
        """int: Incarnation that writes the journal."""
        return self._incarnation

    @property
    def sealed(self):
        """bool: Whether the journal is sealed, so that commits fail."""
        return self._sealed

    @property
    def store_out(self):
        """bool: Whether the store did not answer the last attempt."""
        return self._store_out

    @property
    def idle(self):
        """bool: Whether no commit is queued and no segment is staged."""
        return not self._queue and not self._staged

    @property
    def has_backlog(self):
        """bool: Whether the store lags behind, so that peers should hold segments."""
        return self._store_out or len(self._staged) > 1

    @property
    def next_number(self):
        """int: Number of the next segment to stage."""
        return self._next_number

    @property
    def stored_number(self):
        """int: Number up to which all segments are known to be stored."""
        return self._next_number - len(self._staged) - 1

    @property
    def head(self):
        """StagedSegment or None: The next segment to store."""
        return self._staged[0] if self._staged else None

    @property
    def staged(self):
        """list of StagedSegment: Segments not known to be stored, in order."""
        return list(self._staged)

    def add(self, commit):
        """Queue a commit.

        Raises
        ------
        JournalSealed
            The journal is sealed.
        StoreUnavailable
            The store is unavailable and the commit needs it, or too many
            bytes wait for it. The records will never become durable.
        """
        if self._sealed:
            raise JournalSealed(f"journal {self._host}/{self._incarnation} is sealed")
        if self._store_out and commit.needs_store:
            raise StoreUnavailable("the store does not answer")
        if self._staged_bytes > MAX_STAGED_BYTES:
            raise StoreUnavailable(
                f"{self._staged_bytes} bytes of segments wait for the store; "
                f"the limit is {MAX_STAGED_BYTES}"
            )
        self._queue.append(commit)

    def delay(self, now):
        """Return the seconds until `stage` can return a segment, or None.

        None means that no segment can be staged before another event.
        """
        if not self._queue or self._sealed:
            return None
        if self._staged and not self.has_backlog:
            return None
        if self.has_backlog and self._staged_at is not None:
            interval = max(OUTAGE_INTERVAL_SECONDS, self.interval_seconds)
            return max(0.0, self._staged_at + interval - now)
        burst_seconds = (self._burst_segments - 1) * self.interval_seconds
        return max(0.0, self._paced_until - burst_seconds - now)

    def stage(self, now, *, token, written_at=0.0):
        """Close the next segment; return it, or None if none is due.

        Parameters
        ----------
        token : str
            Unique to the segment.
        written_at : float, optional
            Wall-clock seconds, written into the segment.
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
        self._paced_until = max(self._paced_until, now) + self.interval_seconds
        self._next_number += 1
        return segment

    def store_answered(self):
        """Record that the store answers."""
        self._store_out = False

    def store_failed(self):
        """Record that the store does not answer; return the commits that fail.

        Returns
        -------
        list of (Commit, Exception)
            Commits that need the store. Those still queued are removed and
            never become durable; those in a segment, even in part, are in
            doubt.
        """
        self._store_out = True
        failed = []
        for segment in self._staged:
            failed += [
                (c, CommitInDoubt("the store did not answer")) for c in segment.commits
            ]
        failed = [(c, error) for c, error in failed if c.needs_store]
        failed += [
            (c, self._build_queue_error(c)) for c in self._queue if c.needs_store
        ]
        self._queue = deque(c for c in self._queue if not c.needs_store)
        for commit, _ in failed:
            self._detach_commit(commit)
        return failed

    def store_succeeded(self, number):
        """Record that the head is stored; return the commits that are now durable."""
        segment = self._staged.popleft()
        assert segment.number == number, "segments are stored in order"
        assert not self._sealed, "a sealed journal stores nothing"
        self._staged_bytes -= len(segment.value)
        self._store_out = False
        return segment.commits

    def record_replicated(self, number):
        """Record that peers hold all segments up to `number`.

        Returns the commits that are now durable.
        """
        durable = []
        for segment in self._staged:
            if segment.number > number or self._sealed:
                break
            durable += [c for c in segment.commits if not c.needs_store]
            segment.commits = [c for c in segment.commits if c.needs_store]
        return durable

    def seal(self):
        """Record that the journal is sealed; return the commits in doubt."""
        self._sealed = True
        in_doubt = [commit for segment in self._staged for commit in segment.commits]
        in_doubt += self._queue
        self._queue.clear()
        # Keeps `stored_number` as it is.
        self._next_number -= len(self._staged)
        self._staged.clear()
        return in_doubt

    def _build_queue_error(self, commit):
        """Return the error for a queued commit, which may be staged in part."""
        if commit.first:
            return CommitInDoubt("part of the records may be stored")
        return StoreUnavailable("the store does not answer")

    def _detach_commit(self, commit):
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
        """Move the records of a commit that fit to a segment; return their size."""
        size = 0
        while commit.records and size + len(commit.records[0]) <= SEGMENT_BYTES:
            size += len(commit.records[0])
            records.append(commit.records.pop(0))
        return size
