"""Copies that missed records, in any way, get them back in bounded time."""

import asyncio
import shutil
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.exchange.turns import MAX_TURN_BYTES
from sapphireyard.history.generated_history import (
    KeysQuery,
    RecordKeys,
    RecordsFound,
    Reservation,
    Settlement,
)
from sapphireyard.history.keys import KEY_BYTES, KeyIndex, build_key, unpack_keys
from sapphireyard.history.log import LogFailed, RecordLog
from sapphireyard.history.repair import (
    FETCH_BYTES,
    FETCH_RECORDS,
    PAGE_KEYS,
    REPAIR_SECONDS,
    RecordRepair,
    RecordSource,
)
from sapphireyard.history.state import HistoryState
from tests.history_case import HistoryCase
from tests.test_history import LONG, build_turn

COMMIT_SECONDS = 1.1
"""Time after which a client sends a record to no copy any more."""
REPAIRED_SECONDS = 4.3
"""Time that a copy has after it is back: the shortest `catch-up-s`."""


class MissedRecordsTest(HistoryCase):
    """Four copies, one of which misses records."""

    async def miss_records(self, name, *, restart):
        """Write a record of each kind while a copy is away."""
        if restart:
            await self.stop_copy(name)
            await self.write_records()
            return
        with self.unreachable(name):
            await self.write_records()
            await asyncio.sleep(COMMIT_SECONDS)

    async def write_records(self):
        """Write a record of each kind, once a quorum of the copies has it."""
        for turn in ("r", "s"):
            await (await self.client.reserve("c/p", turn, 10, 100, keep_seconds=LONG))
        self.client.settle("c/p", "s", 7, keep_seconds=LONG)
        await self.client.commit(build_turn("one"))
        await self.client.commit(build_turn("two", "one"))

    async def wait_until_repaired(self, name):
        """Wait until a copy has all the records of `miss_records`."""
        state = self.copies[name]._state
        async with asyncio.timeout(REPAIRED_SECONDS):
            while True:
                known = {each.turn: each.tokens for each in state.spendings("c/p")}
                if state.find_chain("two") and (known.get("r"), known.get("s")) == (
                    10,
                    7,
                ):
                    return
                await asyncio.sleep(0.02)

    async def test_records_missed_while_cut_off_come_back(self):
        """Guards against a copy that was away without a restart (review/13)."""
        with mock.patch.object(RecordRepair, "run"):
            await self.miss_records("d", restart=False)
            self.assertIsNone(self.copies["d"]._state.find_turn("one"))
        await self.wait_until_repaired("d")

    async def test_records_missed_in_a_restart_come_back(self):
        """Guards against a repair that ends before other hosts are known (review/11).

        A restarted process knows no address until heartbeats have come.
        """
        await self.miss_records("d", restart=True)
        with mock.patch.object(self, "exchange_heartbeats"):
            await self.start_copy("d", bootstrap=False)
            await asyncio.sleep(0.6)
        self.exchange_heartbeats()
        await self.wait_until_repaired("d")

    async def test_old_records_come_back_after_newer_ones(self):
        """Guards against a repair that looks back for some seconds only."""
        await self.client.commit(build_turn("newer"))
        await asyncio.sleep(REPAIR_SECONDS)
        self.hosts["entry"].clock.jump = -3600.0
        await self.miss_records("d", restart=True)
        await self.start_copy("d", bootstrap=False)
        await self.wait_until_repaired("d")

    async def test_copy_is_repaired_while_another_one_hangs(self):
        """Guards against a repair that waits for hosts that do not answer."""
        await self.miss_records("d", restart=False)

        async def hang(message, context):
            await asyncio.sleep(60.0)

        self.hosts["a"].peers.register(KeysQuery, hang)
        await self.wait_until_repaired("d")

    async def test_records_come_back_from_builds_without_keys(self):
        """Guards against copies of two builds that repair each other no more."""
        for name in "abc":
            del self.hosts[name].peers._handlers[KeysQuery]
            del self.hosts[name].peers.codec._classes["KeysQuery"]
        await self.miss_records("d", restart=True)
        await self.start_copy("d", bootstrap=False)
        await self.wait_until_repaired("d")

    async def test_longest_turns_come_back_beside_short_ones(self):
        """Guards against batches that no frame can hold.

        Each case has the copy that is replaced by an empty one, if any.
        """
        longest = bytes(MAX_TURN_BYTES)
        for wiped in ("", "d"):
            with self.subTest(wiped):
                await self.stop_copy("d")
                if wiped:
                    shutil.rmtree(self.folder / wiped)
                short = [build_turn(f"{wiped}short-{n}") for n in range(9)]
                for turn in short:
                    await self.client.commit(replace(turn, input=bytes(50_000)))
                long = replace(build_turn(f"{wiped}long"), input=longest, output=b"")
                await self.client.commit(long)
                await self.start_copy("d", bootstrap=False)
                state = self.copies["d"]._state
                async with asyncio.timeout(2 * REPAIRED_SECONDS):
                    while not state.find_turn(long.turn):
                        await asyncio.sleep(0.02)

    async def test_records_come_back_once_the_disk_can_be_written(self):
        """Guards against records that a copy counts as stored and does not store."""
        await self.miss_records("d", restart=True)
        append = RecordLog.append

        def fail(log, payload):
            if "/d/" in str(log._folder) and failing:
                raise LogFailed("disk full")
            return append(log, payload)

        failing = True
        with mock.patch.object(RecordLog, "append", fail):
            await self.start_copy("d", bootstrap=False)
            await asyncio.sleep(3 * REPAIR_SECONDS)
            self.assertIsNone(self.copies["d"]._state.find_turn("one"))
            failing = False
            await self.wait_until_repaired("d")

    async def test_expired_records_do_not_come_back(self):
        """Guards against records that copies give each other for ever.

        A restarted copy keeps its records for longer than the others.
        """
        await self.client.commit(build_turn("short", keep_seconds=50.0))
        await asyncio.sleep(3 * REPAIR_SECONDS)
        await self.stop_copy("d")
        await self.start_copy("d", bootstrap=False)
        await asyncio.sleep(3 * REPAIR_SECONDS)
        for name in "abc":
            self.hosts[name].clock.advance = 52.0
            await self.copies[name].purge_expired()
        await asyncio.sleep(3 * REPAIR_SECONDS)
        self.assertIsNotNone(self.copies["d"]._state.find_turn("short"))
        for name in "abc":
            self.assertIsNone(self.copies[name]._state.find_turn("short"), name)


