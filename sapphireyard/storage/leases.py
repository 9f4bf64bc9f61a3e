"""Decides which process controls a pool: a lease with a fencing number."""

from dataclasses import dataclass

from sapphireyard.storage.generated_control import LeaseRecord

TAKEOVER_FACTOR = 1.5
"""Lease lengths without a renewal after which a contender takes over."""

RENEWAL_SHARE = 0.3
"""Fraction of the lease length after which the holder renews it."""


@dataclass(frozen=True)
class LeaseWrite:
    """A record to write over an object version; 0 creates the object."""

    record: LeaseRecord
    expected_version: int


class LeaseManager:
    """Decides when to take and renew one lease, and whether it is held.

    The holder measures its lease from before the write that created the
    current object version; a contender measures from its first read of that
    version and waits longer. Two processes therefore never hold the lease at
    once, unless the rates of their clocks differ by half.

    Parameters
    ----------
    holder : str
        Name of this process.
    lease_seconds : float
        Time for which a write holds the lease.
    order_seconds : float
        Longest time that an order (a command to an upstream) of the previous
        holder can be in flight.
    """

    def __init__(self, holder, *, lease_seconds, order_seconds):
        self._holder = holder
        self._lease_seconds = lease_seconds
        self._order_seconds = order_seconds
        self._record = None
        self._version = 0
        self._seen_at = None
        self._held_from = None
        self._acquired_at = None  # None also if there was no previous holder
        self._pending = {}  # start time of each write without an answer, by token

    @property
    def fencing(self):
        """int: Fencing number of this process's lease; 0 if it has none.

        The lease may have run out since its last renewal; see `is_held`.
        """
        return self._record.fencing if self._held_from is not None else 0

    def observe(self, record, version, now):
        """Record the `LeaseRecord` (or None) and version read from the store."""
        if record is not None and record.token in self._pending:
            self.record_write(record, version, self._pending[record.token], now)
            return
        if version == self._version and self._seen_at is not None:
            return
        self._record = record
        self._version = version
        self._seen_at = now
        self._held_from = None

    def next_write(self, now, token):
        """Return the `LeaseWrite` to attempt now, or None.

        Parameters
        ----------
        now : float
            Seconds; must not be later than the start of the write.
        token : str
            Unique to this write.
        """
        if self._seen_at is None:
            return None
        if self._held_from is not None:
            if now - self._held_from < self._lease_seconds * RENEWAL_SHARE:
                return None
            return self.build_renewal(now, token)
        if self._record is None:
            return self._build_write(1, now, token)
        if now - self._seen_at < self._lease_seconds * TAKEOVER_FACTOR:
            return None
        return self._build_write(self._record.fencing + 1, now, token)

    def build_renewal(self, now, token):
        """Return the `LeaseWrite` that renews the held lease at once."""
        assert self._held_from is not None, "only a holder renews"
        return self._build_write(self._record.fencing, now, token)

    def record_write(self, record, version, started_at, now):
        """Record that this process's write took effect as `version`."""
        if self._held_from is None:
            self._acquired_at = now if record.fencing > 1 else None
        self._record = record
        self._version = version
        self._seen_at = now
        self._held_from = started_at
        self._pending = {}

    def record_conflict(self):
        """Record that another write came first; the object must be read again."""
        self._held_from = None
        self._seen_at = None
        self._version = 0

    def is_held(self, now):
        """Return whether the lease is certainly held at `now`."""
        if self._held_from is None:
            return False
        return now - self._held_from < self._lease_seconds

    def may_send_order(self, now, *, checks_fencing):
        """Return whether an order may be sent to an upstream at `now`.

        Parameters
        ----------
        now : float
            Seconds.
        checks_fencing : bool
            Whether the upstream itself rejects old fencing numbers. An
            upstream that does not gets no order until the last order of the
            previous holder must have ended.
        """
        if not self.is_held(now):
            return False
        if checks_fencing or self._acquired_at is None:
            return True
        return now - self._acquired_at >= self._order_seconds

    def _build_write(self, fencing, now, token):
        self._pending[token] = now
        record = LeaseRecord(self._holder, fencing, token)
        return LeaseWrite(record, self._version)
