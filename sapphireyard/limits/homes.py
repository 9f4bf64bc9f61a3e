"""The choice of one host, the home, for each key of a shared decision.

Every host computes homes from the assignment it knows, and some know an older
one. `HomeTracker` tells from when on a host may act as a home: once no other
host can still act as the home of the same key.
"""

from collections import deque
from dataclasses import dataclass, field

import xxhash

EPOCH_LIMIT = 16
"""Changes of the hosts that are remembered one by one."""
CACHED_CHOICES = 4096


def score_host(key, host):
    """Return the rendezvous weight of `host` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{host}\0{key}".encode())


def choose_home(key, hosts):
    """Return the home of `key` among `hosts`, or None when there are none.

    A host that joins or leaves moves only the keys that it wins or held.
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
        Incarnation of each host, leaving ones included.
    active : frozenset of str
        Hosts that can be homes.
    """

    version: int = 0
    members: dict = field(default_factory=dict)
    active: frozenset = frozenset()


@dataclass
class _Epoch:
    """The hosts that could be homes for a time.

    From `settled_at` on no host that has an older view acts as home in place
    of this one; None while that is not sure.
    """

    hosts: frozenset
    settled_at: float | None = None


class HomeTracker:
    """Homes under the newest view, and whether this host may act as one.

    A host that becomes active outranks others, so all of them must know of it
    first; a host that leaves must know that it does. Until these have
    acknowledged the version, or are no longer members, the epoch is not
    settled. A member that is removed was sealed: it acts as home no more.

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
        self._choices = {}

    @property
    def view(self):
        """View: The newest view."""
        return self._view

    @property
    def pending(self):
        """dict: Hosts that must acknowledge a version before we act as home."""
        return dict(self._pending)

    def update(self, view, now):
        """Take a newer view; return whether this host began a new incarnation."""
        if view.version <= self._view.version:
            return False
        old, self._view = self._view, view
        if view.active != old.active:
            self._choices.clear()
        incarnation = view.members.get(self._host)
        restarted = old.members.get(self._host) != incarnation
        if restarted:
            self._epochs.clear()
            self._pending.clear()
        self._note_departures(old)
        if restarted or self._host not in old.active:
            self._expect(view.members)
        self._expect(host for host in old.active if host not in view.active)
        if not self._epochs or self._epochs[-1].hosts != view.active:
            self._epochs.append(_Epoch(view.active))
        self._settle(now)
        self._prune()
        return restarted

    def acknowledge(self, host, version, now):
        """Note that a host knows a version of the assignment."""
        if host in self._pending and version >= self._pending[host]:
            del self._pending[host]
            self._settle(now)

    def home(self, key):
        """Return the present home of `key`, or None when no host is known."""
        home = self._choices.get(key)
        if home is not None:
            return home
        if len(self._choices) >= CACHED_CHOICES:
            self._choices.clear()
        home = choose_home(key, self._view.active)
        self._choices[key] = home
        return home

    def is_home(self, key):
        """Return whether this host is the home of `key` in the newest view."""
        return self.home(key) == self._host

    def settled_at(self, key):
        """Return since when only this host acts as home of `key`, or None."""
        settled_at = None
        for epoch in reversed(self._epochs):
            if choose_home(key, epoch.hosts) != self._host:
                break
            settled_at = epoch.settled_at
        return settled_at

    def earlier_home(self, key):
        """Return the member that was the home of `key` before, or None."""
        others = [host for host in self._view.members if host != self._host]
        leaving = [host for host in others if host not in self._view.active]
        outranking = choose_home(key, [*leaving, self._host])
        if outranking != self._host:
            return outranking
        return choose_home(key, [host for host in others if host not in leaving])

    def _expect(self, hosts):
        for host in hosts:
            if host != self._host and host in self._view.members:
                self._pending[host] = self._view.version

    def _note_departures(self, old):
        for host, incarnation in old.members.items():
            if self._view.members.get(host) != incarnation:
                self._pending.pop(host, None)

    def _settle(self, now):
        if self._pending:
            return
        for epoch in self._epochs:
            if epoch.settled_at is None:
                epoch.settled_at = now

    def _prune(self):
        while len(self._epochs) > EPOCH_LIMIT:
            oldest = self._epochs.popleft()
            if oldest.settled_at is None:
                self._epochs[0].settled_at = None
