"""The set of hosts that keep copies of all histories, and its quorums.

The set is stored in the platform's store and changed by conditional updates, by one
host at a time. A write counts once a majority of the set has synced it. A host that
joins serves only after enough members refuse all older sets and have transferred
their records, so that it has every write that counts.
"""

from dataclasses import replace

EXTRA_COPIES = 2
"""Copies in addition to twice the disks that may be lost: a majority remains while as
many hosts are away as disks may be lost, and each of today's failure domains has a
copy."""


def majority(copies):
    """Return how many of `copies` form a majority."""
    return copies // 2 + 1


def write_quorum(copies, *, tolerated):
    """Return how many copies must sync a write: a majority, more than may be lost."""
    return max(majority(copies), tolerated + 1)


def fence_quorum(copies):
    """Return how many copies intersect every majority."""
    return copies - majority(copies) + 1


def target_size(tolerated):
    """Return how many copies are kept if there are enough hosts."""
    return 2 * tolerated + EXTRA_COPIES


def plan_join(copies, host, disk, *, silent, tolerated):
    """Return the set with `host` as a member, or None if it is not needed.

    Parameters
    ----------
    copies : CopySet
        The set in force.
    host, disk : str
        Host that wants to join, and the identity of its disk.
    silent : callable
        Tells whether a member has been silent for long.
    tolerated : int
        Disks that may be lost at once.
    """
    if copies.members.get(host) == disk:
        return None
    live = [name for name in copies.members if name != host and not silent(name)]
    if copies.members and len(live) < fence_quorum(len(copies.members)):
        return None
    if host in copies.members:
        return _change(copies, {**copies.members, host: disk})
    # A member that is gone for good would count in each quorum.
    replaced = next((name for name in sorted(copies.members) if silent(name)), None)
    if replaced is None:
        if len(copies.members) >= target_size(tolerated):
            return None
        return _change(copies, {**copies.members, host: disk})
    rest = {name: known for name, known in copies.members.items() if name != replaced}
    return _change(copies, {**rest, host: disk})


def plan_leave(copies, host):
    """Return the set without `host`, or None if it is not a member."""
    if host not in copies.members:
        return None
    rest = {name: disk for name, disk in copies.members.items() if name != host}
    return _change(copies, rest)


def _change(copies, members):
    return replace(copies, version=copies.version + 1, members=members)
