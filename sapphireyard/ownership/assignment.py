"""The assignment: which host owns which partition of the program space.

`Assignment` is immutable; a change returns a new one with the next version.
Concurrent changes are arbitrated by the store's conditional update.
"""

from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import NamedTuple

from sapphireyard._hashing import hash_text
from sapphireyard.journal.journal import JournalRange

ASSIGNMENT_NAME = "assignment"
"""Name of the assignment object in the store."""

SUCCESSOR_COUNT = 3
"""Number of successors computed for a program."""

LOAD_FACTOR = 1.25
"""Limit on the partitions of a successor in a takeover, relative to the mean."""

ACTIVE = "active"
"""State of a member that accepts partitions."""

LEAVING = "leaving"
"""State of a member that hands its partitions over before it leaves."""


@dataclass(frozen=True)
class Member:
    """A host of the fleet and its addresses."""

    host: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    region: str = "local"
    state: str = ACTIVE


class PartitionEntry(NamedTuple):
    """The owner of a partition and the journals that hold its state.

    Parameters
    ----------
    host, incarnation
        The owner.
    epoch : int
        Version of the assignment in which the host became the owner or
        replaced the sources by a snapshot.
    since : int
        First segment number of the owner's journal that can contain records
        of this epoch.
    sources : tuple of JournalRange
        Journal ranges to replay, in order, before the owner's own journal.
    """

    host: str
    incarnation: int
    epoch: int
    since: int = 1
    sources: tuple = ()


@dataclass(frozen=True)
class Assignment:
    """Members and partition owners at one version."""

    version: int
    members: dict = field(default_factory=dict)
    entries: tuple = ()

    @property
    def partitions(self):
        """int: Number of partitions."""
        return len(self.entries)

    @cached_property
    def loads(self):
        """dict: Number of partitions owned by each member."""
        loads = dict.fromkeys(self.members, 0)
        for entry in self.entries:
            loads[entry.host] += 1
        return loads

    @cached_property
    def active(self):
        """tuple of Member: Members that accept partitions, sorted by name."""
        members = sorted(self.members.values(), key=lambda member: member.host)
        return tuple(member for member in members if member.state == ACTIVE)

    @cached_property
    def _successors(self):
        return {}

    def partition_of(self, root_key):
        """Return the partition of a program's root, ``customer/id``."""
        return hash_text(root_key) % self.partitions

    def owner_of(self, root_key):
        """Return the `Member` that owns a program's root."""
        return self.members[self.entries[self.partition_of(root_key)].host]

    def successors(self, root_key, *, count=SUCCESSOR_COUNT):
        """Return the members likely to own the program next, most likely first."""
        partition = self.partition_of(root_key)
        if partition not in self._successors:
            owner = self.members[self.entries[partition].host]
            ranked = rank_members(self, partition, away_from=owner)
            self._successors[partition] = ranked[:SUCCESSOR_COUNT]
        return self._successors[partition][:count]

    def owned_by(self, host, incarnation=None):
        """Return the partitions of a host, or of one incarnation of it."""
        return [
            partition
            for partition, entry in enumerate(self.entries)
            if entry.host == host and incarnation in (None, entry.incarnation)
        ]

    def has_member(self, host, incarnation):
        """Return whether this incarnation of a host is a member."""
        member = self.members.get(host)
        return member is not None and member.incarnation == incarnation

    def change(self, *, members=None, entries=None):
        """Return the next version with members or entries replaced."""
        return Assignment(
            self.version + 1,
            self.members if members is None else members,
            self.entries if entries is None else tuple(entries),
        )


class PartitionMove(NamedTuple):
    """A planned move of a partition from its owner to `target`."""

    partition: int
    target: str


def rank_members(assignment, key, *, away_from=None):
    """Return the active members, ranked by rendezvous hash for a key.

    Parameters
    ----------
    key : int or str
        A partition, or the host whose journal tail is to be held.
    away_from : Member, optional
        Member to exclude; others of its failure domain are ranked last.
    """
    members = assignment.active
    domain = ""
    if away_from is not None:
        members = [member for member in members if member.host != away_from.host]
        domain = away_from.failure_domain
    return sorted(
        members,
        key=lambda member: (
            member.failure_domain == domain,
            _score(key, member),
        ),
    )


def rank_tail_holders(assignment, host):
    """Return the names of other members that may hold a host's journal tail.

    One member of each other failure domain comes first; the host's own
    failure domain comes last.
    """
    own = assignment.members[host]
    ranked = rank_members(assignment, host, away_from=own)
    seen, first_per_domain, others = {own.failure_domain}, [], []
    for member in ranked:
        target = others if member.failure_domain in seen else first_per_domain
        target.append(member.host)
        seen.add(member.failure_domain)
    return first_per_domain + others


def create_assignment(member, *, partitions):
    """Return the first assignment, in which one member owns everything."""
    entry = PartitionEntry(member.host, member.incarnation, 1)
    return Assignment(1, {member.host: member}, (entry,) * partitions)


def plan_join(assignment, member):
    """Return the assignment with a member added or its state replaced.

    An earlier incarnation must already have been taken over.
    """
    old = assignment.members.get(member.host)
    assert old is None or old.incarnation == member.incarnation
    return assignment.change(members={**assignment.members, member.host: member})


def plan_leave(assignment, host):
    """Return the assignment without a member that owns nothing."""
    assert not assignment.loads[host], f"{host} owns partitions"
    members = {name: m for name, m in assignment.members.items() if name != host}
    return assignment.change(members=members)


