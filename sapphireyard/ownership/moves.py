"""Hands partitions over to other hosts, with snapshots of their state."""

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
"""Number of partitions moved at a time."""

QUIESCE_SECONDS = 2.0
"""Longest wait for running calls of a partition that is moved for balance."""

COMPACT_QUIESCE_SECONDS = 0.02
"""Longest wait for running calls of a partition that is compacted."""

OFFER_SECONDS = 2.0
"""Timeout of an offer to a peer."""

COMPACT_SOURCES = 2
"""Lowest number of sources of a partition that is compacted."""

COMPACT_SEGMENTS = 300
"""Number of this host's segments since a partition's entry changed beyond which
the partition is compacted."""


class PartitionMover:
    """Moves partitions that this host owns.

    Parameters
    ----------
    runtime : Runtime
        Provides programs, journal, peers and ownership.
    assignments : AssignmentStore
        The assignment in the store.
    """

    def __init__(self, runtime, assignments):
        self.runtime = runtime
        self._assignments = assignments
        self._moving = set()
        self._claimed = set()

    @property
    def moving(self):
        """set of int: Partitions that accept no commits except the mover's."""
        return self._moving

    async def balance(self, *, limit=MOVE_PARTITIONS, quiesce_seconds=QUIESCE_SECONDS):
        """Move partitions to even out the load; return how many were moved."""
        ownership = self.runtime.ownership
        moves = plan_moves(ownership.assignment, self.runtime.host, limit=limit)
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
        """Replace the sources of some partitions by snapshots.

        Only idle partitions are compacted: those with calls that do not end
        within `COMPACT_QUIESCE_SECONDS` are skipped. Returns the number of
        partitions compacted.
        """
        ownership = self.runtime.ownership
        due = [
            partition
            for partition in ownership.owned
            if ownership.is_ready(partition) and self._is_compaction_due(partition)
        ]
        if not due:
            return 0
        return await self.move(
            due[:MOVE_PARTITIONS],
            self.runtime.host,
            quiesce_seconds=COMPACT_QUIESCE_SECONDS,
        )

    async def move(self, partitions, target, *, quiesce_seconds):
        """Hand partitions over to `target`; return how many were handed over.

        A failure before the assignment is written changes nothing. Once the
        write is attempted, it is retried until its outcome is known, and the
        partitions accept no commits until then.

        Parameters
        ----------
        target : str
            The new owner; this host itself to replace only the sources.
        """
        claimed = [p for p in partitions if p not in self._claimed]
        self._claimed.update(claimed)
        try:
            return await self._move_claimed(claimed, target, quiesce_seconds)
        finally:
            self._claimed.difference_update(claimed)

    async def _move_claimed(self, partitions, target, quiesce_seconds):
        """Hand over partitions that no other move is handing over."""
        if not partitions:
            return 0
        offer = await self._offer(partitions, target)
        if not offer.accepted:
            return 0
        quiesced = await self._quiesce(partitions, quiesce_seconds)
        if not quiesced:
            return 0
        self._moving.update(quiesced)
        moved = 0
        try:
            snapshots, expected = await self._write_snapshots(quiesced)
            if expected:
                moved = len(await self._write_move(expected, target, snapshots, offer))
        except (StoreUnavailable, JournalSealed) as error:
            logger.warning("move to %s abandoned: %s", target, error)
        self._moving.difference_update(quiesced)
        for partition in quiesced:
            await self.runtime.programs.resume(partition)
        return moved

    async def _offer(self, partitions, target):
        """Return the `OfferAnswer` of the target."""
        if target == self.runtime.host:
            return OfferAnswer(True, self.runtime.incarnation)
        message = OfferPartitions(partitions)
        try:
            return await self.runtime.peers.ask(target, message, timeout=OFFER_SECONDS)
        except (PeerError, CallError) as error:
            logger.info("offer to %s failed: %s", target, error)
            return OfferAnswer(False)

    async def _quiesce(self, partitions, seconds):
        """Hold back new calls; return the partitions whose calls ended in time."""
        results = await asyncio.gather(
            *(self._quiesce_one(partition, seconds) for partition in partitions)
        )
        return [p for p, quiesced in zip(partitions, results) if quiesced]

    async def _quiesce_one(self, partition, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self.runtime.programs.quiesce(partition)
        except TimeoutError:
            await self.runtime.programs.resume(partition)
            return False
        return True

    async def _write_snapshots(self, partitions):
        """Commit snapshots of the partitions that this host still serves.

        Waits for earlier commits first, since their records are lost to the
        new owner unless the snapshots include them. Partitions that were given up
        meanwhile are left out: their programs are gone from this host's memory.

        Returns
        -------
        snapshots : dict
            `JournalRange` of each snapshot by partition; partitions without programs
            are absent.
        expected : dict
            The `PartitionEntry` that each snapshot replaces, by partition.
        """
        await self.runtime.journal.barrier()
        ownership = self.runtime.ownership
        expected = {
            partition: ownership.assignment.entries[partition]
            for partition in partitions
            if ownership.is_ready(partition)
        }
        if given_up := [p for p in partitions if p not in expected]:
            logger.warning(
                "partitions were given up while they were to be moved",
                extra={"decision": "move", "partitions": given_up},
            )
        commits = {}
        for partition, entry in expected.items():
            records = self.runtime.programs.snapshot(partition)
            if records:
                commits[partition] = self.runtime.journal.commit(
                    records, partition=partition, needs_store=True, epoch=entry.epoch
                )
        positions = await asyncio.gather(*commits.values())
        snapshots = {
            partition: JournalRange(
                position.host,
                position.incarnation,
                position.first,
                position.number,
                expected[partition].epoch,
                any(source.uncertain for source in expected[partition].sources),
            )
            for partition, position in zip(commits, positions)
        }
        return snapshots, expected

    async def _write_move(self, expected, target, snapshots, offer):
        """Assign partitions whose entries are as expected; return those that were.

        A move that took effect, but was followed by other changes before its answer
        came, counts as none: its partitions are recovered like any others.
        """
        written = []
        since = offer.journal_next
        if target == self.runtime.host:
            since = self.runtime.journal.next_number

        def plan(assignment):
            written.clear()
            if not assignment.has_member(target, offer.incarnation):
                return None
            written.extend(p for p in expected if assignment.entries[p] == expected[p])
            if not written:
                return None
            new_owner = assignment.members[target]
            return plan_move(
                assignment, written, new_owner, snapshots=snapshots, since=since
            )

        assignment = await self._assignments.change(plan)
        if target == self.runtime.host:
            for partition in written:
                self.runtime.ownership.record_compaction(partition, assignment)
        self.runtime.ownership.adopt(assignment)
        for partition in written:
            entry = assignment.entries[partition]
            logger.info(
                "partition handed over",
                extra={
                    "decision": "move",
                    "partition": partition,
                    "target": target,
                    "epoch_before": expected[partition].epoch,
                    "epoch": entry.epoch,
                    "owner": entry.host,
                    "sources": len(entry.sources),
                    "snapshot": snapshots.get(partition),
                },
            )
        return written

    def _is_compaction_due(self, partition):
        entry = self.runtime.ownership.assignment.entries[partition]
        segment_count = self.runtime.journal.next_number - entry.since
        return len(entry.sources) >= COMPACT_SOURCES or segment_count > COMPACT_SEGMENTS
