"""Copies of histories and their client, over real streams."""

import asyncio
import contextlib
import random
import shutil
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from sapphireyard.exceptions import CallError
from sapphireyard.fleet.generated_fleet import CopySet
from sapphireyard.history.chains import PART_BYTES, WINDOW_BYTES, ChainStream
from sapphireyard.history.client import MAX_PARALLEL_BYTES
from sapphireyard.history.generated_history import (
    Chain,
    ChainPart,
    ChainQuery,
    TurnCommit,
)
from sapphireyard.history.log import LogFailed
from sapphireyard.history.service import HistoryService
from tests.history_case import WAIT_SECONDS, HistoryCase
from tests.test_history import LONG, build_turn


class ServiceTest(HistoryCase):
    async def test_turn_is_read_from_any_copy(self):
        await self.client.commit(build_turn("one"))
        await self.client.commit(build_turn("two", "one"))
        chain = await self.client.read_chain("two")
        self.assertEqual(chain.text, b"<one><one><two><two>")
        self.assertEqual(chain.customer, "c")
        with self.assertRaises(CallError) as caught:
            await self.client.read_chain("three")
        self.assertEqual(caught.exception.code, "turn_unknown")

    async def test_chain_longer_than_a_frame_is_read_beside_other_requests(self):
        """Each case has the sizes of the texts of a chain's turns."""
        cases = [
            (0,),
            (1, PART_BYTES - 1, 1),
            (PART_BYTES, 0, 2 * PART_BYTES + 1),
            (3_000_000, 3_000_000, 3_000_000),
        ]
        for number, sizes in enumerate(cases):
            with self.subTest(sizes):
                previous, expected = "", b""
                for turn, size in enumerate(sizes):
                    text = random.Random(turn).randbytes(size)
                    name = f"long-{number}-{turn}"
                    await self.client.commit(
                        replace(build_turn(name, previous), input=text)
                    )
                    previous = name
                    expected += text + f"<{name}>".encode()
                commits = asyncio.gather(
                    *(self.client.commit(build_turn(f"{number}-{n}")) for n in range(9))
                )
                admit = mock.Mock(return_value=True)
                chain = await self.client.read_chain(previous, admit=admit)
                await commits
                self.assertEqual(chain.text, expected)
                self.assertEqual(admit.mock_calls, [mock.call(len(expected))])

    async def test_chain_is_read_on_from_another_copy(self):
        """The nearest copy breaks off midway; only one at a time sends the chain."""
        text = bytes(40 * PART_BYTES)
        await self.client.commit(replace(build_turn("long"), input=text))
        nearest = self.copies["a"]._chains
        read = nearest._read_record

        def fail(position, start=0, size=None):
            if start > 10 * PART_BYTES:
                raise CallError("history_unavailable", "the disk fails")
            return read(position, start, size)

        with mock.patch.object(nearest, "_read_record", fail):
            chain = await self.client.read_chain("long")
        self.assertEqual(len(chain.text), len(text) + len("<long>"))

    async def test_chain_that_is_not_kept_is_read_in_ranges(self):
        """Each case has the first byte and the length of a range of three turns."""
        expected, previous = b"", ""
        for number, size in enumerate((PART_BYTES, 0, 3 * PART_BYTES)):
            name = f"part-{number}"
            text = random.Random(number).randbytes(size)
            await self.client.commit(replace(build_turn(name, previous), input=text))
            expected += text + f"<{name}>".encode()
            previous = name
        total = len(expected)
        cases = [
            (0, 1),
            (0, total),
            (PART_BYTES - 1, 3),
            (PART_BYTES + 4, 2 * PART_BYTES),
            (total - 1, 1),
            (total - PART_BYTES, 2 * PART_BYTES),
        ]
        chain = await self.client.read_chain(previous, admit=lambda size: False)
        self.assertEqual((chain.text, chain.long.size), (b"", total))
        for start, length in cases:
            with self.subTest((start, length)):
                part = await chain.long._read(start, length)
                self.assertEqual(part, expected[start : start + length])
        windows = [window async for window in chain.long.stream()]
        self.assertEqual(b"".join(windows), expected)

    async def test_long_chain_is_read_on_from_another_copy(self):
        """The copy that is read breaks off between two windows of a long chain."""
        text = random.Random(1).randbytes(2 * WINDOW_BYTES + 1)
        await self.client.commit(replace(build_turn("long"), input=text))
        chain = await self.client.read_chain("long", admit=lambda size: False)
        windows = chain.long.stream()
        parts = [await anext(windows)]
        await self.stop_copy("a")
        parts += [window async for window in windows]
        self.assertEqual(b"".join(parts), text + b"<long>")

    async def test_ranges_of_builds_that_send_whole_chains(self):
        """Those ignore the range; in parts, or in one message."""
        text = random.Random(2).randbytes(5 * PART_BYTES)

        async def serve(message, context):
            if is_whole:
                yield Chain(True, False, "c", "e", 42, text)
                return
            yield Chain(True, False, "c", "e", 42, b"", len(text))
            for start in range(0, len(text), PART_BYTES):
                yield ChainPart(text[start : start + PART_BYTES])

        for name in self.copies:
            self.hosts[name].peers.register_stream(ChainQuery, serve)
        for is_whole in (True, False):
            for start, length in ((0, 7), (PART_BYTES + 5, PART_BYTES), (7, 10**9)):
                with self.subTest((is_whole, start, length)):
                    long = self.client.build_long("one", len(text))
                    part = await long._read(start, length)
                    self.assertEqual(part, text[start : start + length])

    async def test_chain_of_builds_that_answer_with_one_message_is_whole(self):
        """Those ignore the size of parts and tell none of the whole."""
        text = bytes(3 * PART_BYTES)

        async def serve(message, context):
            return Chain(True, False, "c", "e", 42, text)

        for name in self.copies:
            peers = self.hosts[name].peers
            del peers._stream_handlers[ChainQuery]
            peers.register(ChainQuery, serve)
        admit = mock.Mock(return_value=True)
        chain = await self.client.read_chain("one", admit=admit)
        self.assertEqual(chain.text, text)
        self.assertEqual(admit.mock_calls, [mock.call(len(text))])

    async def test_chain_is_whole_for_builds_that_expect_one_message(self):
        """Those do not ask for parts; they read the first message only."""
        await self.client.commit(build_turn("one"))
        text = bytes(3 * PART_BYTES)
        await self.client.commit(replace(build_turn("two", "one"), input=text))
        query = ChainQuery(self.client.copies.version, "two")
        answer = await self.hosts["entry"].peers.ask("a", query, timeout=WAIT_SECONDS)
        self.assertEqual(answer.text, b"<one><one>" + text + b"<two>")

    async def test_jumps_of_the_time_of_day_lose_no_turn(self):
        """Each case has the jumps in seconds of the writer's and the copies' clocks."""
        cases = [(0, 3600), (0, -3600), (3600, 0), (-3600, 0), (-3600, 3600)]
        for number, (writer, copies) in enumerate(cases):
            with self.subTest((writer, copies)):
                self.hosts["entry"].clock.jump = writer
                turn = build_turn(f"turn-{number}", keep_seconds=75.0)
                await self.client.commit(turn)
                for name, copy in self.copies.items():
                    self.hosts[name].clock.jump = copies
                    await copy.purge_expired()
                chain = await self.client.read_chain(f"turn-{number}")
                self.assertEqual(chain.text, 2 * f"<turn-{number}>".encode())

    async def test_turns_expire_after_their_retention(self):
        await self.client.commit(build_turn("short", keep_seconds=75.0))
        await self.client.commit(build_turn("long", keep_seconds=175.0))
        for name, copy in self.copies.items():
            self.hosts[name].clock.advance = 100.0
            await copy.purge_expired()
        self.assertTrue((await self.client.read_chain("long")).text)
        with self.assertRaises(CallError) as caught:
            await self.client.read_chain("short")
        self.assertEqual(caught.exception.code, "turn_unknown")

    async def test_long_turns_are_sent_to_the_copies_one_after_the_other(self):
        """Each one is a message to each copy; several at once exhausted their memory.

        Cases are the size of the turns, and how many are sent at a time.
        """
        for size, expected in ((MAX_PARALLEL_BYTES + 1, 1), (100, 4)):
            with self.subTest(size):
                sending = set()
                most = []
                commit = self.client._commit

                async def count(copies, turn):
                    sending.add(turn.turn)
                    most.append(len(sending))
                    await commit(copies, turn)
                    sending.remove(turn.turn)

                turns = [
                    replace(build_turn(f"{size}-{number}"), input=bytes(size))
                    for number in range(4)
                ]
                with mock.patch.object(self.client, "_commit", count):
                    await asyncio.gather(*map(self.client.commit, turns))
                self.assertEqual(max(most), expected)

    async def test_unknown_turn_is_not_denied_while_copies_are_away(self):
        await self.client.commit(build_turn("one"))
        for name, code in (
            ("a", "turn_unknown"),
            ("b", "turn_unknown"),
            ("c", "history_unavailable"),
        ):
            await self.stop_copy(name)
            with self.subTest(name), self.assertRaises(CallError) as caught:
                await self.client.read_chain("none")
            self.assertEqual(caught.exception.code, code)

    async def test_writes_need_a_majority(self):
        await self.stop_copy("a")
        await self.client.commit(build_turn("one"))
        await self.stop_copy("b")
        with self.assertRaises(CallError) as caught:
            await self.client.commit(build_turn("two"))
        self.assertEqual(caught.exception.code, "history_unavailable")

    async def test_turn_is_refused_at_once_when_too_few_copies_are_reachable(self):
        """An entry host that is cut off from the copies does not delay its callers."""
        membership = self.hosts["entry"].gossip.membership
        for silent, served in (("a", True), ("b", False)):
            membership.silent.add(silent)
            with self.subTest(silent):
                self.assertEqual(self.client.keeps_turns, served)
        started = asyncio.get_running_loop().time()
        with self.assertRaises(CallError) as caught:
            await self.client.reserve("c/p", "t", 1, 10, keep_seconds=LONG)
        self.assertEqual(caught.exception.code, "history_unavailable")
        self.assertLess(asyncio.get_running_loop().time() - started, 0.2)

    async def test_reservations_in_parallel_never_exceed_the_budget(self):
        async def reserve(number):
            try:
                synced = await self.client.reserve(
                    "c/p", f"t{number}", 100, 450, keep_seconds=LONG
                )
                await synced
                return 1
            except CallError as error:
                self.assertEqual(error.code, "budget_exceeded")
                self.client.settle("c/p", f"t{number}", 0, keep_seconds=LONG)
                return 0

        admitted = await asyncio.gather(*map(reserve, range(12)))
        self.assertLessEqual(sum(admitted), 4)
        total = sum(admitted)
        number = 20
        async with asyncio.timeout(WAIT_SECONDS):
            while total < 4:  # refused turns free their tokens a moment later
                total += await reserve(number)
                number += 1
        self.assertEqual([await reserve(n) for n in range(100, 104)], [0] * 4)

    async def test_spending_survives_a_lost_disk(self):
        await (await self.client.reserve("c/p", "t1", 100, 300, keep_seconds=LONG))
        await self.client.commit(build_turn("one", tokens=150))
        await self.stop_copy("a")
        await self.start_copy("e", bootstrap=False)
        self.hosts.pop("a")
        self.copies["e"]._is_gone = lambda host: host == "a"
        await self.wait_until_serving("e")
        await self.stop_copy("b")
        self.client._cache.clear()
        self.assertEqual((await self.client.read_chain("one")).text, b"<one><one>")
        with self.assertRaises(CallError) as caught:
            await self.client.reserve("c/p", "t2", 100, 300, keep_seconds=LONG)
        self.assertEqual(caught.exception.code, "budget_exceeded")

    async def test_member_that_answers_is_not_replaced(self):
        """A host that has just started has not heard the heartbeats of all members."""
        await self.start_copy("e", bootstrap=False)
        self.copies["e"]._is_gone = lambda host: host == "a"
        self.copies["e"]._join_at = float("-inf")
        await asyncio.sleep(1.0)
        _, copies = await self.copies["a"]._set.read()
        self.assertEqual(sorted(copies.members), ["a", "b", "c", "d"])

    async def test_old_set_is_refused_and_the_new_one_followed(self):
        old = self.client.copies
        await self.copies["d"].retire()
        self.assertEqual(self.copies["a"].copies.version, old.version + 1)
        peers = self.hosts["entry"].peers
        for name in "abc":
            with self.assertRaises(CallError) as caught:
                await ChainStream(peers, name, old.version, "none").open(1.0)
            self.assertEqual(caught.exception.code, "copies_changed")
        await self.client.commit(build_turn("one"))
        self.assertNotIn("d", self.client.copies.members)

    async def test_changes_of_the_set_in_series_end_no_commit(self):
        """Heartbeats tell of none of them."""
        version = self.client.copies.version
        members = dict(self.client.copies.members)
        adopted = []
        lock = asyncio.Lock()
        for copy in self.copies.values():
            serve = copy._serve_commit

            async def change(message, context, serve=serve):
                async with lock:
                    if message.set_version == version + len(adopted) < version + 2:
                        adopted.append(CopySet(message.set_version + 1, members))
                        for each in list(self.copies.values()):
                            await each._adopt(adopted[-1])
                return await serve(message, context)

            self.hosts[copy._runtime.host].peers.register(TurnCommit, change)
        await self.client.commit(build_turn("one"))
        self.assertEqual(self.client.copies.version, version + 2)

    async def test_copy_does_not_retire_while_a_member_does_not_serve(self):
        """With one more loss too few would serve, and none could join any more.

        Each case has whether the member sends heartbeats.
        """
        for heard in (True, False):
            with self.subTest(heard):
                await self.asyncSetUp()
                joining, leaving = self.copies["d"], self.copies["c"]
                joining._serving = False
                joining._join_at = float("inf")
                if not heard:
                    self.hosts["c"].gossip.membership.silent.add("d")
                with self.assertRaises(CallError) as caught:
                    await leaving.retire()
                self.assertIn("d", str(caught.exception))
                self.assertIn("c", self.copies["a"].copies.members)
                self.assertTrue(leaving.serving)
                joining._serving = True
                await asyncio.wait_for(leaving.retire(), WAIT_SECONDS)
                self.assertNotIn("c", self.copies["a"].copies.members)

    async def test_newest_of_two_sets_decides_who_serves(self):
        """Both arrive at once; the sync of the older one ends last."""
        service = self.copies["a"]
        members = dict(service.copies.members)
        rest = {name: disk for name, disk in members.items() if name != "a"}
        for older, newer, serves in ((members, rest, False), (rest, members, True)):
            with self.subTest(serves):
                version = service.copies.version
                written = asyncio.Event()
                with mock.patch.object(service._log, "sync", written.wait):
                    first = asyncio.ensure_future(
                        service._adopt(CopySet(version + 1, older))
                    )
                    await asyncio.sleep(0)
                await service._adopt(CopySet(version + 2, newer))
                written.set()
                await first
                self.assertEqual(service.serving, serves)

    async def test_restarted_copy_fetches_what_it_missed(self):
        await self.stop_copy("a")
        await self.client.commit(build_turn("one"))
        await self.start_copy("a", bootstrap=False)
        async with asyncio.timeout(WAIT_SECONDS):
            while self.copies["a"]._state.find_turn("one") is None:
                await asyncio.sleep(0.02)

    async def test_set_outlives_the_turns_beside_which_it_was_written(self):
        """All copies are killed at once when their first files are deleted."""
        for name in sorted(self.copies):
            await self.restart_copy(name)
        await self.client.commit(build_turn("old", keep_seconds=75.0))
        for name in sorted(self.copies):
            await self.restart_copy(name)
        await self.client.commit(build_turn("new"))
        async with asyncio.timeout(WAIT_SECONDS):
            for name, copy in self.copies.items():
                while not copy._log.first:  # a repair may fetch the old turn again
                    self.hosts[name].clock.advance += 100.0
                    await copy.purge_expired()
                    await asyncio.sleep(0.02)
        names = sorted(self.copies)
        for name in names:
            await self.stop_copy(name)
        for name in names:
            await self.start_copy(name, bootstrap=False)
            self.assertTrue(self.copies[name].serving, name)
        self.client._cache.clear()
        self.assertTrue((await self.client.read_chain("new")).text)

    async def restart_copy(self, name):
        """Restart a copy, which begins a new file."""
        await self.stop_copy(name)
        await self.start_copy(name, bootstrap=False)
        await self.wait_until_serving(name)

    async def test_copy_that_cannot_join_yet_goes_on(self):
        """Each case has what fails for a while: its disk, or the set in the store."""

        def fill_disk(service):
            error = LogFailed("disk full")
            return mock.patch.object(service._log, "sync", side_effect=error)

        def write_odd_set(service):
            newer = SimpleNamespace(value=b'{"version": 9, "later": 1}', version=1)
            get = mock.AsyncMock(return_value=newer)
            return mock.patch.object(self.store, "get", get)

        for fail in (fill_disk, write_odd_set):
            with self.subTest(fail.__name__):
                await self.stop_copy("a")
                shutil.rmtree(self.folder / "a")
                start = HistoryService.on_start
                failing = contextlib.ExitStack()

                async def start_failing(service, fail=fail, failing=failing):
                    await start(service)
                    failing.enter_context(fail(service))

                with mock.patch.object(HistoryService, "on_start", start_failing):
                    await self.start_copy("a", bootstrap=False)
                await asyncio.sleep(0.6)
                failing.close()
                self.assertFalse(self.copies["a"].crashed)
                await self.wait_until_serving("a")

    async def test_copy_without_its_disk_answers_nothing_before_it_joined(self):
        await self.client.commit(build_turn("one"))
        await self.stop_copy("a")
        for path in (self.folder / "a").rglob("*"):
            if path.is_file():
                path.unlink()
        await self.start_copy("a", bootstrap=False)
        with self.assertRaises(CallError) as caught:
            peers = self.hosts["entry"].peers
            version = self.client.copies.version
            await ChainStream(peers, "a", version, "none").open(1.0)
        self.assertEqual(caught.exception.code, "history_unavailable")
        await self.wait_until_serving("a")
        self.assertIsNotNone(self.copies["a"]._state.find_turn("one"))


if __name__ == "__main__":
    unittest.main()
