"""Copies of histories: the log, the state, the set of copies, and its quorums."""

import asyncio
import errno
import gc
import itertools
import os
import tempfile
import threading
import tracemalloc
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerUnavailable
from sapphireyard.exchange.held import MEBIBYTE
from sapphireyard.fleet.generated_fleet import CopySet
from sapphireyard.history.client import HistoryClient
from sapphireyard.history.copies import (
    explain_stay,
    fence_quorum,
    majority,
    may_stop,
    plan_join,
    plan_leave,
    plan_recovery,
    target_size,
    write_quorum,
)
from sapphireyard.history.generated_history import (
    DiskStatus,
    Reservation,
    ReservationCounted,
    ReservationSynced,
    Settlement,
    Turn,
    TurnSynced,
)
from sapphireyard.history.log import RecordLog
from sapphireyard.history.quorums import gather_quorum
from sapphireyard.history.state import HistoryState

LONG = 4e9
"""Seconds that no test reaches."""
WAIT_SECONDS = 10.0


def build_turn(name, previous="", *, customer="c", tokens=42, keep_seconds=LONG):
    """Return a turn whose texts contain its name."""
    text = f"<{name}>".encode()
    return Turn(
        name,
        previous,
        customer,
        f"{customer}/p",
        tokens,
        text,
        text,
        keep_seconds,
        upstream="e",
    )


