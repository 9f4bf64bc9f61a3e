"""Planned moves: hands partitions over to other hosts, with snapshots."""

import asyncio
import logging

from sapphireyard.exceptions import (
    CallError,
    JournalSealed,
    PeerError,
    StoreUnavailable,
)
from sapphireyard.journal.generated_replication import OfferAnswer, OfferPartitions
from sapphireyard.journal.journal import JournalRange
from sapphireyard.ownership.assignment import plan_move, plan_moves

logger = logging.getLogger(__name__)

MOVE_PARTITIONS = 8
"""Partitions moved at a time."""

QUIESCE_SECONDS = 2.0
"""Longest wait for the running calls of a partition that is moved for balance."""

IDLE_SECONDS = 0.02
"""Longest wait for the running calls of a partition that is compacted."""

OFFER_SECONDS = 2.0
"""Time for a peer to answer an offer."""

COMPACT_SOURCES = 2
"""Sources from which on a partition is compacted."""

COMPACT_SEGMENTS = 300
"""Segments of the own journal after which a partition is compacted."""


class PartitionMover:
    """Moves partitions that this host owns.

    Parameters
    ----------
    yard : Yard
        Gives programs, journal, peers and ownership.
    assignments : AssignmentStore
        The assignment in the store.
    """

    def __init__(self, yard, assignments):
        self.yard = yard
        self._assignments = assignments
        self._moving = set()

    @property
    def moving(self):
        """set of int: Partitions that take no commits but the mover's."""
        return self._moving

    async def balance(self, *, limit=MOVE_PARTITIONS, quiesce_seconds=QUIESCE_SECONDS):
        """Make the next moves for an even load; return how many were made."""
        ownership = self.yard.ownership
        moves = plan_moves(ownership.assignment, self.yard.host, limit=limit)
        targets = {}
        for move in moves:
            if ownership.is_ready(move.partition):
                targets.setdefault(move.target, []).append(move.partition)
        moved = 0
        for target, partitions in targets.items():
            moved += await self.move(
                partitions, target, quiesce_seconds=quiesce_seconds
            )
        return moved

    async def compact(self):
        """Replace long sources of some idle partitions by snapshots."""
        ownership = self.yard.ownership
        due = [
            partition
            for partition in ownership.owned
            if ownership.is_ready(partition) and self._is_compaction_due(partition)
        ]
        if not due:
            return 0
        return await self.move(
            due[:MOVE_PARTITIONS], self.yard.host, quiesce_seconds=IDLE_SECONDS
        )

    async def move(self, partitions, target, *, quiesce_seconds):
        """Hand partitions to `target`; return how many were handed over.

        Until the assignment is written a failure leaves all as it was; from
        then on the move goes forward, and the partitions wait for it.

        Parameters
        ----------
        target : str
            A member; this host itself to replace only the sources.
        """
        offer = await self._offer(partitions, target)
        if not offer.accepted:
            return 0
        quiet = await self._quiesce(partitions, quiesce_seconds)
        if not quiet:
            return 0
        self._moving.update(quiet)
        moved = len(quiet)
        try:
            snapshots = await self._write_snapshots(quiet)
            await self._write_move(quiet, target, snapshots, offer)
        except (StoreUnavailable, JournalSealed) as error:
            logger.warning("move to %s given up: %s", target, error)
            moved = 0
        self._moving.difference_update(quiet)
        for partition in quiet:
            await self.yard.programs.resume(partition)
        return moved

    async def _offer(self, partitions, target):
        """Return the `OfferAnswer` of the target."""
        if target == self.yard.host:
            return OfferAnswer(True, self.yard.incarnation)
        message = OfferPartitions(partitions)
        try:
            return await self.yard.peers.ask(target, message, timeout=OFFER_SECONDS)
        except (PeerError, CallError) as error:
            logger.info("offer to %s failed: %s", target, error)
            return OfferAnswer(False)

    async def _quiesce(self, partitions, seconds):
        """Hold partitions; return those that became quiet in time."""
        results = await asyncio.gather(
            *(self._quiesce_one(partition, seconds) for partition in partitions)
        )
        return [p for p, quiet in zip(partitions, results) if quiet]

    async def _quiesce_one(self, partition, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self.yard.programs.quiesce(partition)
        except TimeoutError:
            await self.yard.programs.resume(partition)
            return False
        return True

    async def _write_snapshots(self, partitions):
        """Commit the state of partitions; return the ranges by partition.

        Commits begun before are waited for first: their records count only
        when they are part of the snapshots.
        """
        await self.yard.journal.barrier()
        entries = self.yard.ownership.assignment.entries
        commits = {}
        for partition in partitions:
            records = self.yard.programs.snapshot(partition)
            if records:
                commits[partition] = self.yard.journal.commit(
                    records,
                    partition=partition,
                    needs_store=True,
                    epoch=entries[partition].epoch,
                )
        positions = await asyncio.gather(*commits.values())
        return {
            partition: JournalRange(
                position.host,
                position.incarnation,
                position.first,
                position.number,
                entries[partition].epoch,
                any(source.uncertain for source in entries[partition].sources),
            )
            for partition, position in zip(commits, positions)
        }

    async def _write_move(self, partitions, target, snapshots, offer):
        old = self.yard.ownership.assignment
        held = {partition: old.entries[partition] for partition in partitions}
        since = offer.journal_next
        if target == self.yard.host:
            since = self.yard.journal.next_number

        def plan(assignment):
            if not assignment.has_member(target, offer.incarnation):
                return None
            left = [p for p in partitions if assignment.entries[p] == held[p]]
            if not left:
                return None
            taker = assignment.members[target]
            return plan_move(assignment, left, taker, snapshots=snapshots, since=since)

        assignment = await self._assignments.change(plan)
        if target == self.yard.host:
            for partition in partitions:
                self.yard.ownership.record_compaction(partition, assignment)
        self.yard.ownership.adopt(assignment)

    def _is_compaction_due(self, partition):
        entry = self.yard.ownership.assignment.entries[partition]
        distance = self.yard.journal.next_number - entry.since
        return len(entry.sources) >= COMPACT_SOURCES or distance > COMPACT_SEGMENTS
