"""Copies of histories: the log, the fold, the set, and reads and writes."""

import asyncio
import gc
import os
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError
from sapphireyard.fleet.generated_fleet import CopySet, Heartbeat
from sapphireyard.fleet.membership import HISTORY, Membership
from sapphireyard.history.client import HistoryClient, gather_quorum
from sapphireyard.history.copies import (
    fence_quorum,
    majority,
    plan_join,
    plan_leave,
    write_quorum,
)
from sapphireyard.history.generated_history import (
    Reservation,
    ReservationCounted,
    ReservationSynced,
    Settlement,
    Turn,
)
from sapphireyard.history.log import RecordLog
from sapphireyard.history.service import HistoryService
from sapphireyard.history.state import HistoryState
from sapphireyard.streams.peers import Peers
from standins.memory import MemoryStore

LONG = 4e9
"""Seconds that no test reaches."""
WAIT_SECONDS = 10.0


def build_turn(name, previous="", *, customer="c", tokens=42, keep_seconds=LONG):
    """Return a turn whose texts tell its name."""
    said = f"<{name}>".encode()
    return Turn(
        name,
        previous,
        customer,
        f"{customer}/p",
        tokens,
        said,
        said,
        keep_seconds,
        upstream="e",
    )


class CopySetTest(unittest.TestCase):
    def test_quorums_share_a_member(self):
        for copies in range(1, 10):
            with self.subTest(copies):
                self.assertGreater(2 * majority(copies), copies)
                self.assertGreater(majority(copies) + fence_quorum(copies), copies)

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
                "for one that is gone",
                four,
                "e",
                "5",
                "b",
                {**{k: four[k] for k in "acd"}, "e": "5"},
            ),
            ("back with another disk", four, "d", "9", "", {**four, "d": "9"}),
            ("too few are heard", four, "e", "5", "abc", None),
        ]
        for name, members, host, disk, gone, expected in cases:
            with self.subTest(name):
                copies = CopySet(7, members)
                changed = plan_join(
                    copies, host, disk, silent=lambda h: h in gone, tolerated=1
                )
                if expected is None:
                    self.assertIsNone(changed)
                else:
                    self.assertEqual(changed, CopySet(8, expected))

    def test_leaving(self):
        copies = CopySet(7, {"a": "1", "b": "2"})
        self.assertEqual(plan_leave(copies, "a"), CopySet(8, {"b": "2"}))
        self.assertIsNone(plan_leave(copies, "z"))


class StateTest(unittest.TestCase):
    def test_fold_does_not_depend_on_order(self):
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
                found = [kept.position for kept in chain] if chain else None
                self.assertEqual(found, positions)

    def test_ring_of_turns_is_no_chain(self):
        """A caller used ids again; a copy has the later of two turns."""
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
                kept = len(payloads)
                log.append(b"later")
                await log.sync()
                log.close()
                _, payloads = self.reopen()
                self.assertEqual(len(payloads), kept + 1)
                self.assertEqual(payloads[-1], b"later")
                for extra in self.folder.glob("*.records"):
                    if extra != path:
                        extra.unlink()

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


