"""The set of hosts that keep copies of all histories, and its quorums.

The set is stored in the platform's store and changed by conditional updates, by one
host at a time. A write counts once a majority of the set has synced it. A host that
joins serves only after enough members refuse all older sets and have transferred
their records, so that it has every write that counts.

The set changes only while enough serving members answer the host that changes it.
Otherwise, changes in quick succession could leave too few serving members for any
joining host, and these would wait for each other.
"""

from dataclasses import replace

EXTRA_COPIES = 2
"""Copies in addition to twice the disks that may be lost: a majority remains while as
many hosts are away as disks may be lost, and each of today's failure domains has a
copy."""

SERVING = "serving"
JOINING = "joining"
FORGOTTEN = "forgotten"
"""Standing of a host whose log names no set. A host that joins logs the set it joins
from before the store names its disk, so such a host has been a member: a build that
deleted this record with old turns has written its log."""


def majority(copies):
    """Return how many of `copies` form a majority."""
    return copies // 2 + 1


def write_quorum(copies, *, tolerated):
    """Return how many copies must sync a write: a majority, more than may be lost."""
    return max(majority(copies), tolerated + 1)


def fence_quorum(copies, *, tolerated):
    """Return how many copies, but one at least, intersect every write quorum."""
    return max(1, copies - write_quorum(copies, tolerated=tolerated) + 1)


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
    needed = fence_quorum(len(copies.members), tolerated=tolerated)
    if copies.members and len(live) < needed:
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


def plan_recovery(copies, host, disk, disks, *, accepted, tolerated):
    """Return a set without the lost members, or None if no loss is certain.

    More disks are lost than may be lost at once, so that no host can join any more.
    A member that does not answer may still have all records; without it, only an
    operator can accept the loss. The set records that histories may be lost.

    Parameters
    ----------
    copies : CopySet
        The set in force.
    host, disk : str
        Host that plans, which becomes a member, and the identity of its disk.
    disks : dict of str to DiskStatus
        Answers of members; one that has lost its disk has another one.
    accepted : int
        Version of a set whose loss an operator accepts.
    tolerated : int
        Disks that may be lost at once.
    """
    if not copies.members:
        return None
    intact = _list_intact(copies, disks)
    serving = {name: copies.members[name] for name in intact if disks[name].serving}
    holders = list_holders(copies, disks)
    needed = fence_quorum(len(copies.members), tolerated=tolerated)
    if len(holders) >= needed:
        return None
    is_silent = any(name not in disks for name in copies.members)
    is_unclear = any(
        not disks[each].serving and not disks[each].standing for each in intact
    )
    # A joining host needs one that has all its records, unless it is the only member.
    may_end = (
        len(intact) >= needed if holders else len(copies.members) == len(intact) == 1
    )
    if (is_silent or is_unclear or may_end) and accepted != copies.version:
        return None
    changed = _change(copies, {**serving, host: disk})
    return replace(changed, lost_before=changed.version)


def list_holders(copies, disks):
    """Return the members that have on their disks whatever they acknowledged.

    Records of as many of them as a host joins from are complete, whether these serve
    or not; one that is itself joining may lack some.

    Parameters
    ----------
    copies : CopySet
        The set in force.
    disks : dict of str to DiskStatus
        Answers of members.
    """
    return [
        name
        for name in _list_intact(copies, disks)
        if disks[name].serving or disks[name].standing == FORGOTTEN
    ]


def may_stop(copies, host, serving, stopping, *, tolerated):
    """Return whether turns are served while a host is restarted.

    Of several hosts that are to stop, the others wait for the first one by name.

    Parameters
    ----------
    copies : CopySet
        The set in force.
    host : str
        Host that is to stop.
    serving, stopping : collection of str
        Other members that serve, and hosts that are to stop as well.
    tolerated : int
        Disks that may be lost at once.
    """
    staying = [
        name
        for name in copies.members
        if name != host and name in serving and not (name in stopping and name < host)
    ]
    return len(staying) >= write_quorum(len(copies.members), tolerated=tolerated)


def explain_stay(copies, host, holders, *, tolerated):
    """Return why a host must keep its disk, or an empty string if it need not.

    The set without the host must keep a write quorum when as many disks are lost as
    may be lost at once, and all records of the host.

    Parameters
    ----------
    copies : CopySet
        The set in force, with or without the host.
    host : str
        Host that is to leave.
    holders : collection of str
        Serving members that have all records of the host on their disks.
    tolerated : int
        Disks that may be lost at once.
    """
    rest = sorted(set(copies.members) - {host})
    needed = write_quorum(len(rest), tolerated=tolerated) + tolerated
    if len(rest) < needed:
        return f"{needed} other members are needed, the set has {len(rest)}"
    missing = [name for name in rest if name not in holders]
    if len(rest) - len(missing) < needed:
        return f"members without all records: {', '.join(missing)}"
    return ""


def _list_intact(copies, disks):
    """Return the members that have answered with the disks that the set names."""
    return [
        name
        for name, known in copies.members.items()
        if name in disks and disks[name].disk == known
    ]


def _change(copies, members):
    return replace(copies, version=copies.version + 1, members=members)
