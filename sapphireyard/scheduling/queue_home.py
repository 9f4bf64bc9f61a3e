"""The choice of the host that queues the requests for a service for all hosts."""

from dataclasses import dataclass
from statistics import median

BUSY_FILL = 0.3
"""Share of a service's slots in use above which hosts use a common queue. Below it,
two hosts seldom choose the same slot between two heartbeats."""
SLOW_RATIO = 3.0
"""Ratio of a host's effort to the median above which it is too slow to be a home."""


@dataclass(frozen=True)
class QueueHost:
    """An active entry host that may be a home.

    Parameters
    ----------
    name : str
        Name of the host.
    cores : float
        Processor cores that it may use.
    effort : float, optional
        Smoothed seconds that it takes for work that is the same on all hosts.
    isolated : bool, optional
        It can open no connection to upstreams.
    leaving : bool, optional
        It is about to stop.
    """

    name: str
    cores: float
    effort: float = 0.0
    isolated: bool = False
    leaving: bool = False


def choose_queue_home(hosts, rank):
    """Return the name of the home of a service's queue, or None without candidates.

    Handles a surge at hosts that each know the others' requests by heartbeats only:
    they take the same free slots, and the upstreams queue what exceeds them in order
    of arrival. Homes are the largest hosts, since a home decides for all.

    Parameters
    ----------
    hosts : iterable of QueueHost
        The active hosts, as far as they are heard.
    rank : int
        Position of the service among those with a common queue.
    """
    able = [each for each in hosts if not each.isolated and not each.leaving]
    if not able:
        return None
    limit = SLOW_RATIO * median(each.effort for each in able)
    fast = [each for each in able if each.effort <= limit] or able
    ranked = sorted(fast, key=lambda each: (-each.cores, each.name))
    return ranked[rank % len(ranked)].name


def is_busy(used, slots):
    """Return whether a service is so busy that its hosts need a common queue.

    Parameters
    ----------
    used, slots : int
        Slots in use or waited for, and slots of all upstreams.
    """
    return used > BUSY_FILL * slots
