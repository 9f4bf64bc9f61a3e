"""Selects the sources of configuration updates: the store or peers."""

from sapphireyard._hashing import hash_text

BOOTSTRAP_PEERS = 16
"""Peers queried in parallel by a host that has no version yet."""


class ConfigurationSources:
    """Selects the watchers of each failure domain and the peers to query.

    Parameters
    ----------
    runtime : Runtime
        Gives the members, this host's name and its failure domain.
    watchers_per_domain : int
        Number of hosts of each failure domain that watch the store.
    """

    def __init__(self, runtime, *, watchers_per_domain):
        self._runtime = runtime
        self._watchers_per_domain = watchers_per_domain
        self._rotation = 0

    def members(self):
        """Return the known members by host."""
        ownership = self._runtime.ownership
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
        return self.domains().get(self._runtime.settings.failure_domain, [])

    def is_watcher(self):
        """Return whether this host watches the store.

        Every host does while no member of its failure domain is known.
        """
        watchers = self._watchers()
        return not watchers or self._runtime.host in watchers

    def choose_peers(self, *, bootstrapping, needs_refresh):
        """Return the peers to query now.

        Parameters
        ----------
        bootstrapping : bool
            Whether this host has no version yet.
        needs_refresh : bool
            Whether the last confirmation is getting old.
        """
        own_host = self._runtime.host
        if bootstrapping:
            return self._choose_bootstrap_peers(own_host)
        watchers = [host for host in self._watchers() if host != own_host]
        if not needs_refresh:
            return watchers[:1]
        self._rotation += 1
        return sorted({*watchers, *self._choose_remote_peers()})

    def _choose_bootstrap_peers(self, own_host):
        others = sorted(
            {*self.members(), *self._runtime.peers.static_addresses} - {own_host}
        )
        self._rotation += BOOTSTRAP_PEERS
        start = self._rotation % max(1, len(others))
        return (others[start:] + others[:start])[:BOOTSTRAP_PEERS]

    def _choose_remote_peers(self):
        """Return one host of each other failure domain, in rotation."""
        return [
            hosts[self._rotation % len(hosts)]
            for domain, hosts in self.domains().items()
            if domain != self._runtime.settings.failure_domain
        ]

    def _watchers(self):
        hosts = sorted(self.domain_hosts(), key=_rank_host)
        return hosts[: self._watchers_per_domain]


def _rank_host(host):
    return hash_text(host), host
