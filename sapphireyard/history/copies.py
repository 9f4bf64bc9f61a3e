"""Which hosts keep copies, and how many of them must answer.

The set lies in the platform's store and changes under a condition, by one host
at a time. A write counts once a majority of the set has synced it. A host that
joins serves only after enough members have refused all older sets and handed
over their records, so that it knows every write that counts.
"""

from dataclasses import replace

COPIES_BEYOND_TWICE_LOST = 2
"""Copies kept: twice the disks that may be lost, and two; so a majority stays
while as many hosts are away, and each failure domain of today has a copy."""


def majority(copies):
    """Return how many of `copies` must sync a write."""
    return copies // 2 + 1


def write_quorum(copies, *, tolerated):
    """Return the copies that a write needs, at least one more than may be lost."""
    return max(majority(copies), tolerated + 1)


def fence_quorum(copies):
    """Return how many copies share a member with every majority."""
    return copies - majority(copies) + 1


def target_size(tolerated):
    """Return how many copies are kept when there are hosts enough."""
    return 2 * tolerated + COPIES_BEYOND_TWICE_LOST


def plan_join(copies, host, disk, *, silent, tolerated):
    """Return the set with `host` in it, or None when it is not needed.

    Parameters
    ----------
    copies : CopySet
        The set in force.
    host, disk : str
        Who wants to join, and with which disk.
    silent : callable
        Tells whether a member has not been heard for long.
    tolerated : int
        Disks that may be lost at once.
    """
    if copies.members.get(host) == disk:
        return None
    heard = [name for name in copies.members if name != host and not silent(name)]
    if copies.members and len(heard) < fence_quorum(len(copies.members)):
        return None
    if host in copies.members or len(copies.members) < target_size(tolerated):
        return _change(copies, {**copies.members, host: disk})
    gone = next((name for name in sorted(copies.members) if silent(name)), None)
    if gone is None:
        return None
    rest = {name: known for name, known in copies.members.items() if name != gone}
    return _change(copies, {**rest, host: disk})


def plan_leave(copies, host):
    """Return the set without `host`, or None when it is not a member."""
    if host not in copies.members:
        return None
    rest = {name: disk for name, disk in copies.members.items() if name != host}
    return _change(copies, rest)


def _change(copies, members):
    return replace(copies, version=copies.version + 1, members=members)
