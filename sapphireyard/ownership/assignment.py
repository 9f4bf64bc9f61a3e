"""The assignment: which host owns which partition of the program space.

`Assignment` is immutable; changes return a new one with the next version.
The store's conditional update arbitrates between them.
"""

from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import NamedTuple

from sapphireyard._hashing import hash_text
from sapphireyard.journal.journal import JournalRange

ASSIGNMENT_NAME = "assignment"
"""Name of the object in the store."""

SUCCESSOR_COUNT = 3
"""Successors named for a program."""

LOAD_FACTOR = 1.25
"""Partitions that a successor may own, against the mean."""

ACTIVE = "active"
"""State of a member that takes partitions."""

LEAVING = "leaving"
"""State of a member that gives its partitions away."""


@dataclass(frozen=True)
class Member:
    """A host of the fleet and how to reach it."""

    host: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    region: str = "local"
    state: str = ACTIVE


class PartitionEntry(NamedTuple):
    """The owner of a partition and where its state lies.

    Parameters
    ----------
    host, incarnation
        The owner.
    epoch : int
        Version of the assignment in which it became owner, or in which it
        replaced the sources by a snapshot.
    since : int
        No record of this epoch stands before this number in its journal.
    sources : tuple of JournalRange
        Journals to fold, in order, before the owner's own.
    """

    host: str
    incarnation: int
    epoch: int
    since: int = 1
    sources: tuple = ()


@dataclass(frozen=True)
class Assignment:
    """Members and partitions at one version."""

    version: int
    members: dict = field(default_factory=dict)
    entries: tuple = ()

    @property
    def partitions(self):
        """int: Number of partitions."""
        return len(self.entries)

    @cached_property
    def loads(self):
        """dict: Partitions owned by each member."""
        loads = dict.fromkeys(self.members, 0)
        for entry in self.entries:
            loads[entry.host] += 1
        return loads

    @cached_property
    def active(self):
        """tuple of Member: Members that take partitions, by name."""
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
        """Return members likely to own the program next, best first."""
        partition = self.partition_of(root_key)
        if partition not in self._successors:
            owner = self.members[self.entries[partition].host]
            ranked = rank_members(self, partition, away_from=owner)
            self._successors[partition] = ranked[:SUCCESSOR_COUNT]
        return self._successors[partition][:count]

    def owned_by(self, host, incarnation=None):
        """Return the partitions of a host, or of one of its incarnations."""
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
        """Return the next version with other members or entries."""
        return Assignment(
            self.version + 1,
            self.members if members is None else members,
            self.entries if entries is None else tuple(entries),
        )


class PartitionMove(NamedTuple):
    """A planned move of a partition from its owner to `target`."""

    partition: int
    target: str


def rank_members(assignment, partition, *, away_from=None):
    """Return the active members by rendezvous hash for a partition.

    Parameters
    ----------
    away_from : Member, optional
        Member that is left out; others of its failure domain come last.
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
            _score(partition, member),
        ),
    )


def rank_tail_holders(assignment, host):
    """Return the names of other members that may hold a host's journal tail.

    The first ones are of as many failure domains as there are, its own last.
    """
    own = assignment.members[host]
    ranked = rank_members(assignment, host, away_from=own)
    seen, firsts, others = {own.failure_domain}, [], []
    for member in ranked:
        target = others if member.failure_domain in seen else firsts
        target.append(member.host)
        seen.add(member.failure_domain)
    return firsts + others


def create_assignment(member, *, partitions):
    """Return the first assignment, in which one member owns everything."""
    entry = PartitionEntry(member.host, member.incarnation, 1)
    return Assignment(1, {member.host: member}, (entry,) * partitions)


def plan_join(assignment, member):
    """Return the assignment with a member added or its state replaced.

    An earlier incarnation must have been taken over before.
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
    assignment, host, *, last, heir=None, journal_next=None, uncertain=False
):
    """Return the assignment without a dead member, its partitions given away.

    Parameters
    ----------
    host : str
        The dead member, whose journal is sealed after segment `last`.
    heir : Member, optional
        The next incarnation of the same host, which takes its place and its
        partitions. Otherwise they go to successors by rendezvous hash with
        bounded load, in other failure domains where there are any.
    journal_next : dict, optional
        Lowest next number of successors' journals; 1 where absent.
    uncertain : bool, optional
        Whether tails of the journal may have been lost.
    """
    dead = assignment.members[host]
    members = {name: m for name, m in assignment.members.items() if name != host}
    if heir is not None:
        members[host] = heir
    planned = assignment.change(members=members)
    loads = {name: assignment.loads.get(name, 0) for name in members}
    loads[host] = 0
    bound = LOAD_FACTOR * assignment.partitions / max(1, len(planned.active)) + 1
    entries = list(assignment.entries)
    for partition in assignment.owned_by(host):
        taker = heir or _choose_successor(planned, partition, dead, loads, bound)
        loads[taker.host] += 1
        entries[partition] = PartitionEntry(
            taker.host,
            taker.incarnation,
            planned.version,
            (journal_next or {}).get(taker.host, 1),
            _extend_sources(entries[partition], last, uncertain),
        )
    return replace(planned, entries=tuple(entries))


