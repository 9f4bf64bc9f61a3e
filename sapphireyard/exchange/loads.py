"""Requests in flight on upstreams, and the memory that they need, over all hosts."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Load:
    """Requests in flight, and the tokens of memory that they need when they end."""

    requests: int = 0
    tokens: int = 0

    def plus(self, other):
        """Return the sum of two loads."""
        return Load(self.requests + other.requests, self.tokens + other.tokens)

    def minus(self, other):
        """Return the difference of two loads."""
        return Load(self.requests - other.requests, self.tokens - other.tokens)


NO_LOAD = Load()


class FleetLoads:
    """What this host and the others have in flight on each upstream.

    Handles the load pattern of several hosts that use the same upstreams without a
    common queue: an upstream without a slot or memory for a request would let it wait,
    or interrupt another request.
    """

    def __init__(self):
        self._own = {}
        self._by_host = {}
        self._others = {}

    @property
    def hosts(self):
        """list of str: The hosts whose load is counted."""
        return list(self._by_host)

    def count_running(self):
        """Return this host's requests in flight on each upstream."""
        return {name: load.requests for name, load in self._own.items()}

    def count_tokens(self):
        """Return the tokens that this host's requests need on each upstream."""
        return {name: load.tokens for name, load in self._own.items() if load.tokens}

    def acquire(self, name, tokens):
        """Count a request that this host sends to an upstream."""
        self._own[name] = self._own.get(name, NO_LOAD).plus(Load(1, tokens))

    def release(self, name, tokens):
        """Stop counting a request that has ended."""
        self._own[name] = self._own[name].minus(Load(1, tokens))
        if not self._own[name].requests:
            del self._own[name]

    def find_others(self, name):
        """Return the `Load` of all other hosts on an upstream."""
        return self._others.get(name, NO_LOAD)

    def replace(self, host, running, reserved):
        """Apply another host's report; return the upstreams whose load has changed.

        Parameters
        ----------
        host : str
            The other host.
        running, reserved : dict of str to int
            Its requests in flight on each upstream, and the tokens that they need; a
            host of an older build reports no tokens.
        """
        before = self._by_host.get(host, {})
        loads = {name: Load(count) for name, count in running.items()}
        for name, tokens in reserved.items():
            loads[name] = replace(loads.get(name, NO_LOAD), tokens=tokens)
        self._by_host[host] = loads
        changed = []
        for name in before.keys() | loads.keys():
            change = loads.get(name, NO_LOAD).minus(before.get(name, NO_LOAD))
            if change != NO_LOAD:
                self._others[name] = self.find_others(name).plus(change)
                changed.append(name)
                if self._others[name] == NO_LOAD:
                    del self._others[name]
        return changed

    def drop(self, host):
        """Stop counting a host's requests; return the upstreams that change."""
        changed = self.replace(host, {}, {})
        del self._by_host[host]
        return changed


def remove_granted(heartbeat, names):
    """Return another host's requests in flight, and the tokens that they need.

    Parameters
    ----------
    heartbeat : Heartbeat
        What the other host reports.
    names : set of str
        Upstreams without the requests for which a home granted the slot. The home
        itself counts these, and it knows sooner when they end.
    """

    def remove(counts, granted):
        return {
            name: count - (granted.get(name, 0) if name in names else 0)
            for name, count in counts.items()
        }

    return (
        remove(heartbeat.running, heartbeat.granted),
        remove(heartbeat.reserved, heartbeat.granted_tokens),
    )