def plan_takeover(
    assignment, host, *, last, replacement=None, journal_next=None, uncertain=False
):
    """Return the assignment without a dead member, its partitions reassigned.

    Parameters
    ----------
    host : str
        The dead member, whose journal is sealed after segment `last`.
    replacement : Member, optional
        The next incarnation of the same host, which gets all its partitions.
        Without one they go to successors by rendezvous hash with bounded
        load, in other failure domains if there are any.
    journal_next : dict, optional
        Lower bound of the next segment number of each successor's journal;
        1 where absent.
    uncertain : bool, optional
        Whether journal tails may have been lost.
    """
    dead = assignment.members[host]
    members = {name: m for name, m in assignment.members.items() if name != host}
    if replacement is not None:
        members[host] = replacement
    planned = assignment.change(members=members)
    loads = {name: assignment.loads.get(name, 0) for name in members}
    loads[host] = 0
    max_load = LOAD_FACTOR * assignment.partitions / max(1, len(planned.active)) + 1
    entries = list(assignment.entries)
    for partition in assignment.owned_by(host):
        new_owner = replacement or _choose_successor(
            planned, partition, dead, loads, max_load
        )
        loads[new_owner.host] += 1
        entries[partition] = PartitionEntry(
            new_owner.host,
            new_owner.incarnation,
            planned.version,
            (journal_next or {}).get(new_owner.host, 1),
            _extend_sources(entries[partition], last, uncertain),
        )
    return replace(planned, entries=tuple(entries))


def plan_moves(assignment, host, *, limit):
    """Return up to `limit` moves that `host` should make to even out the load.

    If the partitions cannot be shared evenly, the hosts that now own the most
    keep the extra ones, so an even load causes no moves. A leaving host hands
    over all its partitions.
    """
    quotas = _share_evenly(assignment)
    surplus = assignment.loads[host] - quotas.get(host, 0)
    underloaded = [
        member
        for member in assignment.active
        if assignment.loads[member.host] < quotas[member.host]
    ]
    capacity = {m.host: quotas[m.host] - assignment.loads[m.host] for m in underloaded}
    moves = []
    for partition in assignment.owned_by(host)[: max(0, min(surplus, limit))]:
        candidates = [member for member in underloaded if capacity[member.host]]
        if not candidates:
            break
        target = min(candidates, key=lambda member: _score(partition, member))
        capacity[target.host] -= 1
        moves.append(PartitionMove(partition, target.host))
    return moves


def quota_of(assignment, host):
    """Return how many partitions a host should own."""
    return _share_evenly(assignment).get(host, 0)


def plan_move(assignment, partitions, target, *, snapshots, since):
    """Return the assignment with partitions moved to a member.

    Parameters
    ----------
    target : Member
        New owner; the current one if only the sources are replaced.
    snapshots : dict
        `JournalRange` to which the current owner wrote the state, by
        partition; partitions without state are absent.
    since : int
        Lower bound of the next segment number of the new owner's journal.
    """
    version = assignment.version + 1
    entries = list(assignment.entries)
    for partition in partitions:
        sources = (snapshots[partition],) if partition in snapshots else ()
        entries[partition] = PartitionEntry(
            target.host, target.incarnation, version, since, sources
        )
    return assignment.change(entries=entries)


def check_assignment(assignment):
    """Assert that the owner of each partition is a member."""
    for partition, entry in enumerate(assignment.entries):
        assert assignment.has_member(
            entry.host, entry.incarnation
        ), f"partition {partition}: {entry.host}/{entry.incarnation} is not a member"


def check_change(old, new):
    """Assert that a change loses no source of any partition's state."""
    assert new.version == old.version + 1
    assert new.partitions == old.partitions
    for partition, (before, after) in enumerate(zip(old.entries, new.entries)):
        if before == after:
            continue
        assert after.epoch == new.version, f"partition {partition}: stale epoch"
        assert _keeps_sources(before, after), f"partition {partition}: lost sources"


def _score(key, member):
    """Return the rendezvous score of a member for a key; the lowest wins."""
    return -hash_text(f"{key}/{member.host}")


def _choose_successor(planned, partition, dead, loads, max_load):
    ranked = rank_members(planned, partition, away_from=dead)
    if not ranked:
        ranked = sorted(planned.members.values(), key=lambda member: member.host)
    candidates = (member for member in ranked if loads[member.host] < max_load)
    return next(candidates, ranked[0])


def _extend_sources(entry, last, uncertain):
    """Return a partition's sources with the owner's sealed journal appended.

    A journal without segments of the epoch is appended only if tails may have
    been lost, since the range carries that information.
    """
    if last < entry.since and not uncertain:
        return entry.sources
    sealed = JournalRange(
        entry.host, entry.incarnation, entry.since, last, entry.epoch, uncertain
    )
    return entry.sources + (sealed,)


def _share_evenly(assignment):
    """Return the number of partitions that each active member should own."""
    active = assignment.active
    if not active:
        return {}
    floor, rest = divmod(assignment.partitions, len(active))
    ordered = sorted(active, key=lambda m: (-assignment.loads[m.host], m.host))
    return {m.host: floor + (index < rest) for index, m in enumerate(ordered)}


def _keeps_sources(before, after):
    """Return whether a changed entry still covers all sources of its state.

    A takeover appends at most the old owner's journal to the sources; a move
    or a compaction replaces them by at most one snapshot of the old owner.
    """
    added = after.sources[len(before.sources) :]
    extended = after.sources[: len(before.sources)] == before.sources
    owner_range = (before.host, before.incarnation, before.since, before.epoch)
    if extended and all(_range_key(source) == owner_range for source in added):
        return len(added) <= 1
    return len(after.sources) <= 1 and all(
        (source.host, source.incarnation, source.epoch)
        == (before.host, before.incarnation, before.epoch)
        and source.first >= before.since
        for source in after.sources
    )


def _range_key(source):
    return source.host, source.incarnation, source.first, source.epoch