class CyclicPeers:
    """Four copies that five reservations reach in orders which go in a circle.

    Each reservation arrives before the next one at the three copies that answer
    it in time, so none of the five sees all others while it is written.
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
        membership = SimpleNamespace(silent_for=lambda host, now: 0.0)
        yard = SimpleNamespace(
            peers=CyclicPeers(),
            clock=Clock(),
            settings=SimpleNamespace(tolerated_losses=1),
            gossip=SimpleNamespace(membership=membership),
        )
        client = HistoryClient(yard)
        client.hear_copies(CopySet(1, {name: name for name in "abcd"}))
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


class QuorumTest(unittest.IsolatedAsyncioTestCase):
    async def test_errors_after_the_asker_has_left_are_looked_at(self):
        """The loop reports none of them as never retrieved."""
        reports = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: reports.append(context))
        futures = [loop.create_future() for _ in range(3)]
        asker = asyncio.ensure_future(gather_quorum(futures, 2, WAIT_SECONDS))
        await asyncio.sleep(0)
        asker.cancel()
        await asyncio.wait([asker])
        for future in futures:
            future.set_exception(CallError("history_unavailable", "gone"))
        await asyncio.sleep(0)
        del futures, future, asker
        gc.collect()
        self.assertEqual(reports, [])


class SteadyMembership(Membership):
    """Hosts that send no heartbeats and are heard all the same, but for some."""

    def __init__(self, host):
        super().__init__(host)
        self.silent = set()

    def silent_for(self, host, now):
        return float("inf") if host in self.silent else 0.0


class JumpingClock(Clock):
    """A clock whose time of day jumps, and whose time passes, as a test says."""

    jump = 0.0
    passed = 0.0

    def monotonic(self):
        return super().monotonic() + self.passed

    def wall(self):
        return super().wall() + self.passed + self.jump


class Host:
    """One process in the test's loop: peers, and a copy or a client."""

    def __init__(self, name, store, folder, *, bootstrap=True, domain="a"):
        settings = SimpleNamespace(
            peer_address="127.0.0.1:0",
            data_folder=str(folder / name),
            bootstrap=bootstrap,
            tolerated_losses=1,
            failure_domain=domain,
            role=HISTORY,
        )
        self.host = name
        self.incarnation = 1
        self.settings = settings
        self.store = store
        self.clock = JumpingClock()
        self.configuration = self.ownership = None
        self.peers = Peers(self)
        self.gossip = SimpleNamespace(membership=SteadyMembership(name))
        self.address = ""

    async def listen(self):
        """Open the socket for other hosts."""
        await self.peers.listen()
        self.address = self.peers.address


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Four copies and a client, over real streams."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = MemoryStore()
        self.copies = {}
        self.hosts = {}
        entry = Host("entry", self.store, self.folder)
        self.hosts["entry"] = entry
        await entry.listen()
        self.client = HistoryClient(entry)
        self.addAsyncCleanup(entry.peers.on_stop)
        for name in ("a", "b", "c", "d"):
            await self.start_copy(name)
            await self.settled(name)

    async def start_copy(self, name, *, bootstrap=True):
        """Start a copy; it may be one that was stopped."""
        host = Host(name, self.store, self.folder, bootstrap=bootstrap)
        await host.listen()
        service = HistoryService(host)
        self.hosts[name] = host
        self.copies[name] = service
        self.introduce()
        await service.start()
        self.addAsyncCleanup(self.stop_copy, name, service)

    def introduce(self):
        """Let all hosts know each other's addresses."""
        for receiver in self.hosts.values():
            for name, host in self.hosts.items():
                receiver.peers.static_addresses[name] = host.address
                heartbeat = Heartbeat(name, 1, 1, host.address, HISTORY, "a")
                receiver.gossip.membership.hear(heartbeat, receiver.clock.monotonic())

    async def stop_copy(self, name, service=None):
        """Stop a copy as a kill would, but for its open files."""
        service = service or self.copies.get(name)
        if service is None or service.should_stop:
            return
        await service.stop()
        await self.hosts[name].peers.on_stop()
        if self.copies.get(name) is service:
            del self.copies[name]

    async def settled(self, name):
        """Wait until a copy serves, and tell the client of its set."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not self.copies[name].settled:
                self.introduce()
                await asyncio.sleep(0.02)
        self.client.hear_copies(self.copies[name].copies)

    async def test_turn_is_read_from_any_copy(self):
        await self.client.commit(build_turn("one"))
        await self.client.commit(build_turn("two", "one"))
        chain = await self.client.read_chain("two")
        self.assertEqual(chain.text, b"<one><one><two><two>")
        self.assertEqual(chain.customer, "c")
        with self.assertRaises(CallError) as caught:
            await self.client.read_chain("three")
        self.assertEqual(caught.exception.code, "turn_unknown")

    async def test_jumps_of_the_time_of_day_lose_no_turn(self):
        """Seconds by which it jumps where turns are written, and where kept."""
        cases = [(0, 3600), (0, -3600), (3600, 0), (-3600, 0), (-3600, 3600)]
        for number, (writer, keepers) in enumerate(cases):
            with self.subTest((writer, keepers)):
                self.hosts["entry"].clock.jump = writer
                turn = build_turn(f"turn-{number}", keep_seconds=75.0)
                await self.client.commit(turn)
                for name, copy in self.copies.items():
                    self.hosts[name].clock.jump = keepers
                    copy.tidy()
                chain = await self.client.read_chain(f"turn-{number}")
                self.assertEqual(chain.text, 2 * f"<turn-{number}>".encode())

    async def test_turns_end_when_their_time_has_passed(self):
        await self.client.commit(build_turn("short", keep_seconds=75.0))
        await self.client.commit(build_turn("long", keep_seconds=175.0))
        for name, copy in self.copies.items():
            self.hosts[name].clock.passed = 100.0
            copy.tidy()
        self.assertTrue((await self.client.read_chain("long")).text)
        with self.assertRaises(CallError) as caught:
            await self.client.read_chain("short")
        self.assertEqual(caught.exception.code, "turn_unknown")

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

    async def test_turn_is_refused_at_once_when_too_few_copies_are_heard(self):
        """An entry host that is cut off from the copies makes no caller wait."""
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
        await self.settled("e")
        await self.stop_copy("b")
        self.client._cache.clear()
        self.assertEqual((await self.client.read_chain("one")).text, b"<one><one>")
        with self.assertRaises(CallError) as caught:
            await self.client.reserve("c/p", "t2", 100, 300, keep_seconds=LONG)
        self.assertEqual(caught.exception.code, "budget_exceeded")

    async def test_old_set_is_refused_and_the_new_one_followed(self):
        old = self.client.copies
        await self.copies["d"].retire()
        self.assertEqual(self.copies["a"].copies.version, old.version + 1)
        writing = asyncio.ensure_future(self.client.commit(build_turn("one")))
        await asyncio.sleep(0.05)
        self.assertFalse(writing.done())
        self.client.hear_copies(self.copies["a"].copies)
        await writing
        self.assertNotIn("d", self.client.copies.members)

    async def test_newest_of_two_sets_decides_who_serves(self):
        """Both come at once; the older one is on the disk last."""
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
                self.assertEqual(service.settled, serves)

    async def test_restarted_copy_takes_what_it_missed(self):
        await self.stop_copy("a")
        await self.client.commit(build_turn("one"))
        await self.start_copy("a", bootstrap=False)
        async with asyncio.timeout(WAIT_SECONDS):
            while self.copies["a"]._state.find_turn("one") is None:
                await asyncio.sleep(0.02)

    async def test_copy_without_its_disk_answers_nothing_before_it_joined(self):
        await self.client.commit(build_turn("one"))
        await self.stop_copy("a")
        for path in (self.folder / "a").rglob("*"):
            if path.is_file():
                path.unlink()
        await self.start_copy("a", bootstrap=False)
        with self.assertRaises(CallError) as caught:
            await self.client._read_at("a", self.client.copies, "none", 1.0)
        self.assertEqual(caught.exception.code, "history_unavailable")
        await self.settled("a")
        self.assertIsNotNone(self.copies["a"]._state.find_turn("one"))


if __name__ == "__main__":
    unittest.main()
