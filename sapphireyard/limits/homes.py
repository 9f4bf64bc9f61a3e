"""The choice of the home of a key: the host that decides on it for the fleet.

Every host computes homes from the assignment that it knows, which may be an
older one. `HomeTracker` determines from when on a host may act as a home: once
no other host can still act as the home of the same key.
"""

from collections import deque
from dataclasses import dataclass, field

import xxhash

MAX_EPOCHS = 16
"""Maximum number of epochs kept.

When an unsettled epoch is dropped, the oldest one kept counts as unsettled.
"""
MAX_CACHED_HOMES = 4096


def score_host(key, host):
    """Return the weight of `host` for `key` in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{host}\0{key}".encode())


def choose_home(key, hosts):
    """Return the home of `key` among `hosts`, or None when there are none.

    A host that joins moves only the keys that it becomes the home of; one that
    leaves, only those that it was the home of.
    """
    return max(hosts, key=lambda host: (score_host(key, host), host), default=None)


@dataclass(frozen=True)
class View:
    """The hosts of one version of the assignment.

    Parameters
    ----------
    version : int
        Version of the assignment.
    members : dict
        Incarnation by host, leaving hosts included.
    active : frozenset of str
        Hosts that are eligible as homes.
    """

    version: int = 0
    members: dict = field(default_factory=dict)
    active: frozenset = frozenset()


@dataclass
class _Epoch:
    """A period in which the same hosts were eligible as homes.

    From `settled_at` on, no host with an older view acts as home in place of
    this one; None while that is not certain.
    """

    hosts: frozenset
    settled_at: float | None = None


class HomeTracker:
    """Homes under the newest view, and whether this host may act as one.

    A host that becomes active takes keys over from others, so all of them must
    know of it first; a host that leaves must know that it leaves. Until these
    hosts have acknowledged the version, or are no longer members, the epoch is
    not settled. A removed member was sealed (another host closed its journal),
    and so no longer acts as home.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host):
        self._host = host
        self._view = View()
        self._epochs = deque()
        self._pending = {}
        self._home_cache = {}

    @property
    def view(self):
        """View: The newest known view."""
        return self._view

    @property
    def pending(self):
        """dict: Version that each host must acknowledge, by host.

        This host does not act as home before.
        """
        return dict(self._pending)

    def update(self, view, now):
        """Apply a newer view; return whether this host's incarnation changed."""
        if view.version <= self._view.version:
            return False
        old, self._view = self._view, view
        if view.active != old.active:
            self._home_cache.clear()
        incarnation = view.members.get(self._host)
        restarted = old.members.get(self._host) != incarnation
        if restarted:
            self._epochs.clear()
            self._pending.clear()
        self._drop_departed(old)
        if restarted or self._host not in old.active:
            self._require_acknowledgement(view.members)
        self._require_acknowledgement(
            host for host in old.active if host not in view.active
        )
        if not self._epochs or self._epochs[-1].hosts != view.active:
            self._epochs.append(_Epoch(view.active))
        self._settle_epochs(now)
        self._prune()
        return restarted

    def acknowledge(self, host, version, now):
        """Record that a host knows a version of the assignment."""
        if host in self._pending and version >= self._pending[host]:
            del self._pending[host]
            self._settle_epochs(now)

    def home(self, key):
        """Return the current home of `key`, or None when no host is active."""
        home = self._home_cache.get(key)
        if home is not None:
            return home
        if len(self._home_cache) >= MAX_CACHED_HOMES:
            self._home_cache.clear()
        home = choose_home(key, self._view.active)
        self._home_cache[key] = home
        return home

    def is_home(self, key):
        """Return whether this host is the home of `key` in the newest view."""
        return self.home(key) == self._host

    def settled_at(self, key):
        """Return the time since which only this host acts as home of `key`.

        Returns
        -------
        float or None
            None while another host may still act as home, or is the home.
        """
        settled_at = None
        for epoch in reversed(self._epochs):
            if choose_home(key, epoch.hosts) != self._host:
                break
            settled_at = epoch.settled_at
        return settled_at

    def previous_home(self, key):
        """Return the member that may have been the home of `key` before, or None.

        That is a leaving host that outranks this one, or else the active host
        that ranks next.
        """
        others = [host for host in self._view.members if host != self._host]
        leaving = [host for host in others if host not in self._view.active]
        outranking = choose_home(key, [*leaving, self._host])
        if outranking != self._host:
            return outranking
        return choose_home(key, [host for host in others if host not in leaving])

    def _require_acknowledgement(self, hosts):
        for host in hosts:
            if host != self._host and host in self._view.members:
                self._pending[host] = self._view.version

    def _drop_departed(self, old):
        for host, incarnation in old.members.items():
            if self._view.members.get(host) != incarnation:
                self._pending.pop(host, None)

    def _settle_epochs(self, now):
        if self._pending:
            return
        for epoch in self._epochs:
            if epoch.settled_at is None:
                epoch.settled_at = now

    def _prune(self):
        while len(self._epochs) > MAX_EPOCHS:
            oldest = self._epochs.popleft()
            if oldest.settled_at is None:
                self._epochs[0].settled_at = None
