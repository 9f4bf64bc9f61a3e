"""Who controls a pool: a lease in the store, with a fencing number."""

from dataclasses import dataclass

from sapphireyard.storage.generated_control import LeaseRecord

TAKEOVER_FACTOR = 1.5
"""Leases that a contender waits without seeing a renewal."""

RENEWAL_SHARE = 0.3
"""Part of a lease after which its holder renews it."""


@dataclass(frozen=True)
class LeaseWrite:
    """A record to write over an object version; 0 creates the object."""

    record: LeaseRecord
    expected_version: int


class LeaseKeeper:
    """Decides when to take and renew one lease, and whether it is held.

    A holder counts its lease from before the write that made the object's
    version. A contender counts from when it first saw that version, and waits
    longer. So two never hold it at once, unless their clocks run at rates
    that differ by half.

    Parameters
    ----------
    holder : str
        Name of this process.
    lease_seconds : float
        How long a write holds the lease.
    order_seconds : float
        Longest time that an order of an earlier holder can be under way.
    """

    def __init__(self, holder, *, lease_seconds, order_seconds):
        self._holder = holder
        self._lease_seconds = lease_seconds
        self._order_seconds = order_seconds
        self._record = None
        self._version = 0
        self._seen_at = None
        self._held_from = None
        self._taken_at = None
        self._pending = {}

    @property
    def fencing(self):
        """int: Fencing number of the lease while it is held, else 0."""
        return self._record.fencing if self._held_from is not None else 0

    def observe(self, record, version, now):
        """Take in what the store holds: a `LeaseRecord` or None, and its version."""
        if record is not None and record.token in self._pending:
            self.wrote(record, version, self._pending[record.token], now)
            return
        if version == self._version and self._seen_at is not None:
            return
        self._record = record
        self._version = version
        self._seen_at = now
        self._held_from = None

    def next_write(self, now, token):
        """Return the `LeaseWrite` to try now, or None.

        Parameters
        ----------
        now : float
            Seconds; the write starts after this.
        token : str
            Fresh and unique.
        """
        if self._seen_at is None:
            return None
        if self._held_from is not None:
            if now - self._held_from < self._lease_seconds * RENEWAL_SHARE:
                return None
            return self.renewal(now, token)
        if self._record is None:
            return self._begin(1, now, token)
        if now - self._seen_at < self._lease_seconds * TAKEOVER_FACTOR:
            return None
        return self._begin(self._record.fencing + 1, now, token)

    def renewal(self, now, token):
        """Return the `LeaseWrite` that renews a held lease at once."""
        assert self._held_from is not None, "only a holder renews"
        return self._begin(self._record.fencing, now, token)

    def wrote(self, record, version, started_at, now):
        """Note that our write took effect as an object version."""
        if self._held_from is None:
            self._taken_at = now if record.fencing > 1 else None
        self._record = record
        self._version = version
        self._seen_at = now
        self._held_from = started_at
        self._pending = {}

    def lost(self):
        """Note that another write came first; read the object next."""
        self._held_from = None
        self._seen_at = None
        self._version = 0

    def is_held(self, now):
        """Return whether the lease is held for certain."""
        if self._held_from is None:
            return False
        return now - self._held_from < self._lease_seconds

    def may_order(self, now, *, checks_fencing):
        """Return whether an order may be sent to an upstream now.

        Parameters
        ----------
        now : float
            Seconds.
        checks_fencing : bool
            Whether the upstream refuses old fencing numbers itself. One that
            does not gets nothing until the earlier holder's last order must
            have ended.
        """
        if not self.is_held(now):
            return False
        if checks_fencing or self._taken_at is None:
            return True
        return now - self._taken_at >= self._order_seconds

    def _begin(self, fencing, now, token):
        self._pending[token] = now
        record = LeaseRecord(self._holder, fencing, token)
        return LeaseWrite(record, self._version)