class CopySetTest(unittest.TestCase):
    def test_quorums_share_a_member(self):
        for copies, tolerated in itertools.product(range(1, 10), range(4)):
            with self.subTest((copies, tolerated)):
                written = write_quorum(copies, tolerated=tolerated)
                fenced = fence_quorum(copies, tolerated=tolerated)
                self.assertGreater(2 * majority(copies), copies)
                self.assertGreater(written + fenced, copies)
                self.assertGreaterEqual(fenced, 1)

    def test_lost_disks_leave_enough_members_to_join(self):
        """Each write survives, and hosts with new disks find enough members."""
        for tolerated in range(4):
            for copies in range(tolerated + 1, target_size(tolerated) + 1):
                with self.subTest((copies, tolerated)):
                    left = copies - tolerated
                    self.assertGreaterEqual(
                        left, fence_quorum(copies, tolerated=tolerated)
                    )
                    self.assertGreater(
                        write_quorum(copies, tolerated=tolerated) + left, copies
                    )

    def test_write_survives_the_losses(self):
        for copies, tolerated, needed in (
            (4, 1, 3),
            (3, 1, 2),
            (2, 1, 2),
            (1, 1, 2),
            (6, 2, 4),
        ):
            with self.subTest((copies, tolerated)):
                self.assertEqual(write_quorum(copies, tolerated=tolerated), needed)

    def test_joining(self):
        four = {"a": "1", "b": "2", "c": "3", "d": "4"}
        three = {name: four[name] for name in "abc"}
        cases = [
            ("first of all", {}, "a", "1", "", {"a": "1"}),
            ("one more", three, "d", "4", "", four),
            ("member already", four, "d", "4", "", None),
            ("none needed", four, "e", "5", "", None),
            (
                "for one that is silent",
                four,
                "e",
                "5",
                "b",
                {**{k: four[k] for k in "acd"}, "e": "5"},
            ),
            (
                "for one that is silent, though there is room",
                three,
                "e",
                "5",
                "b",
                {"a": "1", "c": "3", "e": "5"},
            ),
            ("back with another disk", four, "d", "9", "", {**four, "d": "9"}),
            ("too few are live", four, "e", "5", "abc", None),
        ]
        for name, members, host, disk, silent, expected in cases:
            with self.subTest(name):
                copies = CopySet(7, members)
                changed = plan_join(
                    copies, host, disk, silent=lambda h: h in silent, tolerated=1
                )
                if expected is None:
                    self.assertIsNone(changed)
                else:
                    self.assertEqual(changed, CopySet(8, expected))

    def test_leaving(self):
        copies = CopySet(7, {"a": "1", "b": "2"})
        self.assertEqual(plan_leave(copies, "a"), CopySet(8, {"b": "2"}))
        self.assertIsNone(plan_leave(copies, "z"))

    def test_host_keeps_its_disk_while_the_others_cannot_bear_the_losses(self):
        """Each case has members, those with all records, and the losses to bear."""
        cases = [
            ("abcd", "bcd", 1, True),
            ("abcd", "bc", 1, False),
            ("abc", "bc", 1, False),
            ("abcdef", "bcdef", 2, True),
            ("abcdef", "bcde", 2, False),
            ("abcde", "bcde", 2, False),
            ("abc", "bc", 2, False),
            ("ab", "b", 0, True),
            ("a", "", 0, False),
            ("bcdef", "bcdef", 2, True),
        ]
        for members, holders, tolerated, may_leave in cases:
            with self.subTest((members, holders, tolerated)):
                copies = CopySet(7, dict.fromkeys(members, "disk"))
                reason = explain_stay(copies, "a", set(holders), tolerated=tolerated)
                self.assertEqual(not reason, may_leave, reason)

    def test_hosts_that_stop_together_leave_a_majority(self):
        """Each case has members, the host, those that serve and those that stop."""
        cases = [
            ("abcd", "a", "bcd", "", True),
            ("abcd", "a", "bcd", "bcd", True),
            ("abcd", "b", "acd", "acd", False),
            ("abcd", "b", "cd", "cd", False),
            ("abcd", "b", "acd", "cd", True),
            ("abcd", "d", "abc", "c", False),
            ("abc", "b", "ac", "c", True),
            ("abc", "b", "a", "", False),
            ("a", "a", "", "", False),
        ]
        for members, host, serving, stopping, expected in cases:
            with self.subTest((members, host, serving, stopping)):
                copies = CopySet(7, dict.fromkeys(members, "disk"))
                self.assertEqual(
                    may_stop(copies, host, serving, stopping, tolerated=1), expected
                )

    def test_recovery_begins_only_when_a_loss_is_certain(self):
        """Each case has the state of each member.

        A member is serving, joining, lost, away, has forgotten the set or does not
        tell, as hosts of older builds. Two disks may be lost; the expected members are
        those of the new set.
        """
        cases = [
            ("a lost b lost c lost", 0, "x"),
            ("a lost b lost c serving", 0, None),
            ("a lost b lost c away", 0, None),
            ("a lost b lost c away", 6, None),
            ("a lost b lost c away", 7, "x"),
            ("a lost b lost c lost d joining", 0, "x"),
            ("a lost b lost c serving d joining", 0, None),
            ("a lost b lost c lost d serving", 0, "dx"),
            ("a lost b lost c lost d lost e serving f serving", 0, "efx"),
            ("a lost b lost c lost d serving e serving f serving", 0, None),
            ("a lost b lost c lost d lost e serving f away", 0, None),
            ("a away b away c away", 0, None),
            ("a joining", 0, None),
            ("a lost", 0, "x"),
            ("", 0, None),
            ("a forgotten b forgotten c forgotten", 0, None),
            ("a forgotten b forgotten c forgotten d forgotten", 0, None),
            ("a lost b lost c forgotten", 0, None),
            ("a lost b lost c forgotten d forgotten e forgotten f forgotten", 0, None),
            ("a lost b lost c joining d forgotten e forgotten f serving", 0, None),
            ("a lost b lost c lost d forgotten e joining f joining", 0, None),
            ("a lost b lost c lost d lost e forgotten f forgotten", 0, "x"),
            ("a lost b lost c lost d lost e forgotten f serving", 0, "fx"),
            ("a lost b lost c lost d untold", 0, None),
            ("a lost b lost c lost d untold", 7, "x"),
        ]
        for states, accepted, expected in cases:
            with self.subTest((states, accepted)):
                words = states.split()
                pairs = dict(zip(words[::2], words[1::2]))
                copies = CopySet(7, dict.fromkeys(pairs, "old"))
                disks = {
                    name: DiskStatus(
                        "new" if state == "lost" else "old",
                        state == "serving",
                        "" if state == "untold" else state,
                    )
                    for name, state in pairs.items()
                    if state != "away"
                }
                changed = plan_recovery(
                    copies, "x", "disk", disks, accepted=accepted, tolerated=2
                )
                if expected is None:
                    self.assertIsNone(changed)
                    continue
                self.assertEqual("".join(sorted(changed.members)), expected)
                self.assertEqual((changed.version, changed.lost_before), (8, 8))


