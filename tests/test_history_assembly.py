"""Chains of which no copy has all turns are read from several copies together."""

import asyncio
import contextlib
import random
import unittest
from dataclasses import replace
from unittest import mock

from sapphireyard.exceptions import CallError
from sapphireyard.history.chains import PART_BYTES, WINDOW_BYTES
from sapphireyard.history.generated_history import ChainQuery
from tests.history_case import HistoryCase
from tests.test_history import build_turn

NEVER_SECONDS = 1e6
READ_SECONDS = 0.9
"""Less than the longest wait for a copy that does not answer."""


class AssemblyTest(HistoryCase):
    """Four copies that do not repair each other, each of which misses turns."""

    async def asyncSetUp(self):
        for name in ("service.REPAIR_SECONDS", "client.COMMIT_RETRY_SECONDS"):
            patch = mock.patch(f"sapphireyard.history.{name}", NEVER_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def write_chain(self, missed, *, size=0):
        """Write a turn for each name of a copy that misses it; return the text."""
        previous, expected = "", b""
        for number, away in enumerate(missed):
            name = f"t{number}"
            text = random.Random(number).randbytes(size)
            turn = replace(build_turn(name, previous), input=text)
            with self.unreachable(*away.strip()):
                await self.client.commit(turn)
            previous = name
            expected += turn.input + turn.output
        self.client._cache.clear()
        for name, copy in self.copies.items():
            if name in missed:
                self.assertIsNone(copy._state.find_chain(previous), name)
        return expected

    async def test_turns_at_different_copies_are_read_together(self):
        """Guards against chains that a quorum holds and nobody can read (review/13).

        Each case has which copy misses each turn; a blank means none.
        """
        for case in ("dabc", "abcd", "abcdabcd", " d a b c ", "aabbccdd", "abababab"):
            with self.subTest(case):
                expected = await self.write_chain(case)
                chain = await self.client.read_chain(f"t{len(case) - 1}")
                self.assertEqual(chain.text, expected)
                self.assertEqual((chain.customer, chain.upstream), ("c", "e"))
                for name in list(self.copies):
                    self.copies[name]._state._turns.clear()
                    self.copies[name]._state._ranks.clear()

    async def test_turn_after_an_assembled_chain_is_committed_and_read(self):
        expected = await self.write_chain("abcd")
        last = build_turn("last", "t3")
        await self.client.commit(last)
        self.client._cache.clear()
        chain = await self.client.read_chain("last")
        self.assertEqual(chain.text, expected + last.input + last.output)

    async def test_long_chain_is_read_in_ranges(self):
        """Guards against long histories that lie at several copies."""
        expected = await self.write_chain("abcd", size=WINDOW_BYTES // 2 + 1)
        chain = await self.client.read_chain("t3", admit=lambda size: False)
        self.assertEqual((chain.text, chain.long.size), (b"", len(expected)))
        windows = [window async for window in chain.long.stream()]
        self.assertEqual(b"".join(windows), expected)
        for start, length in ((0, 1), (WINDOW_BYTES // 2, PART_BYTES), (9, 10**9)):
            part = await chain.long._read(start, length)
            self.assertEqual(part, expected[start : start + length])

    async def test_copy_that_hangs_or_is_away_does_not_hold_up_the_others(self):
        """Each case has what the fourth copy does."""
        expected = await self.write_chain("abc")
        loop = asyncio.get_running_loop()

        async def hang(message, context):
            await asyncio.sleep(NEVER_SECONDS)
            yield

        for name in ("hangs", "is away"):
            with self.subTest(name), contextlib.ExitStack() as stack:
                if name == "hangs":
                    self.hosts["d"].peers.register_stream(ChainQuery, hang)
                else:
                    stack.enter_context(self.unreachable("d"))
                self.client._cache.clear()
                started = loop.time()
                chain = await self.client._reader._assemble(
                    self.client.copies, "t2", lambda size: True, 0, 0
                )
                self.assertEqual(chain.text, expected)
                self.assertLess(loop.time() - started, READ_SECONDS)

    async def test_part_is_read_from_another_copy_if_one_fails(self):
        expected = await self.write_chain("abcd", size=2 * PART_BYTES)
        chains = self.copies["b"]._chains
        error = CallError("history_unavailable", "the disk fails")
        with mock.patch.object(chains, "_read_record", side_effect=error):
            chain = await self.client.read_chain("t3")
        self.assertEqual(chain.text, expected)

    async def test_incomplete_chains_are_neither_read_nor_denied(self):
        """Each case has turns that no copy has any more."""
        for gone in ("t0", "t1", "t2"):
            with self.subTest(gone):
                await self.write_chain("abcd")
                for copy in self.copies.values():
                    copy._state._turns.pop(gone, None)
                with self.assertRaises(CallError) as caught:
                    await self.client.read_chain("t3")
                self.assertEqual(caught.exception.code, "history_unavailable")
                for copy in self.copies.values():
                    copy._state._turns.clear()

    async def test_cycle_of_turns_is_not_followed_for_ever(self):
        """A caller that reuses ids may let turns name each other."""
        for copy in self.copies.values():
            for one, other in (("x", "y"), ("y", "x")):
                copy._state.apply(build_turn(one, other), 0, 0.0)
        with self.assertRaises(CallError) as caught:
            await self.client.read_chain("x")
        self.assertEqual(caught.exception.code, "history_unavailable")


if __name__ == "__main__":
    unittest.main()
