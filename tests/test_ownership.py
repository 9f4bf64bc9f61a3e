"""Tests of joining, moving partitions, sealing, recovering and leaving."""

import asyncio
import unittest
from unittest import mock

from sapphireyard.exceptions import CallError, JournalSealed, NotOwner, StoreConflict
from sapphireyard.journal.collector import find_needed
from sapphireyard.journal.generated_records import CallReserved, ProgramOpened
from sapphireyard.journal.generated_replication import CollectTails, OfferPartitions
from sapphireyard.journal.journal import name_segment
from sapphireyard.ownership.assignment import Member, plan_takeover, quota_of
from sapphireyard.ownership.roster import Roster
from standins.memory import DROP, LOSE, MemoryStore
from tests.fleet import PARTITIONS, run_fleet


async def open_program(runtime, key):
    """Commit and apply a `ProgramOpened` record; return its partition."""
    partition = runtime.ownership.locate(key).partition
    record = ProgramOpened(key, key, 1.0)
    await runtime.journal.commit([record], partition=partition)
    runtime.programs.apply(partition, record)
    return partition


async def open_programs(fleet, count=12):
    """Open programs on their owners; return their keys."""
    keys = [f"customer/{number}" for number in range(count)]
    for key in keys:
        host = next(iter(fleet.runtimes.values())).ownership.locate(key).host
        await open_program(fleet.runtimes[host], key)
    return keys


