"""Plain requests on an entry host, with fake upstreams, copies and callers."""

import asyncio
from dataclasses import replace

from sapphireyard.fleet.quotas import QuotaRule
from sapphireyard.upstreams.outliers import EJECTION_SECONDS
from sapphireyard.upstreams.retries import RetryBudget
from tests.exchange_case import (
    SLOW_SECONDS,
    ExchangeTestCase,
    RecordingReply,
    build_table,
)


class PlainTest(ExchangeTestCase):
    async def test_what_is_sent_again(self):
        """Each case has path, script of the upstreams, status, and number of sends."""
        cases = [
            ("/view/1", ["complete"], 200, 1),
            ("/view/1", ["lost", "complete"], 200, 2),
            ("/view/1", ["lost", "lost", "complete"], 502, 2),
            ("/view/1", ["lost", "full"], 502, 2),
            ("/view/1", ["full", "lost"], 502, 2),
            ("/view/1", ["lost"] + ["unreachable"] * 4, 502, 1),
            ("/view/1", ["cut", "complete"], 200, 2),
            ("/view/1", ["unsigned", "complete"], 200, 2),
            ("/view/1", ["full", "complete"], 200, 2),
            ("/view/1", ["full", "full", "complete"], 503, 2),
            ("/view/1", ["unreachable", "unreachable", "complete"], 200, 1),
            ("/book/1", ["lost", "complete"], 502, 1),
            ("/book/1", ["cut", "complete"], 502, 1),
            ("/book/1", ["unsigned", "complete"], 502, 1),
            ("/book/1", ["full", "complete"], 200, 2),
            ("/book/1", ["busy", "complete"], 502, 1),
            ("/view/1", ["busy", "complete"], 200, 2),
            ("/book/1", ["unreachable", "complete"], 200, 1),
            ("/book/1", ["unreachable", "lost", "complete"], 502, 1),
            ("/short/1", ["hang"], 504, 1),
        ]
        for path, script, status, sends in cases:
            with self.subTest(f"{path} {script}"):
                await self.asyncSetUp()
                self.sender.script = list(script)
                self.assertEqual(await self.serve(path), status)
                self.assertEqual(len(self.sender.sent), sends)
                names = [each.upstream.name for each in self.sender.sent]
                self.assertEqual(len(set(names)), len(names))

    async def test_time_handed_on_is_what_is_left(self):
        """Each send gets the time that is left of the caller's timeout.

        Each case has that timeout, the seconds that pass in each send, and the
        timeouts sent. The route allows 2 s.
        """
        cases = [(1.0, 0.6, [1.0, 0.4]), (9.0, 0.5, [2.0, 1.5]), (2.0, 0.0, [2.0, 2.0])]
        for seconds, elapsed, expected in cases:
            with self.subTest((seconds, elapsed)):
                await self.asyncSetUp()
                clock = self.runtime.clock
                now = clock.monotonic()
                timeouts = []
                send = self.sender.send

                def send_late(dispatch, send=send, timeouts=timeouts, clock=clock):
                    timeouts.append(dispatch.timeout)
                    now = clock.monotonic() + elapsed
                    clock.monotonic = lambda: now
                    return send(dispatch)

                clock.monotonic = lambda now=now: now
                self.sender.send = send_late
                self.sender.script = ["lost", "complete"]
                await self.serve("/view/1", timeout=seconds)
                self.assertEqual(len(timeouts), 2)
                for timeout, most in zip(timeouts, expected):
                    self.assertAlmostEqual(timeout, most, places=3)

    async def test_no_slot_after_a_run_is_no_promise(self):
        """A request that may have run is not refused with a status that denies a run.

        The first upstream may have run it, and none is left for a second attempt.
        """
        for path, script, status in (("/view/1", ["lost"], 502), ("/view/1", [], 503)):
            with self.subTest(script):
                await self.asyncSetUp()
                if script:
                    self.sender.script = script
                    original = self.runtime.pools.report

                    def report(upstream, *, ok, original=original):
                        original(upstream, ok=ok)
                        self.runtime.pools.set_upstreams([])

                    self.runtime.pools.report = report
                else:
                    self.runtime.pools.set_upstreams([])
                self.assertEqual(await self.serve(path), status)

    async def test_refused_request_does_not_count_against_the_rate(self):
        """A request that no upstream got does not count against the rate."""
        self.apply_table(replace(build_table(rate=10.0, burst=10.0), version=2))
        rule = QuotaRule(10.0, 10.0)
        before = self.runtime.quotas.admit("c", rule, self.runtime.clock.monotonic())
        self.assertEqual(before, 0)
        counts = self.runtime.quotas.counts()
        self.sender.script = ["unreachable"] * 9
        self.assertEqual(await self.serve("/book/1"), 503)
        after = self.runtime.quotas.counts()
        self.assertEqual(after, counts)

    async def test_log_line_has_the_state_of_the_rate(self):
        """The first request takes the only token."""
        table = build_table(rate=0.1, burst=1.0)
        self.runtime.configuration.apply(replace(table, version=2))
        for code in ("served", "rate_exceeded"):
            with self.subTest(code):
                self.reply = RecordingReply()
                with self.assertLogs("sapphireyard.exchange.exchange") as logs:
                    await self.serve("/view/1")
                (line,) = (r for r in logs.records if r.msg == "request ended")
                self.assertEqual((line.code, line.rate_tokens), (code, 0.0))
                self.assertEqual((line.rate_share, line.rate_hosts), (1.0, 1))

    async def test_unrepeatable_call_without_an_answer_ends_at_its_deadline(self):
        """Nobody could use a later answer, and its slot is needed."""
        for timeout in (1.0, 1.5):
            with self.subTest(timeout):
                await self.asyncSetUp()
                self.sender.script = ["hang"]
                arrived_at = self.runtime.clock.monotonic()
                self.assertEqual(await self.serve("/book/1", timeout=timeout), 504)
                seconds = self.runtime.clock.monotonic() - arrived_at
                self.assertAlmostEqual(seconds, timeout, delta=0.5)
                self.assertEqual(self.runtime.pools.running, {})
                self.assertEqual(len(self.sender.sent), 1)

    async def test_upstreams_that_do_not_answer_are_left_out(self):
        """They accept connections, so that only time tells."""
        self.sender.script = ["hang"] * 3
        now = self.runtime.clock.monotonic
        for number in range(3):
            self.reply = RecordingReply()
            path = "/chat/1" if number else "/book/1"
            await self.serve(path, request_id=f"r{number}", timeout=0.6)
        evidence = self.runtime.pools.evidence
        silent = {d.upstream.name for d in self.sender.sent}
        self.assertEqual(set(evidence.summarize(now())), silent)
        failures = [counts[0] for counts in evidence.summarize(now()).values()]
        self.assertEqual(sum(failures), 3)

    async def test_errors_of_upstreams(self):
        """A repeatable request that got status 500 is sent to another upstream.

        Cases are the path, the script, the status for the caller, and the sends.
        """
        cases = [
            ("/view/1", ["error"], 200, 2),
            ("/view/1", ["error", "error"], 500, 2),
            ("/view/1", ["error", "lost"], 500, 2),
            ("/view/1", ["error", "full"], 500, 2),
            ("/view/1", ["full", "error"], 500, 2),
            ("/book/1", ["error"], 500, 1),
        ]
        for path, script, status, sends in cases:
            with self.subTest(path=path, script=script):
                self.exchange._plain._retries = RetryBudget(ratio=1.0)
                self.sender.script = list(script)
                self.sender.sent.clear()
                self.reply = RecordingReply()
                self.assertEqual(await self.serve(path), status)
                self.assertEqual(len(self.sender.sent), sends)

    async def test_silent_upstreams(self):
        """A repeatable request is sent to another upstream while there is time.

        The service has been seen to answer in that time. Cases are the path, the
        script, the status for the caller, and the sends.
        """
        cases = [
            ("/view/1", ["hang"], 200, 2),
            ("/view/1", ["hang", "hang"], 504, 2),
            ("/view/1", ["error", "hang"], 504, 2),
            ("/book/1", ["hang"], 504, 1),
        ]
        for path, script, status, sends in cases:
            with self.subTest(path=path, script=script):
                await self.asyncSetUp()  # the configuration becomes stale in 5 s
                self.exchange._plain._retries = RetryBudget(ratio=1.0)
                self.assertEqual(await self.serve("/view/1"), 200)
                self.reply = RecordingReply()
                self.sender.sent.clear()
                self.sender.script = list(script)
                self.assertEqual(await self.serve(path), status)
                self.assertEqual(len(self.sender.sent), sends)

    async def test_slow_service_is_no_silent_upstream(self):
        """A second try would load it once more, and not end in time either.

        Cases are the seconds of requests that were completed before, and the sends.
        Upstreams take half of the time; a try is given up after 0.4 of it at first.
        """
        cases = [
            ([], 1),
            ([SLOW_SECONDS] * 9, 1),
            ([SLOW_SECONDS * 1.3] * 9, 1),
            ([0.1] * 8 + [SLOW_SECONDS] * 2, 1),
            ([0.1] * 10, 2),
        ]
        for seconds, sends in cases:
            with self.subTest(seconds):
                await self.asyncSetUp()
                self.exchange._plain._retries = RetryBudget(ratio=1.0)
                for each in seconds:
                    now = self.runtime.clock.monotonic()
                    self.exchange._plain._durations.note("plain", each, now)
                self.sender.script = ["slow"]
                self.assertEqual(await self.serve("/view/1"), 200)
                self.assertEqual(len(self.sender.sent), sends)

    async def test_silent_upstream_keeps_a_request_without_a_retry(self):
        """If the budget allows no other try, the first one has all the time."""
        self.exchange._plain._retries = RetryBudget(ratio=0.0, floor=0.0)
        self.exchange._plain._retries.may_retry("plain", 0.0)
        self.sender.script = ["slow"]
        self.assertEqual(await self.serve("/view/1"), 200)
        self.assertEqual(len(self.sender.sent), 1)

    async def test_retries_do_not_double_a_load(self):
        """While all upstreams fail, half as many retries are sent as requests."""
        self.sender.script = ["error"] * 1000
        for number in range(100):
            self.reply = RecordingReply()
            await self.serve("/view/1", request_id=f"r{number}")
        retries = len(self.sender.sent) - 100
        self.assertLessEqual(retries, 65)
        self.assertGreaterEqual(retries, 40)

    async def test_request_in_a_queue_says_nothing_of_upstreams(self):
        self.sender.script = ["full"] * 10
        await self.serve("/short/1")
        evidence = self.runtime.pools.evidence
        self.assertEqual(evidence.summarize(self.runtime.clock.monotonic()), {})

    async def test_unrepeatable_request_is_no_probe(self):
        """An ejected upstream that is due for a probe gets repeatable requests only."""
        pools = self.runtime.pools
        await self.serve("/book/1", program="")
        preferred = self.sender.sent.pop().upstream.name
        past = self.runtime.clock.monotonic() - EJECTION_SECONDS - 0.1
        pools._outliers.eject(preferred, past)
        self.assertEqual(pools.list_probed(), [preferred])
        for path, is_probe in (("/book/1", False), ("/view/1", True)):
            self.reply = RecordingReply()
            await self.serve(path, program="")
            self.assertEqual(self.reply.status, 200)
            sent = self.sender.sent.pop().upstream.name
            self.assertEqual(sent == preferred, is_probe, path)
        self.assertEqual(pools.list_probed(), [])

    async def test_unrepeatable_call_ends_though_its_caller_has_gone(self):
        for path, ends in (("/book/1", True), ("/view/1", False)):
            with self.subTest(path):
                await self.asyncSetUp()
                ended = asyncio.Event()
                left = asyncio.Event()

                async def stream_parts(parts, *, cut=False):
                    await left.wait()
                    ended.set()
                    yield b"answer"

                self.sender.stream_parts = stream_parts
                serving = asyncio.ensure_future(self.serve(path))
                while not self.sender.sent:
                    await asyncio.sleep(0)
                serving.cancel()
                await asyncio.wait([serving])
                left.set()
                for _ in range(20):
                    await asyncio.sleep(0)
                self.assertEqual(ended.is_set(), ends)
