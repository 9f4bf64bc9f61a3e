"""Seals the journals of dead hosts, takes over their partitions, replays them.

Any step may fail or be repeated, by one host or by several: a seal is a
segment that is created once, the assignment changes once, and reading changes
nothing.
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
"""Timeout of collecting tails from a peer."""

LISTED_SEGMENTS = 1000
"""Number of segment names listed at a time."""

TOKEN_BYTES = 8
"""Number of random bytes in a token."""


@dataclass
class CollectedTails:
    """Tails of one journal collected from members.

    Parameters
    ----------
    segments : dict
        Segment bytes by number.
    asked, unreachable : set of (str, int)
        Members that were asked and those that did not answer, as pairs of
        host and incarnation.
    """

    segments: dict
    asked: set
    unreachable: set

    def has_segments_after(self, last):
        """Return whether a tail contains segments after number `last`."""
        return any(number > last for number in self.segments)


async def seal_journal(store, host, incarnation, *, sealer, start=1, tails=None):
    """Seal a journal; return the number of its last segment.

    Parameters
    ----------
    start : int, optional
        All segments before this number are known to be stored.
    tails : dict, optional
        Segment bytes held by peers, by number; they are stored first.

    Raises
    ------
    StoreUnavailable
        The store did not answer; the call can be repeated.
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
    """Return the number of the last stored segment, or `start`.

    Old segments may have been deleted, but never the newest. The end is
    therefore found by listing names, not by probing for the first gap.
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
    runtime : Runtime
        Provides store, peers and programs.
    holder : TailHolder
        Tails held by this host.
    assignments : AssignmentStore
        The assignment in the store.
    """

    def __init__(self, runtime, holder, assignments):
        self.runtime = runtime
        self._holder = holder
        self._assignments = assignments
        self._members = MemberObjects(runtime.store)

    async def take_over(self, host, incarnation, *, version=None, replacement=None):
        """Seal a dead member's journal and reassign its partitions.

        Parameters
        ----------
        version : int, optional
            Version of its member object when it expired. If the object has
            changed since, nothing is done.
        replacement : Member, optional
            This incarnation, when it succeeds an earlier one of the same host.

        Returns
        -------
        Assignment
            The assignment in force.

        Raises
        ------
        StoreConflict
            The member is alive, or another host is taking over.
        StoreUnavailable
            The store did not answer; any host can retry.
        JournalSealed
            This host is not a member itself.
        """
        member = await self._members.read(host)
        if version is not None:
            if member.version != version:
                raise StoreConflict(
                    f"member object of {host} was renewed: "
                    f"version {member.version}, not {version}"
                )
            if member.version:
                await self._members.mark_sealed(member, self.runtime.host)
        start = 1
        if member.record.incarnation == incarnation:
            start = member.record.stored_number + 1
        tails = CollectedTails({}, set(), set())
        while True:
            old = await self._assignments.read()
            if old is None or not old.has_member(host, incarnation):
                return old
            if replacement is None and not old.has_member(
                self.runtime.host, self.runtime.incarnation
            ):
                raise JournalSealed(
                    f"{self.runtime.host}/{self.runtime.incarnation} is not a member, "
                    f"so it cannot take over from {host}/{incarnation}"
                )
            await self._collect_tails(old, host, incarnation, tails)
            last = await self._seal(host, incarnation, start, tails.segments)
            new = await self._plan(
                old,
                host,
                last=last,
                replacement=replacement,
                uncertain=bool(tails.unreachable) or tails.has_segments_after(last),
            )
            if await self._assignments.write(old, new):
                return new

    async def replay(self, assignment, partitions):
        """Replay the sources of partitions; yield each partition when done.

        Calls left open by earlier owners are settled, and the resulting
        records committed, before a partition is yielded. Partitions that were
        not yielded when an error occurred can be replayed again.

        Parameters
        ----------
        partitions : sequence of int
            Partitions that this host owns in `assignment`.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        RecordError
            A source is missing or damaged.
        JournalSealed
            This host no longer owns anything.
        """
        records = {}
        for journal, wanted in _group_sources(assignment, partitions).items():
            records[journal] = await self._read_journal(journal, wanted)
        for partition in partitions:
            entry = assignment.entries[partition]
            self.runtime.programs.drop(partition)
            for source in entry.sources:
                placed = records[source.host, source.incarnation].get(partition, ())
                for item in select_records(source, placed):
                    place = CallSource(*source[:2], item.first, item.number)
                    self.runtime.programs.apply(partition, item.record, source=place)
            await self._settle(partition, entry)
            yield partition

    async def _seal(self, host, incarnation, start, tails):
        return await seal_journal(
            self.runtime.store,
            host,
            incarnation,
            sealer=self.runtime.host,
            start=start,
            tails=tails,
        )

    async def _settle(self, partition, entry):
        settled = self.runtime.programs.finish_recovery(
            partition, tail_uncertain=any(source.uncertain for source in entry.sources)
        )
        if settled:
            await self.runtime.journal.commit(settled, partition=partition)

    async def _read_journal(self, journal, ranges):
        """Return lists of `PlacedRecord` by partition.

        The lists contain the records from the first to the last segment of
        all ranges; `select_records` picks those of one range.
        """
        wanted = {partition for partition, _ in ranges}
        first = min(source.first for _, source in ranges)
        last = max(source.last for _, source in ranges)
        assembler, placed = RecordAssembler(), defaultdict(list)
        span = JournalRange(*journal, first, last)
        async for segment in read_range(self.runtime.store, span):
            for record in assembler.feed(segment, partitions=wanted):
                placed[record.partition].append(record)
        return placed

    async def _collect_tails(self, assignment, host, incarnation, tails):
        """Collect tails from the members that were not asked yet."""
        members = {m.host: m.incarnation for m in assignment.members.values()}
        members.pop(host, None)
        unasked = set(members.items()) - tails.asked
        answers = await asyncio.gather(
            *(self._ask_tails(name, host, incarnation) for name, _ in unasked)
        )
        for member, answer in zip(unasked, answers):
            tails.asked.add(member)
            if answer is None:
                tails.unreachable.add(member)
                continue
            for segment in answer:
                tails.segments.setdefault(segment.number, segment.value)

    async def _ask_tails(self, member, host, incarnation):
        """Return the segments that a member holds, or None if it is unreachable."""
        segments, more = [], True
        while more:
            after = segments[-1].number if segments else 0
            if member == self.runtime.host:
                found, more = self._holder.collect(host, incarnation, after=after)
            else:
                message = CollectTails(host, incarnation, after)
                try:
                    answer = await self.runtime.peers.ask(
                        member, message, timeout=COLLECT_SECONDS
                    )
                except (PeerError, CallError):
                    return None
                found, more = answer.segments, answer.more
            segments += found
        return segments

    async def _plan(self, old, host, **options):
        """Return the assignment after a takeover.

        The segments that the new owners' member objects show as stored are
        lower bounds: records of the new epoch can only follow them.
        """
        draft = plan_takeover(old, host, **options)
        new_owners = {draft.entries[partition].host for partition in old.owned_by(host)}
        new_owners = [
            draft.members[new_owner] for new_owner in new_owners if new_owner != host
        ]
        found = await asyncio.gather(*(self._members.read(t.host) for t in new_owners))
        journal_next = {
            new_owner.host: stored.record.stored_number + 1
            for new_owner, stored in zip(new_owners, found)
            if stored.record.incarnation == new_owner.incarnation
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
