"""The choice of the entry hosts to which callers are directed."""

from dataclasses import dataclass
from statistics import median

MIN_REACHING_SHARE = 0.25
"""Share of hosts that reach upstreams from which all callers are directed to them.
Fewer would be overloaded by the connections of all callers."""
MAX_PREFERRED_STORE_AGE_SECONDS = 2.8
"""Age of a host's own last answer from the store from which other hosts are
preferred: a host with an older one may soon have to refuse callers."""
SLOW_RATIO = 2.5
"""Ratio of a host's effort to the median above which it counts as slow: disturbed
machines run several times slower, while normal variation is about a half."""


@dataclass(frozen=True)
class Candidate:
    """An entry host to which callers may be directed.

    Parameters
    ----------
    address : str
        IP:PORT for callers.
    ready : bool
        It serves requests with keys.
    leaving : bool
        It is about to stop.
    store_age : float
        Seconds since its own last answer from the store; negative for none.
    keeps_turns : bool, optional
        Enough copies of histories are reachable from it to serve turns.
    effort : float, optional
        Seconds that the host takes for a piece of work that is the same on all hosts.
    isolated : bool, optional
        It reaches no upstream.
    """

    address: str
    ready: bool
    leaving: bool
    store_age: float
    keeps_turns: bool = True
    effort: float = 0.0
    isolated: bool = False

    @property
    def connected(self):
        """bool: Whether the store answered it recently and it reaches enough copies."""
        return (
            self.keeps_turns and 0 <= self.store_age < MAX_PREFERRED_STORE_AGE_SECONDS
        )


def choose_addresses(candidates):
    """Return the addresses to give to callers: those of the best available hosts.

    Handles three load patterns. While the store is unavailable, all callers retry: if
    no host is ready, the live ones are returned, so that callers get a refusal with
    a Retry-After rather than no answer. Single machines may be cut off from the store
    or from the copies, or run several times slower than the others: callers are
    directed to other hosts. Some may be cut off from all upstreams: they serve through
    other hosts, to which callers are better sent at once.
    """
    staying = [each for each in candidates if not each.leaving and each.address]
    ready = [each for each in staying if each.ready]
    connected = [each for each in ready if each.connected]
    chosen = _drop_isolated(connected or ready or staying)
    return [each.address for each in _drop_slow(chosen)]


def _drop_isolated(candidates):
    """Return the hosts that reach upstreams, unless they are too few."""
    reaching = [each for each in candidates if not each.isolated]
    if len(reaching) < MIN_REACHING_SHARE * len(candidates):
        return candidates
    return reaching


def _drop_slow(candidates):
    """Return the hosts that are not slow.

    The median is that of normal hosts only while slow hosts are the minority. If most
    hosts are slow, none counts as slow.
    """
    if not candidates:
        return []
    limit = SLOW_RATIO * median(each.effort for each in candidates)
    return [each for each in candidates if each.effort <= limit]
