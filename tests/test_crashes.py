"""Requests that crash upstreams: the ledger, and its use on an entry host."""

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from sapphireyard.exceptions import UpstreamFailed
from sapphireyard.exchange.calls import ProgramCall
from sapphireyard.exchange.requests import AdmittedRequest
from sapphireyard.fleet.crashes import (
    CRASHES_TO_BAR,
    MAX_CRASHES,
    MAX_REPORTED,
    MAX_REQUESTS,
    RETENTION_SECONDS,
    UNKNOWN_RUN_SECONDS,
    CrashLedger,
    CrashMemory,
    digest_request,
    identify_crash,
)
from sapphireyard.fleet.membership import ENTRY, HISTORY
from tests.exchange_case import ExchangeTestCase

DIGEST = digest_request("c", "/view/1", b"body")


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashLedger()

    def crash(self, *moments, digest=DIGEST):
        for moment in moments:
            self.ledger.record_crash(digest, int(moment * 1000), moment)

    def test_bar_by_the_crashes(self):
        """Each case has the times of crashes, and the seconds barred after the last."""
        cases = [
            ((), 0.0),
            ((1.0,), 0.0),
            ((1.0, 2.0), 0.0),
            ((1.0, 2.0, 3.0), 60.0),
            ((1.0, 2.0, 3.0, 64.0), 240.0),
            ((1.0, 2.0, 3.0, 64.0, 305.0), 960.0),
            (tuple(float(n) for n in range(40)), 60.0 * 4**5),
        ]
        for moments, seconds in cases:
            with self.subTest(moments):
                self.setUp()
                self.crash(*moments)
                now = moments[-1] if moments else 0.0
                self.assertAlmostEqual(self.ledger.barred_for(DIGEST, now), seconds)

    def test_two_hosts_count_the_same_crashes(self):
        """Each saw some of them; a crash that is reported twice counts once."""
        other = CrashLedger()
        self.crash(1.0, 2.0)
        other.record_crash(DIGEST, 77, 2.5)
        for _ in range(3):
            other.merge(self.ledger.summarize(3.0), 3.0)
            self.ledger.merge(other.summarize(3.0), 3.0)
        for ledger in (self.ledger, other):
            self.assertAlmostEqual(ledger.barred_for(DIGEST, 3.0), 59.5, delta=1.0)
        restarted = CrashLedger()
        restarted.merge(other.summarize(10.0), 1010.0)
        self.assertGreater(restarted.barred_for(DIGEST, 1010.0), 0)

    def test_crash_that_is_counted_after_a_completed_run(self):
        """Other requests that the same crash ended fail after one was repeated."""
        self.crash(1.0, 2.0, 3.0)
        self.ledger.clear(DIGEST, 4.0)
        self.assertEqual(self.ledger.record_crash(DIGEST, 3000, 4.5), 0)
        self.assertEqual(self.ledger.barred_for(DIGEST, 4.5), 0.0)
        self.assertEqual(self.ledger.record_crash(DIGEST, 5000, 5.0), 1)

    def test_ids_of_crashes(self):
        """Cases are two runs by name, start time, wall time; whether one crash."""
        cases = [
            ("same run", ("a", 7.0, 50.0), ("a", 7.0, 99.0), True),
            ("next run", ("a", 7.0, 50.0), ("a", 8.0, 50.0), False),
            ("other upstream", ("a", 7.0, 50.0), ("b", 7.0, 50.0), False),
            ("unknown run", ("a", 0.0, 50.0), ("a", 0.0, 51.0), True),
            (
                "unknown runs",
                ("a", 0.0, 50.0),
                ("a", 0.0, 50.0 + UNKNOWN_RUN_SECONDS),
                False,
            ),
        ]
        for name, one, other, same in cases:
            with self.subTest(name):
                ids = {
                    identify_crash(upstream, started_at, wall_time=lambda: wall)
                    for upstream, started_at, wall in (one, other)
                }
                self.assertEqual(len(ids) == 1, same)

    def test_old_crashes_expire_on_all_hosts(self):
        """Hosts that report a crash to each other do not keep it alive."""
        other = CrashLedger()
        self.crash(1.0)
        now = 1.0
        while now < RETENTION_SECONDS + 5.0:
            now += 0.3
            other.merge(self.ledger.summarize(now), now)
            self.ledger.merge(other.summarize(now), now)
        self.assertFalse(self.ledger)
        self.assertFalse(other)

    def test_completed_run_clears_the_crashes(self):
        other = CrashLedger()
        self.crash(1.0, 2.0, 3.0)
        other.merge(self.ledger.summarize(3.0), 3.0)
        self.ledger.clear(DIGEST, 4.0)
        self.ledger.merge(other.summarize(4.0), 4.0)
        self.assertEqual(self.ledger.barred_for(DIGEST, 4.0), 0.0)
        self.crash(5.0, 6.0)
        self.assertEqual(self.ledger.barred_for(DIGEST, 6.0), 0.0)

    def test_bounds(self):
        for n in range(MAX_REQUESTS + 50):
            self.crash(1.0 + n * 1e-6, digest=f"{n}")
        self.crash(*(2.0 + n for n in range(MAX_CRASHES + 5)))
        summary = self.ledger.summarize(20.0)
        self.assertEqual(len(summary), MAX_REPORTED)
        self.assertEqual(len(summary[DIGEST]), 1 + MAX_CRASHES)

    def test_digest(self):
        base = ("c", "/p", b"body")
        for other in (("d", "/p", b"body"), ("c", "/q", b"body"), ("c", "/p", b"x")):
            self.assertNotEqual(digest_request(*base), digest_request(*other))
        self.assertNotEqual(
            digest_request("c", "/p", b""), digest_request("c/p", "", b"")
        )
        turns = {digest_request(*base, previous_turn=each) for each in ("", "t0", "t1")}
        self.assertEqual(len(turns), 3)


class MemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = CrashMemory()

    def report(self, host, run, *digests, role=ENTRY):
        crashes = {each: [0, 1, 2, 3] for each in digests}
        heartbeat = SimpleNamespace(
            host=host, role=role, incarnation=run, crashes=crashes
        )
        self.memory.note_report(heartbeat, 1.0)

    def test_history_hosts_do_not_keep_crashes_for_each_other(self):
        self.report("a", 1, "x")
        self.report("copy-2", 1, "x", role=HISTORY)
        self.report("a", 1)
        self.assertEqual(self.memory.summarize(1.0), {})

    def test_crashes_outlast_their_hosts(self):
        """Cases are reports by host, run and digests, and what is remembered."""
        cases = [
            ("reported", [("a", 1, "x")], {"x"}),
            ("completed", [("a", 1, "x"), ("a", 1)], set()),
            ("restarted", [("a", 1, "x"), ("a", 2), ("a", 2)], {"x"}),
            (
                "all restarted",
                [("a", 1, "x"), ("b", 1, "x"), ("a", 2), ("b", 2)],
                {"x"},
            ),
            ("known elsewhere", [("a", 1, "x"), ("b", 1, "x"), ("a", 1)], {"x"}),
            (
                "completed everywhere",
                [("a", 1, "x"), ("b", 1, "x"), ("a", 1), ("b", 1)],
                set(),
            ),
            ("one of two", [("a", 1, "x", "y"), ("a", 1, "y")], {"y"}),
            (
                "completed after a restart",
                [("a", 1, "x"), ("a", 2), ("a", 2, "x"), ("a", 2)],
                set(),
            ),
        ]
        for name, reports, remembered in cases:
            with self.subTest(name):
                self.setUp()
                for report in reports:
                    self.report(*report)
                self.assertEqual(set(self.memory.summarize(1.0)), remembered)


