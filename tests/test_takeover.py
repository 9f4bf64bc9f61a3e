"""Tests of takeovers while the owner is paused at any step, and broken variants.

Each commit carries the next number. In every case, the state replayed by the
owner must contain the numbers in ascending order, each at most once, and all
acknowledged numbers.
"""

import asyncio
import itertools
import unittest

from sapphireyard.exceptions import SapphireyardError, StoreConflict, StoreUnavailable
from sapphireyard.journal.generated_records import ProgramEnded
from sapphireyard.journal.generated_replication import OfferAnswer
from sapphireyard.journal.journal import JournalService, name_segment
from sapphireyard.journal.tails import TailHolder
from sapphireyard.ownership import recovery
from sapphireyard.ownership.ownership import OwnershipService
from sapphireyard.ownership.recovery import Recovery
from standins.memory import HOLD_AFTER, HOLD_BEFORE, LOSE, MemoryStore
from tests.fleet import Fleet, RecordedPrograms, run_fleet

STEPS = 3
"""Number of journal calls at which the owner is paused, one per case."""


class RecordedFleet(Fleet):
    """A fleet with `RecordedPrograms` that keeps the acknowledged numbers."""

    programs_class = RecordedPrograms

    def __init__(self, store):
        super().__init__(store)
        self.counter = itertools.count(1)
        self.acknowledged = {}

    async def commit(self, runtime, partition, **options):
        """Commit the next number; return whether it was acknowledged."""
        number = next(self.counter)
        record = ProgramEnded("p", str(number))
        try:
            await runtime.journal.commit([record], partition=partition, **options)
        except SapphireyardError:
            return False
        runtime.programs.apply(partition, record)
        self.acknowledged.setdefault(partition, []).append(number)
        return True

    def check(self):
        """Assert that each partition has one owner, with a correct state."""
        for partition, acknowledged in self.acknowledged.items():
            owners = self.owners(partition)
            assert len(owners) == 1, f"{len(owners)} owners of {partition}"
            numbers = owners[0].programs.numbers[partition]
            assert numbers == sorted(set(numbers)), f"out of order: {numbers}"
            lost = set(acknowledged) - set(numbers)
            assert not lost, f"lost {lost} of {numbers}"


class UnsealedRecovery(Recovery):
    """A broken variant: takes over without sealing the journal."""

    async def _seal(self, host, incarnation, start, tails):
        end = await recovery._find_end(self.runtime.store, host, incarnation, start)
        if await self.runtime.store.get(name_segment(host, incarnation, end)) is None:
            return end - 1
        return end


class TaillessRecovery(Recovery):
    """A broken variant: takes over without collecting tails from peers."""

    async def _collect_tails(self, assignment, host, incarnation, tails):
        return


class SingleEpochOwnership(OwnershipService):
    """A broken variant: writes all records under the same epoch."""

    def check_owned(self, partition):
        super().check_owned(partition)
        return 0


class OptimisticJournal(JournalService):
    """A broken variant: takes every conflict for its own lost answer."""

    async def _store(self, name, value):
        try:
            await self.runtime.store.create(name, value)
        except (StoreConflict, StoreUnavailable):
            return


class RenumberingJournal(JournalService):
    """A broken variant: repeats an unanswered write under the next number."""

    async def _store(self, name, value):
        try:
            await self.runtime.store.create(name, value)
        except StoreUnavailable:
            self._writer.head.number += 1
            self._writer._next_number += 1
            raise


class UnfencedHolder(TailHolder):
    """A broken variant: accepts tails of a journal that is being sealed."""

    def collect(self, host, incarnation, *, after=0):
        answer = super().collect(host, incarnation, after=after)
        self._fenced.clear()
        return answer

    def keep_only(self, journals):
        pass


def make_broken(*, journal=None, ownership=None, recovery_class=None, holder=None):
    """Return a fleet class with one mechanism replaced."""

    class BrokenOwnership(ownership or OwnershipService):
        def __init__(self, runtime, **options):
            super().__init__(runtime, **options)
            if holder is not None:
                self._holder.__class__ = holder
            if recovery_class is not None:
                self.recovery = recovery_class(runtime, self._holder, self.assignments)

    class BrokenFleet(RecordedFleet):
        journal_class = journal or JournalService
        ownership_class = BrokenOwnership

    return BrokenFleet


async def race_takeover(fleet, victim, observers):
    """Let several hosts take over from one concurrently, with lost answers."""
    fleet.store.add_fault(LOSE, operation="update")
    fleet.store.add_fault(LOSE, operation="create", prefix="journal/")
    incarnation = victim.incarnation
    results = await asyncio.gather(
        *(
            fleet.runtimes[name].ownership.recovery.take_over(victim.host, incarnation)
            for name in observers
        ),
        return_exceptions=True,
    )
    for name in observers:
        await finish_takeover(fleet, victim, name)
    return results


async def finish_takeover(fleet, victim, observer):
    """Retry a takeover until it succeeds."""
    for _ in range(5):
        try:
            await fleet.runtimes[observer].ownership.recovery.take_over(
                victim.host, victim.incarnation
            )
            return
        except StoreUnavailable:
            continue