class FixedAssignments:
    """An `AssignmentStore` with a fixed, read-only assignment."""

    def __init__(self, assignment):
        self.assignment = assignment

    async def read(self):
        return self.assignment


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    def check_served(self, fleet, keys):
        """Check that each partition has one owner, which knows its programs."""
        for key in keys:
            partition = (
                next(iter(fleet.runtimes.values())).ownership.locate(key).partition
            )
            owners = fleet.owners(partition)
            self.assertEqual(len(owners), 1, [runtime.host for runtime in owners])
            self.assertTrue(owners[0].ownership.is_ready(partition))
            self.assertIsNotNone(owners[0].programs.get(partition, key))

    async def test_first_host_owns_all(self):
        async with run_fleet(self.store, "a") as fleet:
            location = fleet.runtimes["a"].ownership.locate("customer/1")
            self.assertTrue(location.is_self and location.ready)
            self.assertEqual(len(fleet.runtimes["a"].ownership.owned), PARTITIONS)

    async def test_joining_host_moves_nothing(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = await fleet.add_unjoined("b")
            runtime.incarnation = await runtime.ownership.membership.start_incarnation()
            runtime.journal.open(runtime.incarnation)
            runtime.ownership.adopt(fleet.runtimes["a"].ownership.assignment)
            self.assertEqual(await runtime.ownership.balance(), 0)

    async def test_moves_keep_programs(self):
        async with run_fleet(self.store, "a") as fleet:
            keys = await open_programs(fleet)
            for host in "bcd":
                await fleet.add(host)
                await fleet.rebalance()
            loads = fleet.runtimes["a"].ownership.assignment.loads
            self.assertEqual(set(loads.values()), {PARTITIONS // 4})
            self.check_served(fleet, keys)

    async def test_takeover_keeps_programs(self):
        async with run_fleet(self.store, "abcd") as fleet:
            keys = await open_programs(fleet)
            for dead, by in (("b", "a"), ("a", "c")):
                await fleet.kill(dead)
                await fleet.expire(dead, by=by)
                await fleet.sync()
                self.check_served(fleet, keys)

    async def test_paused_host_commits_nothing_after_takeover(self):
        async with run_fleet(self.store, "abc") as fleet:
            paused = fleet.pause("b")
            partition = paused.ownership.owned[0]
            await fleet.expire("b", by="a")
            await fleet.sync()
            with self.assertRaises(JournalSealed):
                await paused.journal.commit(
                    [ProgramOpened("c/x", "c/x", 1.0)], partition=partition
                )
            self.assertEqual(len(fleet.owners(partition)), 1)

    async def test_renewed_host_is_not_sealed(self):
        async with run_fleet(self.store, "abc") as fleet:
            expired = [("b", 1, (await self.store.get("members/b")).version)]
            await fleet.runtimes["b"].ownership.membership.renew()
            await fleet.runtimes["a"].ownership.take_over(expired)
            self.assertIn("b", fleet.runtimes["a"].ownership.assignment.members)

    async def test_store_outage_expires_no_host(self):
        async with run_fleet(self.store, "abc") as fleet:
            membership = fleet.runtimes["a"].ownership.membership
            await membership.find_expired()
            with self.store.outage():
                for _ in range(5):
                    await self.renew_all(fleet, seconds=10)
                    self.assertEqual(await membership.find_expired(), [])
                    self.assertTrue(membership.is_valid(fleet.runtimes["a"].clock.now))
            self.assertEqual(await membership.find_expired(), [])

    async def renew_all(self, fleet, *, seconds):
        """Advance the clocks, let each host try to renew, and exchange heartbeats."""
        for runtime in fleet.runtimes.values():
            runtime.clock.now += seconds
            await runtime.ownership.membership.renew()
        for _ in range(2):
            for runtime in fleet.runtimes.values():
                runtime.ownership.membership.send_heartbeats()
            for _ in range(5):
                await asyncio.sleep(0)

    async def test_minority_without_the_store_is_not_valid(self):
        cases = [
            ("a alone", {"a"}, {"a": False, "b": True, "c": True}),
            ("all apart", {"a", "b", "c"}, {"a": False, "b": False, "c": False}),
            ("nobody", set(), {"a": True, "b": True, "c": True}),
        ]
        for name, cut, expected in cases:
            with self.subTest(name):
                self.setUp()
                async with run_fleet(self.store, "abc") as fleet:
                    with self.store.outage():
                        await self.renew_all(fleet, seconds=10)
                        fleet.network.cut |= cut
                        await self.renew_all(fleet, seconds=10)
                        valid = {
                            host: runtime.ownership.is_valid(runtime.clock.now)
                            for host, runtime in fleet.runtimes.items()
                        }
                        self.assertEqual(valid, expected)

    async def test_stalled_host_is_not_valid_until_renewal(self):
        async with run_fleet(self.store, "ab") as fleet:
            runtime = fleet.runtimes["a"]
            runtime.clock.now += 60
            self.assertFalse(runtime.ownership.is_valid(runtime.clock.now))
            with self.assertRaises(CallError):
                await runtime.ownership.wait_ready(runtime.ownership.owned[0], 0.01)
            await runtime.ownership.membership.renew()
            self.assertTrue(runtime.ownership.is_valid(runtime.clock.now))

    async def test_live_host_that_was_sealed_joins_again(self):
        async with run_fleet(self.store, "abc") as fleet:
            keys = await open_programs(fleet)
            fleet.pause("b")
            await fleet.expire("b", by="a")
            fleet.network.cut.clear()
            await fleet.runtimes["b"].ownership.membership.renew()
            self.assertTrue(fleet.runtimes["b"].journal.sealed)
            await fleet.runtimes["b"].ownership.join()
            self.assertEqual(fleet.runtimes["b"].incarnation, 2)
            await fleet.rebalance()
            self.check_served(fleet, keys)

    async def test_restart_keeps_partitions(self):
        async with run_fleet(self.store, "ab") as fleet:
            keys = await open_programs(fleet)
            before = set(fleet.runtimes["b"].ownership.owned)
            await fleet.kill("b")
            await fleet.add("b")
            self.assertEqual(set(fleet.runtimes["b"].ownership.owned), before)
            await fleet.sync()
            self.check_served(fleet, keys)

    async def test_restart_after_old_segments_were_deleted(self):
        async with run_fleet(self.store, "a") as fleet:
            runtime = fleet.runtimes["a"]
            keys = await open_programs(fleet)
            for _ in range(3):
                await runtime.ownership._mover.move(
                    runtime.ownership.owned, "a", quiesce_seconds=1
                )
            last = runtime.journal.stored_number
            for number in range(1, last):
                name = name_segment("a", 1, number)
                needed = find_needed(runtime.ownership.assignment)["a", 1]
                if number < needed:
                    await self.store.delete(name, expected_version=1)
            self.assertIsNone(await self.store.get(name_segment("a", 1, 1)))
            await fleet.kill("a")
            await fleet.add("a")
            self.check_served(fleet, keys)
            self.assertIsNone(await self.store.get(name_segment("a", 1, 1)))

    async def test_restart_of_the_whole_fleet(self):
        async with run_fleet(self.store, "abc") as fleet:
            keys = await open_programs(fleet)
            for host in "abc":
                await fleet.kill(host)
            await fleet.add("d")
            for dead in "abc":
                await fleet.expire(dead, by="d")
            await fleet.sync()
            self.check_served(fleet, keys)

    async def test_leaving_hands_over_all_partitions(self):
        async with run_fleet(self.store, "abc") as fleet:
            keys = await open_programs(fleet)
            leaving = asyncio.ensure_future(
                fleet.runtimes["a"].ownership.leave(timeout=60)
            )
            while not leaving.done():
                await fleet.sync()
                await asyncio.sleep(0)
            self.assertTrue(await leaving)
            await fleet.kill("a")
            await fleet.sync()
            self.check_served(fleet, keys)

    async def test_last_host_cannot_leave(self):
        async with run_fleet(self.store, "a") as fleet:
            self.assertFalse(await fleet.runtimes["a"].ownership.leave(timeout=60))
            keys = await open_programs(fleet)
            await fleet.kill("a")
            await fleet.add("a")
            self.check_served(fleet, keys)

    async def test_planned_stop_during_a_move_keeps_programs(self):
        """Acknowledged calls were gone after a planned stop of their owner.

        A move for balance waits for running calls when the stop begins. The stop hands
        over the same partitions, but has to wait for another one.
        """
        async with run_fleet(self.store, "a") as fleet:
            keys = await open_programs(fleet)
            for host in "bc":
                await fleet.add(host)
            await fleet.sync()
            runtime = fleet.runtimes["a"]
            moves_begin, busy_ends = asyncio.Event(), asyncio.Event()
            busy = runtime.ownership.owned[-1]

            async def quiesce(partition):
                if partition == busy:
                    await busy_ends.wait()

            with mock.patch.object(
                runtime.programs, "quiesce", lambda _: moves_begin.wait()
            ):
                moving = asyncio.ensure_future(runtime.ownership.balance())
                await asyncio.sleep(0.01)
            with (
                mock.patch.object(runtime.programs, "quiesce", quiesce),
                mock.patch("sapphireyard.ownership.ownership.QUIESCE_SECONDS", 0.02),
            ):
                leaving = asyncio.ensure_future(runtime.ownership.leave(timeout=60))
                for _ in range(20):
                    await fleet.sync()
                    await asyncio.sleep(0.005)
                moves_begin.set()
                await moving
                busy_ends.set()
                while not leaving.done():
                    await fleet.sync()
                    await asyncio.sleep(0.005)
            self.assertTrue(await leaving)
            await fleet.kill("a")
            await fleet.sync()
            self.check_served(fleet, keys)

    async def test_lost_answers_at_each_step_of_a_move(self):
        for kind in (LOSE, DROP):
            for operation in ("update", "create"):
                with self.subTest(kind=kind, operation=operation):
                    store = MemoryStore()
                    async with run_fleet(store, "ab") as fleet:
                        keys = await open_programs(fleet)
                        await fleet.add("c")
                        fault = store.add_fault(kind, operation=operation)
                        await fleet.rebalance()
                        self.check_served(fleet, keys)
                        self.assertEqual(fault.hits, 1)

    async def test_open_calls_are_settled_once(self):
        async with run_fleet(self.store, "abc") as fleet:
            key = "customer/1"
            runtime = fleet.runtimes[fleet.runtimes["a"].ownership.locate(key).host]
            partition = await open_program(runtime, key)
            record = CallReserved(key, 1, "d", "r", False, 10)
            await runtime.journal.commit(
                [record], partition=partition, needs_store=True
            )
            for _ in range(2):
                dead = fleet.owners(partition)[0].host
                await fleet.kill(dead)
                await fleet.expire(dead, by=next(iter(fleet.runtimes)))
                await fleet.sync()
                program = fleet.owners(partition)[0].programs.get(partition, key)
                self.assertEqual(program.unknown_sequences(), [1])
                self.assertEqual(program.spent_tokens, 10)

    async def test_pending_offers_count_towards_the_quota(self):
        async with run_fleet(self.store, "ab") as fleet:
            joined = await fleet.add("c")
            fleet.runtimes["a"].ownership.adopt(joined.ownership.assignment)
            quota = quota_of(joined.ownership.assignment, "c")
            owned = fleet.runtimes["a"].ownership.owned
            answers = []
            for partition in owned[: quota + 1]:
                message = OfferPartitions([partition])
                peers = fleet.runtimes["a"].peers
                answers.append(await peers.ask("c", message, timeout=1))
            accepted = [answer.accepted for answer in answers]
            self.assertEqual(accepted, [True] * quota + [False])

    async def test_earlier_process_of_a_member_does_not_join(self):
        async with run_fleet(self.store, "ab") as fleet:
            late = await fleet.add_unjoined("b")
            late.incarnation = 1
            newer = plan_takeover(
                await late.ownership.assignments.read(),
                "b",
                last=0,
                replacement=Member("b", 2, "p", "c", "d"),
            )
            with self.assertRaises(StoreConflict):
                await Roster(late, FixedAssignments(newer)).join()

    async def test_check_owned_refuses_other_hosts(self):
        async with run_fleet(self.store, "ab") as fleet:
            partition = fleet.runtimes["b"].ownership.owned[0]
            with self.assertRaises(NotOwner):
                fleet.runtimes["a"].ownership.check_owned(partition)


class TailTest(unittest.IsolatedAsyncioTestCase):
    """The store is unavailable; peers hold the tails."""

    def setUp(self):
        self.store = MemoryStore()

    async def commit_in_outage(self, fleet):
        key = "customer/1"
        runtime = fleet.runtimes[fleet.runtimes["a"].ownership.locate(key).host]
        with self.store.outage():
            return runtime, await open_program(runtime, key), key

    async def test_acknowledged_commit_survives_its_host(self):
        async with run_fleet(self.store, "abcd") as fleet:
            runtime, partition, key = await self.commit_in_outage(fleet)
            await runtime.journal.stop()
            await fleet.kill(runtime.host)
            await fleet.expire(runtime.host, by=next(iter(fleet.runtimes)))
            await fleet.sync()
            owner = fleet.owners(partition)[0]
            self.assertIsNotNone(owner.programs.get(partition, key))
            self.assertFalse(owner.programs.get(partition, key).tail_uncertain)

    async def test_acknowledged_commit_survives_a_restart_of_its_host(self):
        async with run_fleet(self.store, "abcd") as fleet:
            runtime, partition, key = await self.commit_in_outage(fleet)
            await runtime.journal.stop()
            await fleet.kill(runtime.host)
            await fleet.add(runtime.host)
            await fleet.sync()
            program = fleet.owners(partition)[0].programs.get(partition, key)
            self.assertIsNotNone(program)
            self.assertFalse(program.tail_uncertain)

    async def test_unreachable_holder_makes_the_tail_uncertain(self):
        async with run_fleet(self.store, "abcd") as fleet:
            runtime, partition, key = await self.commit_in_outage(fleet)
            await runtime.journal.stop()
            await fleet.kill(runtime.host)
            observer, other = list(fleet.runtimes)[:2]
            fleet.pause(other)
            await fleet.expire(runtime.host, by=observer)
            entry = fleet.runtimes[observer].ownership.assignment.entries[partition]
            self.assertTrue(entry.sources[-1].uncertain)

    async def test_fenced_holders_accept_no_further_segments(self):
        async with run_fleet(self.store, "abc") as fleet:
            runtime = fleet.runtimes["a"]
            for other in "bc":
                answer = await runtime.peers.ask(other, CollectTails("a", 1), timeout=1)
                self.assertEqual(answer.segments, [])
            with self.store.outage():
                commit = asyncio.ensure_future(
                    runtime.journal.commit(
                        [ProgramOpened("c/x", "c/x", 1.0)],
                        partition=runtime.ownership.owned[0],
                    )
                )
                while not runtime.journal.store_out:
                    await asyncio.sleep(0)
                await asyncio.wait([commit], timeout=0.05)
                self.assertFalse(commit.done())
            await commit

    async def test_flushed_tails_are_dropped(self):
        async with run_fleet(self.store, "abc") as fleet:
            runtime, _, _ = await self.commit_in_outage(fleet)
            await runtime.journal.barrier()
            holders = [
                runtime.ownership.handlers for runtime in fleet.runtimes.values()
            ]
            while any(holder.held_bytes for holder in holders):
                await asyncio.sleep(0)