class CrashingRequestTest(ExchangeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.down = True

        async def is_listening(upstream):
            return not self.down

        self.sender.is_listening = is_listening
        table = self.runtime.configuration.table
        call = ProgramCall("r0", "POST", "/book/1", "h", "k", 0.0, program="p")
        self.admitted = AdmittedRequest(
            call, table.routes[1], table.customers["c"], "plain", 0.0, body=b"body"
        )

    def restart_upstreams(self, started_at):
        """Let all upstreams run anew, as after a crash."""
        self.runtime.pools.set_upstreams(
            replace(upstream, started_at=started_at)
            for pool in self.runtime.pools._pools.values()
            for upstream in list(pool.upstreams.values())
        )

    async def repeat(self, path, times, *, run=0, **fields):
        """Serve a request several times, each by new runs of the upstreams.

        Returns
        -------
        list of int
            The statuses.
        """
        statuses = []
        for n in range(times):
            self.restart_upstreams(float(run + n + 1))
            for pool in ("plain", "engine"):  # so that none is ejected
                for name in self.runtime.pools._pools[pool].upstreams:
                    self.runtime.pools._outliers.report(name, ok=True, now=n)
            self.reply.status = None
            statuses.append(await self.serve(path, request_id=f"r{n}", **fields))
            await asyncio.sleep(0)  # lets the check of the upstream finish
        return statuses

    async def test_times_sent(self):
        """A request that crashes upstreams is sent to a bounded number of them.

        Each case has the path, whether upstreams are down after a run, the number of
        sends, and the last status.
        """
        cases = [
            ("/book/1", True, CRASHES_TO_BAR, 503),
            ("/chat/1", True, CRASHES_TO_BAR, 503),
            ("/view/1", True, CRASHES_TO_BAR + 1, 503),  # two attempts in each call
            ("/book/1", False, 8, 502),
        ]
        for path, down, sends, status in cases:
            with self.subTest(f"{path} {down}"):
                await self.asyncSetUp()
                self.down = down
                self.sender.script = ["lost"] * 99
                statuses = await self.repeat(path, 8)
                self.assertEqual(len(self.sender.sent), sends)
                self.assertEqual(statuses[-1], status)

    async def test_what_is_no_crash(self):
        """Cases are what the upstream does afterwards, as far as it is known.

        A link that was cut or reset looks like a crash until another host reaches the
        upstream; one that leaves in order is no crash.
        """
        cases = [
            ("down", False, {}, 1),
            ("listens", True, {}, 0),
            ("unknown: no host reaches it", None, {}, 0),
            ("leaves", False, {"leaving": True}, 0),
            ("gone", False, None, 0),
        ]
        for name, listening, changes, crashes in cases:
            with self.subTest(name):
                await self.asyncSetUp()

                async def is_listening(upstream):
                    return listening

                self.sender.is_listening = is_listening
                upstream = self.runtime.pools.find("plain-1")
                listed = [] if changes is None else [replace(upstream, **changes)]
                self.runtime.pools.set_upstreams(listed)
                self.exchange.record_failure(
                    self.admitted, upstream, UpstreamFailed("lost", crashed=True)
                )
                await asyncio.sleep(0)
                counted = sum(
                    len(ids) - 1 for ids in self.runtime.crashes.summarize(0).values()
                )
                self.assertEqual(counted, crashes)

    async def test_requests_that_one_crash_ends_are_not_barred(self):
        """Many callers may have sent the same request to an upstream that crashes.

        Cases are the start times of the upstream that runs them, and whether they are
        barred afterwards.
        """
        cases = [
            ([5.0] * 8, False),
            ([0.0] * 8, False),
            ([5.0, 5.0, 6.0, 6.0, 6.0], False),
            ([5.0, 6.0, 7.0], True),
        ]
        for runs, barred in cases:
            with self.subTest(runs):
                await self.asyncSetUp()
                for started_at in runs:
                    self.restart_upstreams(started_at)
                    upstream = self.runtime.pools.find("plain-1")
                    self.exchange.record_failure(
                        self.admitted, upstream, UpstreamFailed("lost", crashed=True)
                    )
                    await asyncio.sleep(0)
                status = await self.serve("/book/1")
                self.assertEqual(status, 503 if barred else 200)

    async def test_completed_run_between_crashes_clears_them(self):
        self.sender.script = ["lost", "lost", "complete"] * 3
        statuses = await self.repeat("/book/1", 9)
        self.assertEqual(statuses, [502, 502, 200] * 3)

    async def test_turns_with_the_same_input_are_barred_one_by_one(self):
        """Each conversation's turn has crashed one upstream only.

        Cases are the turns that they continue, and the sends: a turn that is repeated
        is barred.
        """
        for previous, sends in ((["t1", "t2", "t3", "t4"], 4), (["t1"] * 4, 3)):
            with self.subTest(previous):
                await self.asyncSetUp()
                self.sender.script = ["lost"] * 99
                for number, turn in enumerate(previous):
                    await self.repeat("/chat/1", 1, run=number, previous_turn=turn)
                self.assertEqual(len(self.sender.sent), sends)

    async def test_refusal_has_a_retry_after(self):
        self.sender.script = ["lost"] * 99
        await self.repeat("/book/1", 4)
        self.assertAlmostEqual(self.reply.retry_after, 60.0, delta=1.0)
        other = await self.repeat("/book/2", 1)
        self.assertEqual(other, [502])
