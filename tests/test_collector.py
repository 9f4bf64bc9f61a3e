"""Tests of the deletion of unneeded journal segments."""

import unittest
from types import SimpleNamespace

from sapphireyard.journal.collector import (
    CollectorService,
    choose_candidates,
    find_needed,
    parse_segment,
)
from sapphireyard.journal.journal import name_segment
from standins.memory import MemoryStore
from tests.fleet import run_fleet
from tests.test_ownership import open_programs

BEYOND_RETENTION_SECONDS = 10 * 86400.0


def segment_names(host, incarnation, first, last):
    return [name_segment(host, incarnation, n) for n in range(first, last + 1)]


class CandidatesTest(unittest.TestCase):
    CASES = [
        (
            "needed from segment 3 on",
            {("a", 1): 3},
            segment_names("a", 1, 1, 5),
            [1, 2],
        ),
        ("all needed", {("a", 1): 1}, segment_names("a", 1, 1, 5), []),
        (
            "not needed: the newest is kept",
            {},
            segment_names("a", 1, 1, 5),
            [1, 2, 3, 4],
        ),
        ("a single segment is kept", {}, segment_names("a", 1, 7, 7), []),
        ("malformed names", {}, ["journal/a/x/1", "journal/a"], []),
    ]

    def test_candidates(self):
        for name, needed, listed, expected in self.CASES:
            with self.subTest(name):
                chosen = choose_candidates(listed, needed)
                numbers = [parse_segment(each).number for each in chosen]
                self.assertEqual(numbers, expected)

    def test_newest_segment_of_each_journal_is_kept(self):
        listed = sorted([*segment_names("a", 1, 1, 2), *segment_names("a", 10, 1, 2)])
        self.assertEqual(
            choose_candidates(listed, {}),
            [name_segment("a", 1, 1), name_segment("a", 10, 1)],
        )


class SweepTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    def build(self, runtime, **options):
        runtime.configuration = SimpleNamespace(current=None)
        return CollectorService(runtime, **options)

    def stored(self):
        listed = [each.name for each in self.store.objects]
        return [name for name in listed if name.startswith("journal/")]

    async def sweep(self, runtime, page=50):
        collector = self.build(runtime, page=page)
        for _ in range(20):
            await collector.sweep_page()

    async def test_recent_segments_are_kept(self):
        async with run_fleet(self.store, "a") as fleet:
            await open_programs(fleet)
            before = self.stored()
            await self.sweep(fleet.runtimes["a"])
            self.assertEqual(self.stored(), before)

    async def test_old_segments_are_deleted_and_programs_kept(self):
        for page in (2, 3, 50):
            with self.subTest(page=page):
                self.setUp()
                async with run_fleet(self.store, "a") as fleet:
                    keys = await open_programs(fleet)
                    await fleet.add("b")
                    await fleet.rebalance()
                    await fleet.kill("a")
                    await fleet.expire("a", by="b")
                    await fleet.sync()
                    survivor = fleet.runtimes["b"]
                    await survivor.ownership._mover.move(
                        survivor.ownership.owned, "b", quiesce_seconds=1
                    )
                    survivor.clock.now += BEYOND_RETENTION_SECONDS
                    before = self.stored()
                    await self.sweep(survivor, page)
                    self.assertLess(len(self.stored()), len(before))
                    await fleet.kill("b")
                    await fleet.add("c")
                    await fleet.expire("b", by="c")
                    await fleet.sync()
                    successor = fleet.runtimes["c"]
                    for key in keys:
                        partition = successor.ownership.locate(key).partition
                        self.assertIsNotNone(successor.programs.get(partition, key))

    async def test_seal_of_a_dead_journal_is_kept(self):
        async with run_fleet(self.store, "ab") as fleet:
            await open_programs(fleet)
            paused = fleet.pause("a")
            await fleet.expire("a", by="b")
            await fleet.sync()
            survivor = fleet.runtimes["b"]
            survivor.clock.now += BEYOND_RETENTION_SECONDS
            last = max(name for name in self.stored() if "/a/" in name)
            await self.sweep(survivor)
            self.assertIn(last, self.stored())
            self.assertFalse(paused.journal.sealed)

    async def test_first_assignment_needs_all_segments(self):
        async with run_fleet(self.store, "a") as fleet:
            assignment = fleet.runtimes["a"].ownership.assignment
            self.assertEqual(find_needed(assignment), {("a", 1): 1})