class FakeCopy:
    """Another copy with some records; its answers can be changed by a test."""

    def __init__(self, records, *, disk="disk-1", page=PAGE_KEYS):
        self.disk = disk
        self.records = list(records)
        self.page = page
        self.fails = False
        self.asked = []

    async def ask(self, host, message, *, timeout):
        self.asked.append(message)
        if self.fails:
            raise PeerUnavailable(f"{host} is away")
        if isinstance(message, KeysQuery):
            end = min(len(self.records), message.after + self.page)
            index = KeyIndex()
            for record in self.records:
                index.add(build_key(record))
            first = min(message.after, end)
            return RecordKeys(
                self.disk, first, index.pack(first, end), end, end < len(self.records)
            )
        if message.disk != self.disk:
            raise CallError("history_unavailable", "this copy has another disk")
        found = [self.records[cursor] for cursor in message.cursors[:FETCH_RECORDS]]
        return RecordsFound(len(found), found)


class RepairTest(unittest.IsolatedAsyncioTestCase):
    """The repair of one copy against another one."""

    def setUp(self):
        self.state = HistoryState()
        self.copied = []

    def build(self, copy):
        """Return a repair that stores records in the state."""

        async def store(records):
            return sum(self.state.apply(each, 0, 0.0) for each in records)

        async def copy_all(host):
            self.copied.append(host)
            return True

        return RecordRepair(copy, self.state, store, copy_all)

    @staticmethod
    async def run_round(repair, *, disk="disk-1"):
        """Let a repair follow the copy, which the set names with a disk."""
        await repair.run({"b": disk}, ["b"])

    def count(self, turns):
        """Return how many of some turns are in the state."""
        return sum(self.state.find_turn(each.turn) is not None for each in turns)

    async def test_newest_records_are_given_time_to_arrive(self):
        """Guards against each record being sent to each copy twice."""
        turns = [build_turn(f"t{number}") for number in range(3)]
        copy = FakeCopy(turns)
        repair = self.build(copy)
        await self.run_round(repair)
        self.assertEqual(self.count(turns), 0)
        self.state.apply(turns[0], 0, 0.0)
        await self.run_round(repair)
        self.assertEqual(self.count(turns), 3)
        self.assertEqual(repair.fetched, 2)

    async def test_all_pages_are_examined_and_none_twice(self):
        turns = [build_turn(f"t{number}") for number in range(205)]
        copy = FakeCopy(turns, page=50)
        repair = self.build(copy)
        await self.run_round(repair)
        self.assertEqual(self.count(turns), 200)
        await self.run_round(repair)
        self.assertEqual(self.count(turns), 205)
        copy.asked.clear()
        await self.run_round(repair)
        self.assertEqual(copy.asked, [KeysQuery(205)])

    async def test_failures_lose_no_record(self):
        """Each case has the request that fails, counted from the first one."""
        turns = [build_turn(f"t{number}") for number in range(205)]
        for failing in range(8):
            with self.subTest(failing):
                self.setUp()
                copy = FakeCopy(turns, page=50)
                repair = self.build(copy)
                ask = copy.ask
                count = 0

                async def fail(host, message, *, timeout, ask=ask, failing=failing):
                    nonlocal count
                    count += 1
                    if count == failing + 1:
                        raise PeerUnavailable("lost")
                    return await ask(host, message, timeout=timeout)

                copy.ask = fail
                for _ in range(3):
                    await self.run_round(repair)
                self.assertEqual(self.count(turns), 205)

    async def test_log_of_another_disk_is_examined_from_its_beginning(self):
        """Guards against a copy that is not followed any more once its disk is lost.

        Each case has how often its log was examined before; once leaves records that
        are awaited.
        """
        for rounds in (1, 2, 3):
            with self.subTest(rounds):
                self.setUp()
                copy = FakeCopy([build_turn(f"t{number}") for number in range(3)])
                repair = self.build(copy)
                for _ in range(rounds):
                    await self.run_round(repair)
                more = [build_turn(f"u{number}") for number in range(2)]
                copy.records, copy.disk = more, "disk-2"
                await self.run_round(repair)
                self.assertEqual(self.count(more), 0)
                for _ in range(2):
                    await self.run_round(repair, disk="disk-2")
                self.assertEqual(self.count(more), 2)

    async def test_host_of_an_older_build_is_copied_once(self):
        copy = FakeCopy([])
        copy.ask = mock.AsyncMock(side_effect=CallError("internal_error", "unknown"))
        repair = self.build(copy)
        for _ in range(3):
            await self.run_round(repair)
        self.assertEqual(self.copied, ["b"])

    async def test_turn_that_was_dropped_too_early_is_searched(self):
        """Guards against records that are passed over as they were here before."""
        turns = [build_turn("one"), build_turn("two", "one"), build_turn("x", "none")]
        repair = self.build(FakeCopy(turns))
        for _ in range(2):
            await self.run_round(repair)
        self.state._turns.pop("one")
        self.state._ranks.pop(build_key(turns[0]) & ~3)
        self.state.renew("c/p", "two", 2 * LONG)
        self.assertEqual(self.state.wanted, {"one", "none"})
        with mock.patch("sapphireyard.history.repair.WANTED_SECONDS", 0.2):
            await self.run_round(repair)
            repair._search_after = 0.2
            await asyncio.sleep(0.3)
            for _ in range(2):
                await self.run_round(repair)
        self.assertEqual(len(self.state.find_chain("two")), 2)
        self.assertEqual(self.state.find_turn("one").expires_at, 2 * LONG)
        self.assertEqual(self.state.wanted, {"none"})
        self.assertEqual(repair._search_after, 0.4)

    async def test_silent_copy_is_followed_on_from_where_it_was(self):
        """Guards against logs that are examined anew after each pause."""
        copy = FakeCopy([build_turn(f"t{number}") for number in range(3)])
        repair = self.build(copy)
        for reachable in (["b"], ["b"], [], ["b"]):
            await repair.run({"b": "disk-1"}, reachable)
        self.assertEqual(copy.asked[-1], KeysQuery(3))
        await repair.run({}, [])
        await self.run_round(repair)
        self.assertEqual(copy.asked[-1], KeysQuery(0))

    async def test_invalid_keys_end_the_look_only(self):
        copy = FakeCopy([])
        copy.ask = mock.AsyncMock(
            return_value=RecordKeys("disk-1", 0, b"odd", 0, False)
        )
        await self.run_round(self.build(copy))
        self.assertEqual(self.copied, [])