class StateTest(unittest.TestCase):
    def test_state_does_not_depend_on_order(self):
        records = [
            Reservation(1, "c/p", "t1", 280, LONG),
            Settlement("c/p", "t1", 56, LONG),
            Reservation(1, "c/p", "t2", 280, LONG),
            build_turn("t2", "t1"),
            Settlement("c/p", "t3", 14, LONG),
        ]
        expected = {"t1": (56, True), "t2": (42, True), "t3": (14, True)}
        for order in (records, records[::-1], records + records):
            state = HistoryState()
            for position, record in enumerate(order):
                state.apply(record, position, 0.0)
            spent = {s.turn: (s.tokens, s.settled) for s in state.spendings("c/p")}
            self.assertEqual(spent, expected)

    def test_chains_share_their_beginning(self):
        state = HistoryState()
        turns = [build_turn("a"), build_turn("b", "a"), build_turn("c", "a")]
        for position, turn in enumerate(turns):
            state.apply(turn, position, 0.0)
        for turn, positions in (("b", [0, 1]), ("c", [0, 2]), ("none", None)):
            with self.subTest(turn):
                chain = state.find_chain(turn)
                found = [stored.position for stored in chain] if chain else None
                self.assertEqual(found, positions)

    def test_cycle_of_turns_is_no_chain(self):
        """A caller reused ids; a copy has the later of two turns."""
        for turns in (("a", "a"),), (("a", "b"), ("b", "a")):
            with self.subTest(turns):
                state = HistoryState()
                for position, (name, previous) in enumerate(turns):
                    state.apply(build_turn(name, previous), position, 0.0)
                self.assertIsNone(state.find_chain("a"))

    def test_chain_is_kept_as_long_as_its_last_turn(self):
        state = HistoryState()
        state.apply(build_turn("a", keep_seconds=75.0), 0, -65.0)
        state.apply(build_turn("b", "a", keep_seconds=75.0), 1, 15.0)
        self.assertEqual(state.expire(50.0), 0)
        self.assertIsNotNone(state.find_chain("b"))
        self.assertIsNone(state.expire(91.0))
        self.assertIsNone(state.find_turn("b"))


class LogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def reopen(self):
        log = RecordLog(self.folder, segment_bytes=200)
        payloads = [payload for _, payload in log.open()]
        self.addCleanup(log.close)
        return log, payloads

    async def test_synced_records_are_read_back(self):
        log, _ = self.reopen()
        for number in range(20):
            log.append(b"record %d" % number)
            await log.sync()
        log.close()
        log, payloads = self.reopen()
        self.assertEqual(payloads, [b"record %d" % n for n in range(20)])
        self.assertEqual(log.read(7), b"record 7")

    async def test_torn_record_ends_its_file_only(self):
        log, _ = self.reopen()
        for number in range(3):
            log.append(b"record %d" % number)
        await log.sync()
        log.close()
        path = max(self.folder.glob("*.records"), key=lambda p: p.stat().st_size)
        for cut in (1, 12, 25):
            with self.subTest(cut):
                os.truncate(path, path.stat().st_size - cut)
                log, payloads = self.reopen()
                intact = len(payloads)
                log.append(b"later")
                await log.sync()
                log.close()
                _, payloads = self.reopen()
                self.assertEqual(len(payloads), intact + 1)
                self.assertEqual(payloads[-1], b"later")
                for extra in self.folder.glob("*.records"):
                    if extra != path:
                        extra.unlink()

    async def test_new_folder_outlasts_a_loss_of_power(self):
        """A folder is durable once the folder that holds it was synced."""
        synced = []
        with mock.patch("sapphireyard.history.log.sync_folder", synced.append):
            log = RecordLog(self.folder / "new")
            list(log.open())
            log.close()
        self.assertEqual(synced, [self.folder, self.folder / "new"])

    async def test_dropped_records_free_their_files(self):
        log, _ = self.reopen()
        for number in range(40):
            log.append(b"record %d" % number)
            await log.sync()
        before = len(list(self.folder.glob("*.records")))
        log.drop_before(30)
        self.assertLess(len(list(self.folder.glob("*.records"))), before)
        self.assertIsNone(log.read(0))
        self.assertEqual(log.read(35), b"record 35")