async def pause_owner(fleet, *, step, kind):
    """Pause the owner at one of its store calls, take over, then resume it."""
    old_owner = fleet.runtimes["b"]
    partition = old_owner.ownership.owned[0]
    await fleet.commit(old_owner, partition)
    old_owner.store = MemoryStore(shared=fleet.store)
    held = old_owner.store.add_fault(kind, prefix="journal/b/")
    old_owner.store.faults.insert(0, SkipFault(held, step))
    commits = [
        asyncio.ensure_future(fleet.commit(old_owner, partition)) for _ in range(3)
    ]
    await asyncio.wait(commits, timeout=0.02)
    fleet.network.cut.add("b")
    await race_takeover(fleet, old_owner, "ac")
    await fleet.sync()
    owner = next(
        runtime for runtime in fleet.owners(partition) if runtime is not old_owner
    )
    assert await fleet.commit(owner, partition)
    held.gate.set()
    held.count = 0
    await asyncio.gather(*commits)
    await fleet.commit(old_owner, partition)
    assert await fleet.commit(owner, partition)
    await replay_elsewhere(fleet, owner)
    fleet.check()


class SkipFault:
    """Lets the first calls that match a fault succeed."""

    def __init__(self, fault, calls):
        self._fault = fault
        self._calls = calls
        self.kind = ""

    def matches(self, operation, name):
        return self._calls > 0 and self._fault.matches(operation, name)

    def record_hit(self):
        self._calls -= 1


async def replay_elsewhere(fleet, owner):
    """Let another host take over, so that the owner's journal is replayed."""
    other = next(name for name in fleet.runtimes if name not in ("b", owner.host))
    await fleet.kill(owner.host)
    await fleet.runtimes[other].ownership.recovery.take_over(
        owner.host, owner.incarnation
    )
    await fleet.sync()


class PausedOwnerTest(unittest.IsolatedAsyncioTestCase):
    async def test_pause_at_each_step(self):
        for kind in (HOLD_BEFORE, HOLD_AFTER):
            for step in range(STEPS):
                with self.subTest(kind=kind, step=step):
                    await self.run_case(RecordedFleet, step, kind)

    async def run_case(self, fleet_class, step, kind):
        async with run_fleet(MemoryStore(), "abcd", fleet_class=fleet_class) as fleet:
            await pause_owner(fleet, step=step, kind=kind)

    BROKEN = {
        "unsealed": make_broken(recovery_class=UnsealedRecovery),
        "optimistic": make_broken(journal=OptimisticJournal),
    }

    async def test_broken_variants_fail(self):
        for name, fleet_class in self.BROKEN.items():
            with self.subTest(name):
                with self.assertRaises(AssertionError):
                    for kind in (HOLD_BEFORE, HOLD_AFTER):
                        for step in range(STEPS):
                            await self.run_case(fleet_class, step, kind)


class ReturningPartitionTest(unittest.IsolatedAsyncioTestCase):
    """A partition moves away, moves back and is then taken over."""

    async def run_case(self, fleet_class):
        async with run_fleet(MemoryStore(), "abc", fleet_class=fleet_class) as fleet:
            first, second = fleet.runtimes["a"], fleet.runtimes["b"]
            partition = first.ownership.owned[0]
            for source, target in ((first, second), (second, first)):
                assert await fleet.commit(source, partition)
                await self.move(fleet, partition, source, target)
            assert await fleet.commit(first, partition)
            await replay_elsewhere(fleet, first)
            fleet.check()

    async def move(self, fleet, partition, source, target):
        source.ownership._mover._offer = accept_offer(target)
        moved = await source.ownership._mover.move(
            [partition], target.host, quiesce_seconds=1
        )
        assert moved == 1
        await fleet.sync()

    async def test_sound(self):
        await self.run_case(RecordedFleet)

    async def test_broken_variant_fails(self):
        with self.assertRaises(AssertionError):
            await self.run_case(make_broken(ownership=SingleEpochOwnership))


def accept_offer(target):
    """Return an `_offer` that ignores the target's quota.

    Its lower bound of the next segment number is 1, so that records of the
    owner's two terms differ only in their epoch.
    """

    async def offer(partitions, name):
        return OfferAnswer(True, target.incarnation, 1)

    return offer


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers to journal writes are lost after the writes took effect."""

    async def run_case(self, fleet_class):
        async with run_fleet(MemoryStore(), "abc", fleet_class=fleet_class) as fleet:
            old_owner = fleet.runtimes["b"]
            partition = old_owner.ownership.owned[0]
            for _ in range(3):
                fleet.store.add_fault(LOSE, operation="create", prefix="journal/b")
                assert await fleet.commit(old_owner, partition)
            await fleet.kill("b")
            await finish_takeover(fleet, old_owner, "a")
            await fleet.sync()
            fleet.check()

    async def test_sound(self):
        await self.run_case(RecordedFleet)

    async def test_broken_variant_fails(self):
        with self.assertRaises(AssertionError):
            await self.run_case(make_broken(journal=RenumberingJournal))


class CutOffOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Only the owner is cut off from the store, and it is taken over."""

    async def run_case(self, fleet_class):
        async with run_fleet(MemoryStore(), "abcd", fleet_class=fleet_class) as fleet:
            old_owner = fleet.runtimes["b"]
            partition = old_owner.ownership.owned[0]
            old_owner.store = MemoryStore(shared=fleet.store)
            old_owner.store.unavailable = True
            assert await fleet.commit(old_owner, partition)
            await finish_takeover(fleet, old_owner, "c")
            old_owner.clock.now += 1
            late = asyncio.ensure_future(fleet.commit(old_owner, partition))
            await asyncio.wait([late], timeout=0.1)
            old_owner.store.unavailable = False
            await late
            await fleet.sync()
            fleet.check()

    async def test_sound(self):
        await self.run_case(RecordedFleet)

    BROKEN = {
        "tailless": make_broken(recovery_class=TaillessRecovery),
        "unfenced": make_broken(holder=UnfencedHolder),
    }

    async def test_broken_variants_fail(self):
        for name, fleet_class in self.BROKEN.items():
            with self.subTest(name), self.assertRaises(AssertionError):
                await self.run_case(fleet_class)
