"""Turns and spending are kept for as long as they are needed."""

import asyncio
import unittest
from dataclasses import replace

from sapphireyard.exceptions import CallError
from sapphireyard.history.generated_history import Reservation
from sapphireyard.history.reader import ChainText
from sapphireyard.history.repair import REPAIR_SECONDS
from sapphireyard.history.state import HistoryState
from tests.history_case import HistoryCase
from tests.test_history import build_turn

KEEP_SECONDS = 75.0
REPAIRED_SECONDS = 4.3
"""Time in which a copy gets what it has missed: the shortest `catch-up-s`."""


class LongTurnTest(HistoryCase):
    """Four copies on whose clocks time passes as the tests say."""

    async def test_chain_outlives_a_turn_that_continues_it(self):
        """Guards against a chain that expires during a long turn (review/14).

        Each case has whether copies miss what renews it, or are restarted.
        """
        for case in ("calm", "missed", "restarted"):
            with self.subTest(case):
                await self.client.commit(
                    build_turn(f"{case}-1", keep_seconds=KEEP_SECONDS)
                )
                await self.client.commit(
                    build_turn(f"{case}-2", f"{case}-1", keep_seconds=KEEP_SECONDS)
                )
                await asyncio.sleep(3 * REPAIR_SECONDS)  # all logs are examined
                for second in range(0, 2 * int(KEEP_SECONDS), 50):
                    await self.advance(50.0)
                    away = ("abcd"[second // 50 % 4],) if case == "missed" else ()
                    with self.unreachable(*away):
                        self.client.renew("c/p", f"{case}-2", keep_seconds=KEEP_SECONDS)
                        await asyncio.sleep(0.1)
                    if case == "restarted":
                        await self.stop_copy("a")
                        await self.start_copy("a", bootstrap=False)
                        await self.wait_until_serving("a")
                last = build_turn(f"{case}-3", f"{case}-2", keep_seconds=KEEP_SECONDS)
                await self.client.commit(last)
                self.client._cache.clear()
                chain = await self.client.read_chain(f"{case}-3")
                self.assertEqual(len(chain.text), 6 * len(f"<{case}-1>"))
                await self.wait_for_chain(f"{case}-3")

    async def wait_for_chain(self, turn):
        """Wait until each copy has the whole chain of a turn."""
        async with asyncio.timeout(REPAIRED_SECONDS):
            while not all(
                copy._state.find_chain(turn) for copy in self.copies.values()
            ):
                await asyncio.sleep(0.02)

    async def test_spending_outlives_a_turn_that_reserved_it(self):
        """Guards against a budget that is spent twice while a long turn runs."""
        options = {"keep_seconds": 15.0}
        await (await self.client.reserve("c/p", "long", 80, 100, **options))
        for _ in range(3):
            await self.advance(10.0)
            self.client.renew("c/p", "", **options)
            await asyncio.sleep(0.1)
        with self.assertRaises(CallError) as caught:
            await self.client.reserve("c/p", "next", 80, 100, **options)
        self.assertEqual(caught.exception.code, "budget_exceeded")


class SettlementTest(HistoryCase):
    """Settlements that copies do not get at once."""

    async def test_settlement_reaches_the_copies_later(self):
        """Guards against reservations that count although their turn has ended.

        Each case has the copies that cannot be reached when the turn ends.
        """
        options = {"keep_seconds": KEEP_SECONDS}
        for away in ("", "abc", "abcd"):
            with self.subTest(away):
                program = f"c/{away}"
                await (await self.client.reserve(program, "t1", 90, 100, **options))
                with self.unreachable(*away):
                    self.client.settle(program, "t1", 10, **options)
                    await asyncio.sleep(0.2)
                async with asyncio.timeout(REPAIRED_SECONDS):
                    while any(
                        [(each.turn, each.tokens) for each in found] != [("t1", 10)]
                        for found in self.list_spendings(program)
                    ):
                        await asyncio.sleep(0.05)

    def list_spendings(self, program):
        """Return what each copy knows of the spending of a program."""
        return [copy._state.spendings(program) for copy in self.copies.values()]


class CachedChainTest(HistoryCase):
    """Chains in the memory of an entry host, and the copies' retention."""

    async def test_chain_in_memory_does_not_outlive_the_copies(self):
        """Guards against turns whose chain only one entry host still has.

        Each case has the seconds after which the turn is read, and whether it is found.
        Turns are in memory as they were committed here, or read.
        """
        for is_read in (False, True):
            for seconds, is_found in ((64.0, True), (76.0, False)):
                with self.subTest((is_read, seconds)):
                    name = f"{is_read}-{seconds}"
                    turn = build_turn(name, keep_seconds=KEEP_SECONDS)
                    await self.client.commit(turn)
                    if is_read:
                        await self.client.read_chain(name)
                    else:
                        self.client.cache(name, ChainText("c").extend(turn))
                    await self.advance(seconds)
                    try:
                        chain = await self.client.read_chain(name)
                        self.assertEqual(chain.text, turn.input + turn.output)
                        found = True
                    except CallError as error:
                        self.assertEqual(error.code, "turn_unknown")
                        found = False
                    self.assertEqual(found, is_found)

    async def test_chain_in_memory_is_forgotten_with_the_histories(self):
        """Guards against turns whose chain was lost with the disks."""
        turn = build_turn("one")
        self.client.cache("one", ChainText("c").extend(turn))
        copies = self.client.copies
        lost = replace(copies, version=copies.version + 1)
        self.client.update_copies(replace(lost, lost_before=lost.version))
        self.assertEqual((len(self.client._cache), self.client._cached_bytes), (0, 0))

    async def test_turn_is_not_acknowledged_without_its_chain(self):
        """Guards against turns that are answered whole and cannot be continued.

        Each case has the copies that have dropped the turn before.
        """
        cases = [("", True), ("a", True), ("ab", True), ("abcd", False)]
        for dropped, is_acknowledged in cases:
            with self.subTest(dropped):
                await self.client.commit(build_turn(f"{dropped}-1"))
                for name in dropped:
                    self.copies[name]._state._turns.pop(f"{dropped}-1")
                commit = self.client.commit(build_turn(f"{dropped}-2", f"{dropped}-1"))
                if is_acknowledged:
                    await commit
                    continue
                with self.assertRaises(CallError) as caught:
                    await commit
                self.assertEqual(caught.exception.code, "history_unavailable")


class RenewalTest(unittest.TestCase):
    def test_renewal_keeps_what_is_there(self):
        """Each case has what is renewed at 50 s, and what is left at 100 s."""
        cases = [
            ("c/p", "two", {"one", "two"}, {"c/p"}),
            ("c/p", "one", {"one"}, {"c/p"}),
            ("c/p", "", set(), {"c/p"}),
            ("c/q", "two", {"one", "two"}, set()),
            ("c/q", "none", set(), set()),
        ]
        for program, turn, turns, programs in cases:
            with self.subTest((program, turn)):
                state = HistoryState()
                state.apply(build_turn("one", keep_seconds=KEEP_SECONDS), 0, 0.0)
                state.apply(build_turn("two", "one", keep_seconds=KEEP_SECONDS), 1, 0.0)
                state.apply(Reservation(1, "c/p", "r", 9, KEEP_SECONDS), 2, 0.0)
                state.renew(program, turn, 50.0 + KEEP_SECONDS)
                state.expire(100.0)
                found = {each for each in ("one", "two") if state.find_turn(each)}
                self.assertEqual(found, turns)
                found = {each for each in ("c/p", "c/q") if state.spendings(each)}
                self.assertEqual(found, programs)


if __name__ == "__main__":
    unittest.main()
