"""Where a host gets news of the configuration: the store or which peers."""

from sapphireyard._hashing import hash_text

FIRST_PEERS = 16
"""Peers asked at once by a host that has no version yet."""


class ConfigurationSources:
    """Chooses the watchers of each failure domain and the peers to ask.

    Parameters
    ----------
    yard : Yard
        Gives the members and this host's place among them.
    watchers_per_domain : int
        Hosts of a failure domain that watch the store.
    """

    def __init__(self, yard, *, watchers_per_domain):
        self._yard = yard
        self._watchers_per_domain = watchers_per_domain
        self._turn = 0

    def members(self):
        """Return the known members by host."""
        ownership = self._yard.ownership
        assignment = ownership.assignment if ownership is not None else None
        return assignment.members if assignment is not None else {}

    def domains(self):
        """Return the hosts of each failure domain."""
        domains = {}
        for host, member in self.members().items():
            domains.setdefault(member.failure_domain, []).append(host)
        return domains

    def domain_hosts(self):
        """Return the hosts of this host's failure domain."""
        return self.domains().get(self._yard.settings.failure_domain, [])

    def is_watcher(self):
        """Return whether this host watches the store."""
        watchers = self._watchers()
        return not watchers or self._yard.host in watchers

    def choose_peers(self, *, first, needs_news):
        """Return the peers to ask now.

        Parameters
        ----------
        first : bool
            Whether this host has no version yet.
        needs_news : bool
            Whether the last confirmation is getting old.
        """
        own = self._yard.host
        if first:
            return self._choose_first(own)
        watchers = [host for host in self._watchers() if host != own]
        if not needs_news:
            return watchers[:1]
        self._turn += 1
        return sorted({*watchers, *self._choose_far()})

    def _choose_first(self, own):
        others = sorted({*self.members(), *self._yard.peers.static_addresses} - {own})
        self._turn += FIRST_PEERS
        start = self._turn % max(1, len(others))
        return (others[start:] + others[:start])[:FIRST_PEERS]

    def _choose_far(self):
        """Return one host of each other failure domain, in turn."""
        return [
            hosts[self._turn % len(hosts)]
            for domain, hosts in self.domains().items()
            if domain != self._yard.settings.failure_domain
        ]

    def _watchers(self):
        hosts = sorted(self.domain_hosts(), key=_rank_host)
        return hosts[: self._watchers_per_domain]


def _rank_host(host):
    return hash_text(host), host
