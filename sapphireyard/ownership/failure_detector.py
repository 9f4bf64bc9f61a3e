"""Decides which hosts may be sealed, on the observer's own clock.

Only a member object that stays unrenewed for the expiry, as the observer saw
it in the store, makes a host expire. Silence towards the observer only makes
it look at the object sooner.
"""

from dataclasses import dataclass

from sapphireyard._hashing import hash_text

WATCHED_HOSTS = 3
"""Live hosts that each host watches."""

SILENCE_FRACTION = 1 / 3
"""Part of the expiry without a heartbeat after which a watcher looks closer."""

READ_FACTOR = 5
"""Renewals between two looks at the object of a host that is heard."""


@dataclass
class _Observation:
    incarnation: int
    last_heartbeat: float
    version: int = -1
    since: float = 0.0
    read_at: float = float("-inf")


class FailureDetector:
    """Observations of other hosts.

    All hosts stand on a ring by the hash of their names. A host watches those
    that follow it up to the third that it hears, so that the hosts of a whole
    failure domain are watched by some live host too.

    Parameters
    ----------
    host : str
        The observer.
    renewal_seconds, expiry_seconds : float
        Times of the member object.
    """

    def __init__(self, host, *, renewal_seconds, expiry_seconds):
        self._host = host
        self._renewal = renewal_seconds
        self._expiry = expiry_seconds
        self._silence = expiry_seconds * SILENCE_FRACTION
        self._observed = {}
        self._ring = [host]

    @property
    def silence_seconds(self):
        """float: Time without a heartbeat after which a host counts as silent."""
        return self._silence

    def update_members(self, incarnations, now):
        """Take the members as a dict of incarnations by host."""
        for host in set(self._observed) - set(incarnations):
            del self._observed[host]
        for host, incarnation in incarnations.items():
            known = self._observed.get(host)
            if known is None or known.incarnation != incarnation:
                self._observed[host] = _Observation(incarnation, now)
        self._observed.pop(self._host, None)
        self._ring = sorted({*self._observed, self._host}, key=hash_text)

    def record_heartbeat(self, host, incarnation, now):
        """Note a heartbeat."""
        observed = self._observed.get(host)
        if observed is not None and observed.incarnation == incarnation:
            observed.last_heartbeat = now

    def is_known(self, host):
        """Return whether a host is observed."""
        return host in self._observed

    def is_silent(self, host, now):
        """Return whether a host was not heard lately."""
        return now - self._observed[host].last_heartbeat > self._silence

    def watched(self, now):
        """Return the hosts that this host watches."""
        return self._walk_ring(1, now)

    def receivers(self, now):
        """Return the hosts that get this host's heartbeats.

        Those that watch it, and those that it watches: each side knows by that
        which hosts of the other are live, and the walk on the ring ends.
        """
        return list(
            dict.fromkeys([*self._walk_ring(-1, now), *self._walk_ring(1, now)])
        )

    def hosts_to_read(self, now):
        """Return the hosts whose member object is to be read now."""
        return [host for host in self.watched(now) if self._is_read_due(host, now)]

    def record_version(self, host, version, now):
        """Note the version of a member object; `now` is the start of the read.

        Version 0 stands for an object that does not exist.
        """
        observed = self._observed.get(host)
        if observed is None:
            return
        if version != observed.version:
            observed.version = version
            observed.since = now
        observed.read_at = now

    def record_read_failure(self, host):
        """Note that the store did not answer; the expiry starts anew."""
        observed = self._observed.get(host)
        if observed is not None:
            observed.version = -1

    def expired(self, now):
        """Return (host, incarnation, version) of the hosts that may be sealed."""
        return [
            (host, observed.incarnation, observed.version)
            for host, observed in self._observed.items()
            if self._is_expired(observed, now)
        ]

    def _is_expired(self, observed, now):
        if observed.version < 0 or now - observed.read_at > self._renewal:
            return False
        return observed.read_at - observed.since >= self._expiry

    def _is_read_due(self, host, now):
        interval = self._renewal
        observed = self._observed[host]
        if not self.is_silent(host, now) and observed.version >= 0:
            interval *= READ_FACTOR
        return now - observed.read_at >= interval

    def _walk_ring(self, step, now):
        start = self._ring.index(self._host)
        found, live = [], 0
        for offset in range(1, len(self._ring)):
            host = self._ring[(start + step * offset) % len(self._ring)]
            found.append(host)
            live += not self.is_silent(host, now)
            if live == WATCHED_HOSTS:
                break
        return found
