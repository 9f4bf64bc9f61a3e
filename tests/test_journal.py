"""Tests of the record codec, the journal writer and the journal service."""

import asyncio
import unittest

from sapphireyard.exceptions import (
    CommitInDoubt,
    JournalSealed,
    RecordError,
    StoreUnavailable,
)
from sapphireyard.generated_settings import EntrySettings
from sapphireyard.journal.generated_records import (
    CallAbandoned,
    CallReserved,
    ProgramOpened,
    ProgramSnapshot,
    SnapshotCall,
)
from sapphireyard.journal.journal import (
    JournalRange,
    JournalService,
    name_segment,
    read_range,
)
from sapphireyard.journal.records import (
    RecordAssembler,
    pack_record,
    pack_segment,
    split_record,
    unpack_segment,
)
from sapphireyard.runtime import Runtime
from standins.memory import CONFLICT, DROP, HOLD_BEFORE, LOSE, MemoryStore

RECORDS = [
    ProgramOpened("c/p", "c/p", 1.5, budget_calls=3),
    CallReserved("c/p", 1, "d", "r", True, 10),
    CallAbandoned("c/p", 1, "no"),
    ProgramSnapshot("c/p", "c/p", 1.5, calls=[SnapshotCall(1, "completed", "d", "r")]),
]


def make_runtime(store, **settings):
    """Return the runtime of one host."""
    fields = {
        "host": "a",
        "failure_domain": "d1",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store": "http://127.0.0.1:1",
        "commit_interval_seconds": 0,
    }
    return Runtime(EntrySettings(**{**fields, **settings}), store)


class RecordsTest(unittest.TestCase):
    def test_round_trip(self):
        packed = [
            pack_record(record, partition=index, epoch=7)
            for index, record in enumerate(RECORDS)
        ]
        value = pack_segment(
            host="a", incarnation=1, number=4, token="t", records=packed
        )
        segment = unpack_segment(value)
        placed = RecordAssembler().feed(segment)
        self.assertEqual([item.record for item in placed], RECORDS)
        self.assertEqual([item.partition for item in placed], [0, 1, 2, 3])
        self.assertEqual({(p.number, p.epoch) for p in placed}, {(4, 7)})

    def test_joins_split_records(self):
        record = ProgramOpened("c/" + "x" * 1_000_000, "c/p", 1.0)
        packed = pack_record(record, partition=3)
        parts = split_record(packed, partition=3, token="t")
        self.assertEqual(len(parts), 3)
        assembler, late, placed = RecordAssembler(), RecordAssembler(), []
        for number, part in enumerate(parts, 1):
            segment = unpack_segment(
                pack_segment(
                    host="a", incarnation=1, number=number, token="t", records=[part]
                )
            )
            placed += assembler.feed(segment, partitions={3})
            if number > 1:
                self.assertEqual(late.feed(segment), [])
        self.assertEqual([(p.number, p.record) for p in placed], [(3, record)])

    BROKEN = [
        b"",
        b"not a segment",
        pack_segment(host="a", incarnation="x", number=1, token="", records=[]),
        pack_segment(host="a", incarnation=1, number=1, token="", records=[b"\x01"]),
    ]

    def test_refuses_damaged_segments(self):
        for value in self.BROKEN:
            with self.subTest(value=value), self.assertRaises(RecordError):
                unpack_segment(value)


class JournalServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.runtime = make_runtime(self.store)
        self.runtime.incarnation = 1
        self.journal = JournalService(
            self.runtime, answer_seconds=0.05, retry_seconds=0.01
        )
        await self.journal.start()
        self.addAsyncCleanup(self.journal.stop)

    async def read(self, last):
        assembler, records = RecordAssembler(), []
        async for segment in read_range(self.store, JournalRange("a", 1, 1, last)):
            records += [placed.record for placed in assembler.feed(segment)]
        return records

    async def test_concurrent_commits_share_segments(self):
        hold = self.store.add_fault(HOLD_BEFORE, operation="create")
        tasks = [
            asyncio.ensure_future(self.journal.commit([record], partition=0))
            for record in RECORDS
        ]
        hold.gate.set()
        positions = await asyncio.gather(*tasks)
        self.assertLessEqual(positions[-1].number, 2)
        self.assertEqual(await self.read(positions[-1].number), RECORDS)

    async def test_large_commit_spans_segments(self):
        records = [ProgramOpened("c/" + "x" * 700_000, "c/p", 1.0)] * 3
        position = await self.journal.commit(records, partition=0)
        self.assertGreater(position.number, position.first)
        self.assertEqual(await self.read(position.number), records)

    async def test_faults_lose_and_repeat_nothing(self):
        for kind in (LOSE, DROP, CONFLICT):
            with self.subTest(kind=kind):
                self.store.add_fault(kind, operation="create")
                position = await self.journal.commit(RECORDS, partition=0)
                count = position.number
                self.assertEqual(await self.read(count), RECORDS * count)

    async def test_seal_ends_the_journal(self):
        seal = pack_segment(
            host="a", incarnation=1, number=1, token="s", records=[], seal="b"
        )
        await self.store.create(name_segment("a", 1, 1), seal)
        for _ in range(2):
            with self.assertRaises(JournalSealed):
                await self.journal.commit(RECORDS, partition=0)

    async def test_store_outage_fails_commits_that_need_the_store(self):
        self.store.unavailable = True
        with self.assertRaises(CommitInDoubt):
            await self.journal.commit([RECORDS[1]], partition=0, needs_store=True)
        with self.assertRaises(StoreUnavailable) as caught:
            await self.journal.commit([RECORDS[0]], partition=0, needs_store=True)
        self.assertNotIsInstance(caught.exception, CommitInDoubt)
        waiting = asyncio.ensure_future(self.journal.commit([RECORDS[2]], partition=0))
        self.store.unavailable = False
        position = await waiting
        self.assertEqual(await self.read(position.number), RECORDS[1:3])
