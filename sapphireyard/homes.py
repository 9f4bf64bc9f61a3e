"""The choice of one host, the home, for each key of a shared decision."""

from collections import deque
from dataclasses import dataclass

import xxhash

HISTORY_SECONDS = 120.0
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
class _Epoch:
    """The hosts that could be homes from a time on."""

    began_at: float
    hosts: frozenset


class HomeHistory:
    """Homes under the present and recent sets of hosts.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host):
        self._host = host
        self._epochs = deque()
        self._choices = {}

    @property
    def hosts(self):
        """frozenset of str: The hosts that can be homes now."""
        return self._epochs[-1].hosts if self._epochs else frozenset()

    def restart(self, now):
        """Forget how long this host has been a home of anything."""
        hosts = self.hosts
        self._epochs.clear()
        self._epochs.append(_Epoch(now, hosts))

    def update(self, hosts, now):
        """Take the hosts of the newest assignment; return whether they changed."""
        hosts = frozenset(hosts)
        if self._epochs and hosts == self.hosts:
            return False
        self._epochs.append(_Epoch(now, hosts))
        self._choices.clear()
        while len(self._epochs) > 2 and self._is_old(self._epochs[1], now):
            self._epochs.popleft()
        return True

    def home(self, key):
        """Return the present home of `key`, or None when no host is known."""
        home = self._choices.get(key)
        if home is not None:
            return home
        if len(self._choices) >= CACHED_CHOICES:
            self._choices.clear()
        home = choose_home(key, self.hosts)
        self._choices[key] = home
        return home

    def since(self, key):
        """Return when this host became the home of `key`, or None if it is not."""
        began_at = None
        for epoch in reversed(self._epochs):
            if choose_home(key, epoch.hosts) != self._host:
                break
            began_at = epoch.began_at
        return began_at

    def previous_home(self, key):
        """Return the home of `key` before the present one, or None."""
        for epoch in reversed(self._epochs):
            home = choose_home(key, epoch.hosts)
            if home != self.home(key):
                return home
        return None

    @staticmethod
    def _is_old(epoch, now):
        return now - epoch.began_at > HISTORY_SECONDS
