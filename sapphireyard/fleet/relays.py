"""The choice of hosts that send a request to an upstream for this host."""

import random

OWN_DOMAIN_WEIGHT = 3.0
"""How much more often a host of the own failure domain is chosen than another one."""
MIN_CORES = 0.1
"""Weight of a host that reports fewer cores, or none."""


def list_relays(members, upstream):
    """Return the hosts that say that they reach an upstream.

    Parameters
    ----------
    members : iterable of Member
        Live entry hosts that serve callers.
    upstream : str
        Name of the upstream.

    Returns
    -------
    list of Heartbeat
        Their last heartbeats.
    """
    return [
        member.heartbeat
        for member in members
        if member.heartbeat.relays
        and not member.heartbeat.leaving
        and not member.heartbeat.isolated
        and upstream not in member.heartbeat.unreachable
    ]


def rank_relays(heartbeats, failure_domain, *, choice=random):
    """Return the names of relays in the order in which they are to be asked.

    Handles many hosts that are cut off at the same time: their requests are spread
    over all hosts that are left, by their size, rather than sent to the nearest one.

    Parameters
    ----------
    heartbeats : list of Heartbeat
        From `list_relays`.
    failure_domain : str
        Failure domain of this host.
    choice : random.Random, optional
        Source of randomness.
    """

    def draw(heartbeat):
        weight = max(MIN_CORES, heartbeat.cores)
        if heartbeat.failure_domain == failure_domain:
            weight *= OWN_DOMAIN_WEIGHT
        return choice.random() ** (1.0 / weight)

    return [each.host for each in sorted(heartbeats, key=draw, reverse=True)]
