"""Decides which hosts have expired, by the observer's own clock.

A host expires only when the observer has seen its member object in the store
unchanged for the expiry time. Missing heartbeats only make the observer read
the object sooner.
"""

from dataclasses import dataclass

from sapphireyard._hashing import hash_text

WATCHED_HOSTS = 3
"""Number of live hosts that each host watches."""

SILENCE_FRACTION = 1 / 3
"""Fraction of the expiry without a heartbeat after which a host is silent.

The member object of a silent host is read more often.
"""

READ_FACTOR = 5
"""Renewal intervals between two reads of a host that sends heartbeats."""


@dataclass
class _Observation:
    """What the observer knows of a host.

    Parameters
    ----------
    version : int
        Version of the member object; -1 before the first successful read, and
        after a failed one.
    unchanged_since : float
        Start of the first read that returned this version.
    read_at : float
        Start of the last successful read.
    """

    incarnation: int
    last_heartbeat: float
    version: int = -1
    unchanged_since: float = 0.0
    read_at: float = float("-inf")


class FailureDetector:
    """Observations of other hosts.

    Hosts are placed on a ring by the hash of their names. A host watches its
    successors on the ring up to the third live one, so every host is watched
    by some live host even if a whole failure domain is down.

    Parameters
    ----------
    host : str
        The observer.
    renewal_seconds, expiry_seconds : float
        Renewal interval and expiry time of member objects.
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
        """float: Time without a heartbeat after which a host is silent."""
        return self._silence

    def update_members(self, incarnations, now):
        """Replace the members by a dict of incarnations by host."""
        for host in set(self._observed) - set(incarnations):
            del self._observed[host]
        for host, incarnation in incarnations.items():
            known = self._observed.get(host)
            if known is None or known.incarnation != incarnation:
                self._observed[host] = _Observation(incarnation, now)
        self._observed.pop(self._host, None)
        self._ring = sorted({*self._observed, self._host}, key=hash_text)

    def record_heartbeat(self, host, incarnation, now):
        """Record a heartbeat."""
        observed = self._observed.get(host)
        if observed is not None and observed.incarnation == incarnation:
            observed.last_heartbeat = now

    def is_known(self, host):
        """Return whether a host is observed."""
        return host in self._observed

    def is_silent(self, host, now):
        """Return whether a host has not sent a heartbeat recently."""
        return now - self._observed[host].last_heartbeat > self._silence

    def watched(self, now):
        """Return the hosts that this host watches."""
        return self._walk_ring(1, now)

    def receivers(self, now):
        """Return the hosts to which this host sends heartbeats.

        These are its watchers and the hosts that it watches. Both sides need
        to know who is live, so that their walk along the ring ends.
        """
        return list(
            dict.fromkeys([*self._walk_ring(-1, now), *self._walk_ring(1, now)])
        )

    def hosts_to_read(self, now):
        """Return the hosts whose member objects are due to be read."""
        return [host for host in self.watched(now) if self._is_read_due(host, now)]

    def record_version(self, host, version, now):
        """Record the version of a member object; `now` is the start of the read.

        Version 0 means that the object does not exist.
        """
        observed = self._observed.get(host)
        if observed is None:
            return
        if version != observed.version:
            observed.version = version
            observed.unchanged_since = now
        observed.read_at = now

    def record_read_failure(self, host):
        """Record that the store did not answer; the expiry time restarts."""
        observed = self._observed.get(host)
        if observed is not None:
            observed.version = -1

    def expired(self, now):
        """Return (host, incarnation, version) of each expired host."""
        return [
            (host, observed.incarnation, observed.version)
            for host, observed in self._observed.items()
            if self._is_expired(observed, now)
        ]

    def _is_expired(self, observed, now):
        """Return whether a host has expired, according to a recent read.

        A read older than a renewal interval does not count: the host may have
        renewed its object since then.
        """
        if observed.version < 0 or now - observed.read_at > self._renewal:
            return False
        return observed.read_at - observed.unchanged_since >= self._expiry

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