def plan_moves(assignment, host, *, limit):
    """Return up to `limit` moves that `host` should make for an even load.

    The hosts with the most partitions now keep one more where they can't be
    shared evenly, so an even load causes no moves. A leaving host gives all.
    """
    quotas = _share_evenly(assignment)
    surplus = assignment.loads[host] - quotas.get(host, 0)
    wanting = [
        member
        for member in assignment.active
        if assignment.loads[member.host] < quotas[member.host]
    ]
    room = {m.host: quotas[m.host] - assignment.loads[m.host] for m in wanting}
    moves = []
    for partition in assignment.owned_by(host)[: max(0, min(surplus, limit))]:
        fitting = [member for member in wanting if room[member.host]]
        if not fitting:
            break
        target = min(fitting, key=lambda member: _score(partition, member))
        room[target.host] -= 1
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
        New owner; the present one when it only replaces its sources.
    snapshots : dict
        `JournalRange` in which the present owner wrote the state, by
        partition; left out where there is no state.
    since : int
        Lowest number at which the new owner's journal can go on.
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
    """Assert that each partition has an owner which is a member."""
    for partition, entry in enumerate(assignment.entries):
        assert assignment.has_member(
            entry.host, entry.incarnation
        ), f"partition {partition} has no live owner"


def check_change(old, new):
    """Assert that a change loses no source of a partition's state."""
    assert new.version == old.version + 1
    assert new.partitions == old.partitions
    for partition, (before, after) in enumerate(zip(old.entries, new.entries)):
        if before == after:
            continue
        assert after.epoch == new.version, f"partition {partition}: stale epoch"
        assert _keeps_sources(before, after), f"partition {partition}: lost sources"


def _score(key, member):
    """Return the rendezvous score of a member for a key; the least wins."""
    return -hash_text(f"{key}/{member.host}")


def _choose_successor(planned, partition, dead, loads, bound):
    ranked = rank_members(planned, partition, away_from=dead)
    if not ranked:
        ranked = sorted(planned.members.values(), key=lambda member: member.host)
    fitting = (member for member in ranked if loads[member.host] < bound)
    return next(fitting, ranked[0])


def _extend_sources(entry, last, uncertain):
    """Return the sources of a partition whose owner's journal was sealed."""
    if last < entry.since and not uncertain:
        return entry.sources
    sealed = JournalRange(
        entry.host, entry.incarnation, entry.since, last, entry.epoch, uncertain
    )
    return entry.sources + (sealed,)


def _share_evenly(assignment):
    """Return the partitions that each active member should own."""
    active = assignment.active
    if not active:
        return {}
    floor, rest = divmod(assignment.partitions, len(active))
    ordered = sorted(active, key=lambda m: (-assignment.loads[m.host], m.host))
    return {m.host: floor + (index < rest) for index, m in enumerate(ordered)}


def _keeps_sources(before, after):
    """Return whether a changed entry names all that its state is folded from."""
    added = after.sources[len(before.sources) :]
    extended = after.sources[: len(before.sources)] == before.sources
    owner_range = (before.host, before.incarnation, before.since, before.epoch)
    if extended and all(_key(source) == owner_range for source in added):
        return len(added) <= 1
    return len(after.sources) <= 1 and all(
        (source.host, source.incarnation, source.epoch)
        == (before.host, before.incarnation, before.epoch)
        and source.first >= before.since
        for source in after.sources
    )


def _key(source):
    return source.host, source.incarnation, source.first, source.epoch
