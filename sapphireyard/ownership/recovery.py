"""Seals the journals of dead hosts, takes their partitions over and folds them.

Each step can fail or be done twice, by one host or by several: a seal is a
segment made once, the assignment changes once, and reading changes nothing.
"""

import asyncio
import secrets
from collections import defaultdict
from dataclasses import dataclass

from sapphireyard.exceptions import CallError, JournalSealed, PeerError, StoreConflict
from sapphireyard.journal.generated_records import CallSource
from sapphireyard.journal.generated_replication import CollectTails
from sapphireyard.journal.journal import (
    NUMBER_DIGITS,
    JournalRange,
    name_segment,
    read_range,
)
from sapphireyard.journal.records import RecordAssembler, pack_segment, unpack_segment
from sapphireyard.ownership.assignment import plan_takeover
from sapphireyard.ownership.members import MemberObjects

COLLECT_SECONDS = 3.0
"""Time for a peer to give the tails it holds."""

LISTED_SEGMENTS = 1000
"""Names of segments listed at a time."""

TOKEN_BYTES = 8
"""Random bytes of a token."""


@dataclass
class CollectedTails:
    """What members gave when asked for the tails of one journal."""

    segments: dict
    asked: set
    unreachable: set

    def beyond(self, last):
        """Return whether a tail is longer than the sealed journal."""
        return any(number > last for number in self.segments)


async def seal_journal(store, host, incarnation, *, sealer, start=1, tails=None):
    """Seal a journal; return the number of its last segment.

    Parameters
    ----------
    start : int, optional
        All segments before this number are known to be stored.
    tails : dict, optional
        Bytes of segments by number that peers hold; they are stored first.

    Raises
    ------
    StoreUnavailable
        The store did not answer; call again.
    """
    number = await _find_end(store, host, incarnation, start)
    while True:
        name = name_segment(host, incarnation, number)
        stored = await store.get(name)
        if stored is not None:
            if unpack_segment(stored.value).seal:
                return number - 1
            number += 1
            continue
        value = (tails or {}).get(number)
        if value is None:
            value = _pack_seal(host, incarnation, number, sealer)
        try:
            await store.create(name, value)
        except StoreConflict:
            continue


async def _find_end(store, host, incarnation, start):
    """Return the number of the last segment stored, or `start`.

    Old segments may have been deleted, but never the newest, so the end is
    sought by name and not by probing for the first that is missing.
    """
    prefix = name_segment(host, incarnation, 0).removesuffix("0" * NUMBER_DIGITS)
    after, number = name_segment(host, incarnation, start - 1), start
    while True:
        page = await store.list(prefix, after=after, limit=LISTED_SEGMENTS)
        if not page:
            return number
        after = page[-1][0]
        number = int(after.removeprefix(prefix))