class FailingDiskTest(unittest.IsolatedAsyncioTestCase):
    """Faults of the disk, where calls wait or fail in the thread that makes them."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = RecordLog(self.folder, segment_bytes=100)
        list(self.log.open())
        self.addCleanup(self.log.close)

    def read_all(self):
        log = RecordLog(self.folder)
        payloads = [payload for _, payload in log.open()]
        log.close()
        return payloads

    async def test_slow_disk_does_not_stop_the_event_loop(self):
        """Each case has the call that takes long; each record begins a new file."""
        for name in ("os.open", "os.write", "os.fdatasync", "os.fsync"):
            with self.subTest(name):
                call = getattr(os, name.removeprefix("os."))

                def wait(*arguments, call=call):
                    if threading.current_thread() is threading.main_thread():
                        self.fail("the event loop waits for the disk")
                    return call(*arguments)

                for number in range(3):
                    self.log.append(bytes(200))
                    with mock.patch(f"sapphireyard.history.log.{name}", wait):
                        await self.log.sync()

    async def test_disk_that_was_full_is_written_again(self):
        """Each case has the call that fails; nothing is acknowledged meanwhile.

        A record whose sync failed may be there twice, which changes no state.
        """
        disk_full = OSError(errno.ENOSPC, "disk full")
        no_thread = RuntimeError("can't start new thread")
        cases = [
            *((f"os.{call}", disk_full) for call in ("open", "write", "fdatasync")),
            ("os.fsync", disk_full),
            ("os.write", no_thread),
        ]
        for name, error in cases:
            with self.subTest(name, error=error):
                kept = self.read_all()
                texts = (f"{name} {type(error).__name__} {n}" for n in range(3))
                full, first, second = (text.encode() * 30 for text in texts)
                self.log.append(full)
                await self.log.sync()  # the next record begins a file
                with mock.patch(f"sapphireyard.history.log.{name}", side_effect=error):
                    self.log.append(first)
                    for _ in range(2):
                        with self.assertRaises(CallError) as caught:
                            await self.log.sync()
                        self.assertEqual(caught.exception.status, 503)
                    with self.assertRaises(CallError):
                        self.log.append(b"refused")
                with mock.patch("sapphireyard.history.log.RETRY_SECONDS", 0.01):
                    self.log._retry()
                    async with asyncio.timeout(WAIT_SECONDS):
                        while self.log._failure is not None:
                            await asyncio.sleep(0.01)
                self.log.append(second)
                await self.log.sync()
                found = list(dict.fromkeys(self.read_all()))
                self.assertEqual(found, [*dict.fromkeys(kept), full, first, second])

    async def test_log_that_is_finished_has_what_was_appended(self):
        """A stop waits for a write on its way, and takes no record after it."""
        self.log.append(b"first")
        writing = asyncio.ensure_future(self.log.sync())
        await asyncio.sleep(0)
        self.log.append(b"second")
        await self.log.finish()
        await writing
        with self.assertRaises(CallError):
            self.log.append(b"third")
        self.assertEqual(self.read_all(), [b"first", b"second"])

    async def test_records_that_wait_for_a_slow_disk_are_kept_once(self):
        """Each was kept twice, and a third time while it was written.

        A host with 160 MB took 232 MB for twelve turns of 3.9 MB at once.
        """
        log = RecordLog(self.folder / "slow")
        list(log.open())
        payloads = [bytes([number]) * MEBIBYTE for number in range(1, 9)]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for payload in payloads:
            log.append(payload)
        await log.sync()
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, MEBIBYTE)
        for position, payload in enumerate(payloads):
            self.assertEqual(log.read(position), payload)
        log.close()
        reopened = RecordLog(self.folder / "slow")
        self.assertEqual([payload for _, payload in reopened.open()], payloads)
        reopened.close()

    async def test_foreign_files_do_not_stop_the_start(self):
        self.log.append(b"first")
        await self.log.finish()
        (self.folder / "old.records").write_bytes(b"x")
        (self.folder / "00000099.records").mkdir()
        (self.folder / "00000098.records").write_bytes(b"\xff" * 40)
        self.assertEqual(self.read_all(), [b"first"])

    async def test_full_disk_does_not_stop_the_start(self):
        error = OSError(errno.ENOSPC, "disk full")
        self.log.append(b"first")
        await self.log.finish()
        with mock.patch("sapphireyard.history.log.os.open", side_effect=error):
            log = RecordLog(self.folder)
            with mock.patch("sapphireyard.history.log.sync_folder"):
                self.assertEqual([payload for _, payload in log.open()], [b"first"])
        log.append(b"second")
        await log.finish()
        self.assertEqual(self.read_all(), [b"first", b"second"])


class CyclicPeers:
    """Four copies that receive five reservations in cyclic orders.

    Each reservation arrives before the next one at the three copies that answer it
    in time, so that none of the five sees all others while it is written.
    """

    ORDERS = {"a": "12345", "b": "23451", "c": "34512", "d": "45123"}
    LATE = {("5", "a"), ("1", "b"), ("2", "c"), ("3", "d")}

    def __init__(self):
        self._states = {name: HistoryState() for name in self.ORDERS}
        self._messages = {}
        self._answers = {}
        self._all_arrived = asyncio.Event()
        self.codec = SimpleNamespace(register_module=lambda module: None)

    async def stream(self, host, message, *, timeout):
        self._messages[message.turn, host] = message
        if len(self._messages) == 20:
            self._apply_all()
        await self._all_arrived.wait()
        if (message.turn, host) in self.LATE:
            await asyncio.sleep(timeout)
        yield self._answers[message.turn, host]
        yield ReservationSynced()

    def _apply_all(self):
        for host, order in self.ORDERS.items():
            for position, turn in enumerate(order):
                self._states[host].apply(self._messages[turn, host], position, 0.0)
                spendings = self._states[host].spendings("c/p")
                self._answers[turn, host] = ReservationCounted(spendings)
        self._all_arrived.set()

    async def ask(self, host, message, *, timeout):
        return ReservationCounted(self._states[host].spendings("c/p"))


class CyclicReservationsTest(unittest.IsolatedAsyncioTestCase):
    async def test_reservations_that_miss_each_other_stay_within_the_budget(self):
        """Five turns reserve 100 of 450 tokens at the same time."""
        membership = SimpleNamespace(active=True, silent_for=lambda host, now: 0.0)
        runtime = SimpleNamespace(
            peers=CyclicPeers(),
            clock=Clock(),
            settings=SimpleNamespace(tolerated_losses=1),
            gossip=SimpleNamespace(membership=membership),
        )
        client = HistoryClient(runtime)
        client.update_copies(CopySet(1, {name: name for name in "abcd"}))
        results = await asyncio.gather(
            *(
                client.reserve("c/p", turn, 100, 450, keep_seconds=LONG)
                for turn in "12345"
            ),
            return_exceptions=True,
        )
        refused = [result for result in results if isinstance(result, CallError)]
        self.assertGreaterEqual(len(refused), 1)
        self.assertEqual({error.code for error in refused}, {"budget_exceeded"})


class ReachableCopiesTest(unittest.TestCase):
    def test_copies_that_a_standby_host_does_not_hear_count_as_reachable(self):
        """Copies send heartbeats to active hosts only."""
        for active, silence, keeps_turns in (
            (True, 0.1, True),
            (True, float("inf"), False),
            (False, float("inf"), True),
        ):
            with self.subTest((active, silence)):
                membership = SimpleNamespace(
                    active=active, silent_for=lambda host, now, s=silence: s
                )
                runtime = SimpleNamespace(
                    peers=CyclicPeers(),
                    clock=Clock(),
                    settings=SimpleNamespace(tolerated_losses=1),
                    gossip=SimpleNamespace(membership=membership),
                )
                client = HistoryClient(runtime)
                client.update_copies(CopySet(1, {name: name for name in "abcd"}))
                self.assertEqual(client.keeps_turns, keeps_turns)


class BreakingPeers:
    """Loses the connection to some hosts a number of times, then connects."""

    def __init__(self, breaks):
        self.codec = SimpleNamespace(register_module=lambda module: None)
        self.breaks = dict(breaks)
        self.stored = []

    async def ask(self, host, message, *, timeout):
        if self.breaks.get(host):
            self.breaks[host] -= 1
            raise PeerUnavailable(f"connection to {host} ended")
        self.stored.append(host)
        return TurnSynced()


class CommitTest(unittest.IsolatedAsyncioTestCase):
    async def test_turn_outlasts_lost_connections_to_its_copies(self):
        """Cases are how often connections to copies a to d are lost, and the result.

        Three of the four copies have to store a turn.
        """
        forever = 1000
        cases = [
            ({}, True),
            ({"a": 1, "b": 1}, True),
            ({"a": 1, "b": 3, "c": 1, "d": 2}, True),
            ({"a": forever}, True),
            ({"a": forever, "b": 2}, True),
            ({"a": forever, "b": forever}, False),
        ]
        for breaks, stored in cases:
            with self.subTest(breaks):
                membership = SimpleNamespace(silent_for=lambda host, now: 0.0)
                runtime = SimpleNamespace(
                    peers=BreakingPeers(breaks),
                    clock=Clock(),
                    settings=SimpleNamespace(tolerated_losses=1),
                    gossip=SimpleNamespace(membership=membership),
                )
                client = HistoryClient(runtime)
                client.update_copies(CopySet(1, {name: name for name in "abcd"}))
                turn = build_turn("t1")
                if not stored:
                    with self.assertRaises(CallError) as caught:
                        await client.commit(turn)
                    self.assertEqual(caught.exception.code, "history_unavailable")
                    continue
                await client.commit(turn)
                self.assertGreaterEqual(len(runtime.peers.stored), 3)


class QuorumTest(unittest.IsolatedAsyncioTestCase):
    async def test_errors_after_a_cancellation_are_retrieved(self):
        """The loop must not report any of them as never retrieved."""
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: reports.append(context))
        futures = [loop.create_future() for _ in range(3)]
        waiter = asyncio.ensure_future(gather_quorum(futures, 2, WAIT_SECONDS))
        await asyncio.sleep(0)
        waiter.cancel()
        await asyncio.wait([waiter])
        for future in futures:
            future.set_exception(CallError("history_unavailable", "gone"))
        await asyncio.sleep(0)
        del futures, future, waiter
        gc.collect()
        self.assertEqual(reports, [])