class SourceTest(unittest.IsolatedAsyncioTestCase):
    """Keys and records of a log on a disk."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def open(self):
        """Return the log, opened anew, and its source."""
        log = RecordLog(self.folder, segment_bytes=200)
        source = RecordSource(log, log.read)
        for _, payload in log.open():
            source.add(build_turn(payload.decode().strip()))
        return log, source

    async def append(self, log, source, *numbers):
        """Append records that are 50 bytes long; four fit into a file."""
        for number in numbers:
            log.append(f"{number:<50}".encode())
            source.add(build_turn(str(number)))
            await log.sync()

    def list_all(self, source, cursor=0):
        """Return the keys from a cursor on, and the cursor after them."""
        keys = []
        more = True
        while more:
            page = source.list_keys("disk", cursor)
            keys += unpack_keys(page.keys)
            more, cursor = page.more, page.next
        return keys, cursor

    @staticmethod
    def build_keys(*numbers):
        return [build_key(build_turn(str(number))) for number in numbers]

    async def test_cursor_outlives_a_restart(self):
        """Guards against records that are passed over, or sent again, after one."""
        log, source = self.open()
        await self.append(log, source, *range(6))
        keys, cursor = self.list_all(source)
        self.assertEqual(keys, self.build_keys(*range(6)))
        await log.finish()
        log, source = self.open()
        self.assertEqual(self.list_all(source, cursor), ([], cursor))
        await self.append(log, source, 6, 7)
        keys, cursor = self.list_all(source, cursor)
        self.assertEqual(keys, self.build_keys(6, 7))
        await self.append(log, source, 8)
        self.assertEqual(self.list_all(source, cursor)[0], self.build_keys(8))

    async def test_cursor_outlives_the_files_before_it(self):
        log, source = self.open()
        await self.append(log, source, *range(6))
        _, cursor = self.list_all(source)
        for dropped in (2, 4, 6):
            log.drop_before(dropped)
            source.drop_before(log.first)
            self.assertEqual(self.list_all(source, cursor)[0], [])
        await self.append(log, source, 6)
        self.assertEqual(self.list_all(source, cursor)[0], self.build_keys(6))

    async def test_records_that_are_not_durable_are_not_listed(self):
        log, source = self.open()
        await self.append(log, source, 1)
        log.append(b"2")
        source.add(build_turn("2"))
        self.assertEqual(self.list_all(source)[0], self.build_keys(1))
        await log.sync()
        self.assertEqual(self.list_all(source)[0], self.build_keys(1, 2))

    async def test_answers_are_bounded(self):
        log, source = self.open()
        await self.append(log, source, *range(8))
        cursors = [source.list_keys("disk", 0).first] * 3 * FETCH_RECORDS
        self.assertEqual(source.find(cursors).examined, FETCH_RECORDS)
        for size, examined in (
            (FETCH_BYTES // 2, 2),
            (FETCH_BYTES // 2 + 1, 1),
            (2 * FETCH_BYTES, 1),
        ):
            source._export = lambda position, size=size: bytes(size)
            self.assertEqual(source.find(cursors).examined, examined)
        page = source.list_keys("disk", 0)
        self.assertLessEqual(len(page.keys), PAGE_KEYS * KEY_BYTES)


class KeysTest(unittest.TestCase):
    def test_record_replaces_those_of_lower_rank(self):
        """Each case has stored records, and those that are lacking afterwards."""
        reservation = Reservation(1, "c/p", "t", 9, 50.0)
        settlement = Settlement("c/p", "t", 7, 50.0)
        turn = build_turn("t", keep_seconds=50.0)
        cases = [
            ([], [reservation, settlement, turn]),
            ([reservation], [settlement, turn]),
            ([settlement], [turn]),
            ([turn], []),
            ([turn, reservation], []),
        ]
        for stored, lacking in cases:
            with self.subTest(stored):
                state = HistoryState()
                for record in stored:
                    state.apply(record, 0, 0.0)
                every = [reservation, settlement, turn]
                found = [each for each in every if state.lacks(build_key(each))]
                self.assertEqual(found, lacking)
                state.expire(100.0)
                self.assertTrue(all(state.lacks(build_key(each)) for each in every))

    def test_record_is_sent_with_the_time_that_is_left(self):
        """Guards against records that live longer with each copy that fetches them."""
        state = HistoryState()
        turn = build_turn("t", keep_seconds=50.0)
        late = Settlement("c/p", "t2", 5, 80.0)
        reservation = Reservation(1, "c/p", "t2", 9, 50.0)
        for record in (turn, reservation, late):
            state.apply(record, 0, 0.0)
        cases = [
            (turn, 40.0, 40.0),
            (turn, 60.0, 20.0),
            (late, 60.0, 20.0),
            (reservation, 10.0, None),
            (turn, 81.0, None),
            (late, 81.0, None),
        ]
        for record, now, expected in cases:
            with self.subTest((type(record).__name__, now)):
                sent = state.limit_retention(record, now)
                if expected is None:
                    self.assertIsNone(sent)
                else:
                    self.assertEqual(sent.keep_seconds, expected)
                    self.assertEqual(sent.tokens, record.tokens)


if __name__ == "__main__":
    unittest.main()