class Recovery:
    """Takes over from other hosts.

    Parameters
    ----------
    yard : Yard
        Gives store, peers and programs.
    holder : TailHolder
        The tails held by this host.
    assignments : AssignmentStore
        The assignment in the store.
    """

    def __init__(self, yard, holder, assignments):
        self.yard = yard
        self._holder = holder
        self._assignments = assignments
        self._members = MemberObjects(yard.store)

    async def take_over(self, host, incarnation, *, version=None, heir=None):
        """Seal a dead member and give its partitions to others.

        Parameters
        ----------
        version : int, optional
            Version of its member object when it expired; when the object was
            changed since, nothing is done.
        heir : Member, optional
            The next incarnation of the same host, which is this one.

        Returns
        -------
        Assignment
            The assignment in force.

        Raises
        ------
        StoreConflict
            The member lives, or another host is at it.
        StoreUnavailable
            The store did not answer; any host may try again.
        JournalSealed
            This host is no member itself.
        """
        member = await self._members.read(host)
        if version is not None:
            if member.version != version:
                raise StoreConflict(f"member {host} was renewed")
            if member.version:
                await self._members.mark_sealed(member, self.yard.host)
        start = 1
        if member.record.incarnation == incarnation:
            start = member.record.stored_number + 1
        tails = CollectedTails({}, set(), set())
        while True:
            old = await self._assignments.read()
            if old is None or not old.has_member(host, incarnation):
                return old
            if heir is None and not old.has_member(
                self.yard.host, self.yard.incarnation
            ):
                raise JournalSealed("only a member takes over")
            await self._collect_tails(old, host, incarnation, tails)
            last = await self._seal(host, incarnation, start, tails.segments)
            new = await self._plan(
                old,
                host,
                last=last,
                heir=heir,
                uncertain=bool(tails.unreachable) or tails.beyond(last),
            )
            if await self._assignments.write(old, new):
                return new

    async def fold(self, assignment, partitions):
        """Yield partitions once their programs are at their state.

        What earlier owners left open is settled, and the records of that are
        committed, before a partition is yielded. Partitions that were not
        yielded when an error came can be folded again.

        Parameters
        ----------
        partitions : sequence of int
            Partitions owned by this host since `assignment`.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        RecordError
            A source is missing or damaged.
        JournalSealed
            This host owns nothing more.
        """
        records = {}
        for journal, wanted in _group_sources(assignment, partitions).items():
            records[journal] = await self._read_journal(journal, wanted)
        for partition in partitions:
            entry = assignment.entries[partition]
            self.yard.programs.drop(partition)
            for source in entry.sources:
                placed = records[source.host, source.incarnation].get(partition, ())
                for item in select_records(source, placed):
                    place = CallSource(*source[:2], item.first, item.number)
                    self.yard.programs.apply(partition, item.record, source=place)
            await self._settle(partition, entry)
            yield partition

    async def _seal(self, host, incarnation, start, tails):
        return await seal_journal(
            self.yard.store,
            host,
            incarnation,
            sealer=self.yard.host,
            start=start,
            tails=tails,
        )

    async def _settle(self, partition, entry):
        settled = self.yard.programs.finish_recovery(
            partition, tail_uncertain=any(source.uncertain for source in entry.sources)
        )
        if settled:
            await self.yard.journal.commit(settled, partition=partition)

    async def _read_journal(self, journal, ranges):
        """Return `PlacedRecord` lists by partition from the ranges wanted."""
        wanted = {partition for partition, _ in ranges}
        first = min(source.first for _, source in ranges)
        last = max(source.last for _, source in ranges)
        assembler, placed = RecordAssembler(), defaultdict(list)
        span = JournalRange(*journal, first, last)
        async for segment in read_range(self.yard.store, span):
            for record in assembler.feed(segment, partitions=wanted):
                placed[record.partition].append(record)
        return placed

    async def _collect_tails(self, assignment, host, incarnation, tails):
        """Ask the members that were not asked yet."""
        members = {m.host: m.incarnation for m in assignment.members.values()}
        members.pop(host, None)
        fresh = set(members.items()) - tails.asked
        answers = await asyncio.gather(
            *(self._ask_tails(name, host, incarnation) for name, _ in fresh)
        )
        for member, answer in zip(fresh, answers):
            tails.asked.add(member)
            if answer is None:
                tails.unreachable.add(member)
                continue
            for segment in answer:
                tails.segments.setdefault(segment.number, segment.value)

    async def _ask_tails(self, member, host, incarnation):
        """Return the segments that a member holds, or None."""
        segments, more = [], True
        while more:
            after = segments[-1].number if segments else 0
            if member == self.yard.host:
                found, more = self._holder.collect(host, incarnation, after=after)
            else:
                message = CollectTails(host, incarnation, after)
                try:
                    answer = await self.yard.peers.ask(
                        member, message, timeout=COLLECT_SECONDS
                    )
                except (PeerError, CallError):
                    return None
                found, more = answer.segments, answer.more
            segments += found
        return segments

    async def _plan(self, old, host, **options):
        """Return the takeover, with the least next numbers of the takers."""
        draft = plan_takeover(old, host, **options)
        takers = {draft.entries[partition].host for partition in old.owned_by(host)}
        takers = [draft.members[taker] for taker in takers if taker != host]
        found = await asyncio.gather(*(self._members.read(t.host) for t in takers))
        journal_next = {
            taker.host: stored.record.stored_number + 1
            for taker, stored in zip(takers, found)
            if stored.record.incarnation == taker.incarnation
        }
        return plan_takeover(old, host, journal_next=journal_next, **options)


def select_records(source, placed):
    """Yield the `PlacedRecord` items of one partition that belong to a source."""
    for item in placed:
        if not source.first <= item.number <= source.last:
            continue
        if source.epoch in (0, item.epoch):
            yield item


def _group_sources(assignment, partitions):
    """Return lists of (partition, range) by journal (host, incarnation)."""
    sources = defaultdict(list)
    for partition in partitions:
        for source in assignment.entries[partition].sources:
            sources[source.host, source.incarnation].append((partition, source))
    return sources


def _pack_seal(host, incarnation, number, sealer):
    return pack_segment(
        host=host,
        incarnation=incarnation,
        number=number,
        token=secrets.token_hex(TOKEN_BYTES),
        records=[],
        seal=sealer,
    )
