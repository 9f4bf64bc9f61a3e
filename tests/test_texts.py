"""Tests of texts that are evicted from memory and loaded again."""

import unittest

from sapphireyard.exceptions import CallError
from sapphireyard.journal.generated_records import (
    CallCompleted,
    CallSource,
    ProgramOpened,
)
from sapphireyard.programs.texts import COMPACTION_MIN_SEGMENTS, TextCache, TextService
from standins.memory import MemoryStore
from tests.fleet import run_fleet

KEY = "customer/program"
FEW = COMPACTION_MIN_SEGMENTS - 1
MANY = COMPACTION_MIN_SEGMENTS * 3


class TextCacheTest(unittest.TestCase):
    CASES = [
        ("all fit", 100, 5.0, []),
        ("too much text", 25, 5.0, ["a"]),
        ("far too much", 0, 5.0, ["a", "b", "c"]),
        ("the first is idle", 100, 10.0, ["a"]),
        ("all are idle", 100, 60.0, ["a", "b", "c"]),
    ]

    def test_longest_idle_are_evicted_first(self):
        for name, limit, now, expected in self.CASES:
            with self.subTest(name):
                cache = TextCache(limit, idle_seconds=10.0)
                for at, key in enumerate("abc"):
                    cache.touch(0, key, 10, float(at))
                self.assertEqual(
                    [key for _, key in cache.find_evictable(now)], expected
                )

    def test_bytes_are_counted_once(self):
        cache = TextCache(100)
        for size in (5, 7, 9):
            cache.touch(0, "a", size, 0.0)
        self.assertEqual(cache.bytes, 9)
        cache.remove(0, "a")
        cache.remove(0, "a")
        self.assertEqual((cache.bytes, len(cache)), (0, 0))


async def complete(runtime, partition, sequence):
    """Commit and apply one completed call, as `Reservations` does."""
    record = CallCompleted(
        program=KEY,
        sequence=sequence,
        digest=f"d{sequence}",
        status=200,
        request=f'{{"messages":[{{"role":"user","content":"q{sequence}"}}]}}',
        answer=f'{{"choices":[{{"message":{{"content":"a{sequence}"}}}}]}}',
        tokens=sequence,
        route="guide",
        repeatable=True,
        is_model=True,
    )
    position = await runtime.journal.commit([record], partition=partition)
    runtime.programs.apply(partition, record, source=CallSource(*position))
    return record


async def open_program(runtime, calls):
    """Open the program and complete `calls` calls; return partition and records."""
    runtime.texts = TextService(runtime)
    partition = runtime.ownership.locate(KEY).partition
    opened = ProgramOpened(KEY, KEY, 1.0)
    await runtime.journal.commit([opened], partition=partition)
    runtime.programs.apply(partition, opened)
    records = [await complete(runtime, partition, n + 1) for n in range(calls)]
    return partition, records


class TextServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    def check_texts(self, program, records):
        for record in records:
            call = program.calls[record.sequence]
            self.assertEqual(call.request, record.request)
            self.assertEqual(call.answer, record.answer)

    async def test_evicted_texts_can_be_loaded(self):
        for calls in (1, FEW, MANY):
            with self.subTest(calls=calls):
                self.setUp()
                async with run_fleet(self.store, "a") as fleet:
                    runtime = fleet.runtimes["a"]
                    partition, records = await open_program(runtime, calls)
                    program = runtime.programs.get(partition, KEY)
                    await runtime.texts._evict(partition, KEY)
                    self.assertEqual(program.text_bytes, 0)
                    await runtime.texts.load(partition, program)
                    self.check_texts(program, records)

    async def test_scattered_texts_are_compacted(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            partition, _ = await open_program(runtime, MANY)
            program = runtime.programs.get(partition, KEY)
            await runtime.texts._evict(partition, KEY)
            places = {call.source.last for call in program.calls.values()}
            self.assertEqual(len(places), 1)
            before = self.store.calls["get"]
            await runtime.texts.load(partition, program)
            self.assertEqual(self.store.calls["get"] - before, 1)

    async def test_new_owner_recovers_the_program_and_loads_its_texts(self):
        for evicted in (False, True):
            with self.subTest(evicted=evicted):
                self.setUp()
                async with run_fleet(self.store, "ab") as fleet:
                    await fleet.rebalance()
                    owner = fleet.runtimes["a"].ownership.locate(KEY).host
                    other = "b" if owner == "a" else "a"
                    runtime = fleet.runtimes[owner]
                    partition, records = await open_program(runtime, MANY)
                    if evicted:
                        await runtime.texts._evict(partition, KEY)
                    await fleet.kill(owner)
                    await fleet.expire(owner, by=other)
                    await fleet.sync()
                    new_owner = fleet.runtimes[other]
                    new_owner.texts = TextService(new_owner)
                    program = new_owner.programs.get(partition, KEY)
                    self.assertEqual(len(program.calls), MANY)
                    await new_owner.texts.load(partition, program)
                    self.check_texts(program, records)

    async def test_snapshots_reference_texts_instead_of_copying_them(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            partition, _ = await open_program(runtime, FEW)
            (snapshot,) = runtime.programs.snapshot(partition)
            self.assertEqual({call.answer for call in snapshot.calls}, {""})
            self.assertNotIn(None, [call.source for call in snapshot.calls])

    async def test_texts_are_not_evicted_before_they_are_stored(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            partition, _ = await open_program(runtime, 2)
            program = runtime.programs.get(partition, KEY)
            call = program.calls[2]
            call.source.last = call.source.first = runtime.journal.stored_number + 1
            await runtime.texts._evict(partition, KEY)
            self.assertTrue(program.is_loaded)

    async def test_texts_of_a_running_program_are_not_evicted(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            partition, _ = await open_program(runtime, 2)
            program = runtime.programs.get(partition, KEY)
            program.running = object()
            await runtime.texts._evict(partition, KEY)
            self.assertTrue(program.is_loaded)

    async def test_unreadable_texts_raise_history_unavailable(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            partition, _ = await open_program(runtime, 2)
            program = runtime.programs.get(partition, KEY)
            await runtime.texts._evict(partition, KEY)
            with self.store.outage():
                await self.check_unavailable(runtime, partition, program)
            program.calls[1].source.first += 1
            program.calls[1].source.last += 1
            await self.check_unavailable(runtime, partition, program)

    async def check_unavailable(self, runtime, partition, program):
        with self.assertRaises(CallError) as caught:
            await runtime.texts.load(partition, program)
        self.assertEqual(caught.exception.code, "history_unavailable")
        self.assertEqual(caught.exception.executed, "no")
