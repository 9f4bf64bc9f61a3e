"""Tests of retry budgets, outlier detection and connection liveness."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.upstreams.durations import MAX_RESULTS, WINDOW_SECONDS, Durations
from sapphireyard.upstreams.liveness import ProgressLimits, ProgressWatch, Step
from sapphireyard.upstreams.outliers import OutlierDetector
from sapphireyard.upstreams.retries import RetryBudget, make_retrying

EXACT = {"derandomize": True, "deadline": None, "database": None}


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self):
        cases = [(100, 0.0, 10), (0, 0.0, 1), (1000, 0.0, 100), (1, 10.0, 5)]
        for requests, wait, minimum in cases:
            with self.subTest(requests=requests, wait=wait):
                budget = RetryBudget()
                for number in range(requests):
                    budget.note_request("r", 0.0)
                granted = sum(budget.may_retry("r", wait) for _ in range(2000))
                self.assertGreaterEqual(granted, minimum)
                self.assertLessEqual(granted, 1 + 0.1 * requests + 0.5 * (wait + 10))

    @settings(max_examples=100, **EXACT)
    @given(st.lists(st.tuples(st.floats(0, 5), st.booleans()), max_size=200))
    def test_never_exceeds_the_naive_bound(self, events):
        budget = RetryBudget()
        now = 0.0
        requests = granted = 0
        for wait, is_request in events:
            now += wait
            if is_request:
                budget.note_request("r", now)
                requests += 1
            else:
                granted += budget.may_retry("r", now)
            self.assertLessEqual(granted, 1 + 0.1 * requests + 0.5 * now + 1e-6)

    def test_routes_have_separate_budgets(self):
        budget = RetryBudget()
        self.assertTrue(budget.may_retry("a", 0.0))
        self.assertFalse(budget.may_retry("a", 0.0))
        self.assertTrue(budget.may_retry("b", 0.0))


class DurationsTest(unittest.TestCase):
    def test_slow_requests(self):
        """Cases are times and seconds of requests, the time, and the slow seconds."""
        cases = [
            ([], 0.0, None),
            ([(0.0, 2.0)], 1.0, 2.0),
            ([(0.0, 2.0)], WINDOW_SECONDS + 1, None),
            ([(0.0, 2.0), (20.0, 0.5)], WINDOW_SECONDS + 1, 0.5),
            ([(0.0, n / 10) for n in range(1, 12)], 1.0, 1.0),
            ([(0.0, 9.0)] + [(0.0, 1.0)] * MAX_RESULTS, 1.0, 1.0),
        ]
        for results, now, slow in cases:
            with self.subTest(results=results[:3], now=now):
                durations = Durations()
                for at, seconds in results:
                    durations.note("s", seconds, at)
                self.assertEqual(durations.find_slow("s", now), slow)
                self.assertIsNone(durations.find_slow("other", now))


class RetryingTest(unittest.IsolatedAsyncioTestCase):
    async def test_retries_while_allowed(self):
        for allowed, attempts in ((True, 3), (False, 1)):
            with self.subTest(allowed=allowed):
                made = []
                retrying = make_retrying(lambda error: allowed)

                async def fail():
                    made.append(1)
                    raise OSError("down")

                with self.assertRaises(OSError):
                    await retrying(fail)
                self.assertEqual(len(made), attempts)


class OutlierTest(unittest.TestCase):
    POOL = ("a", "b", "c", "d")

    def report_failures(self, detector, upstream, times, now):
        for _ in range(times):
            detector.report(upstream, ok=False, now=now)

    def test_ejects(self):
        cases = [
            ("failures in a row", "fffff", True),
            ("too few in a row", "ffff", False),
            ("half of many", "of" * 5, True),
            ("a few of many", "fooo" * 5, False),
        ]
        for name, results, ejected in cases:
            with self.subTest(name):
                detector = OutlierDetector()
                for result in results:
                    detector.report("a", ok=result == "o", now=0.0)
                usable = detector.usable(self.POOL, 0.1)
                self.assertEqual("a" not in usable, ejected)

    def test_ejection_time_grows_and_one_success_restores(self):
        detector = OutlierDetector()
        now = 0.0
        for seconds in (5, 10, 20):
            self.report_failures(detector, "a", 5, now)
            self.assertNotIn("a", detector.usable(self.POOL, now + seconds - 0.1))
            now += seconds
            self.assertIn("a", detector.usable(self.POOL, now))
            detector.note_sent("a", now)
            self.assertNotIn("a", detector.usable(self.POOL, now))
        detector.report("a", ok=True, now=now)
        self.assertEqual(detector.usable(self.POOL, now), list(self.POOL))

    def test_leaving_upstream_gets_no_work(self):
        detector = OutlierDetector()
        detector.set_leaving(["b"])
        self.assertEqual(detector.usable(self.POOL, 0.0), ["a", "c", "d"])

    @settings(max_examples=100, **EXACT)
    @given(
        st.lists(st.tuples(st.sampled_from(POOL), st.booleans(), st.floats(0, 9))),
        st.integers(1, 4),
    )
    def test_enough_upstreams_remain(self, events, size):
        detector = OutlierDetector()
        pool = self.POOL[:size]
        now = 0.0
        for upstream, ok, wait in events:
            now += wait
            for _ in range(5):
                detector.report(upstream, ok=ok, now=now)
            usable = detector.usable(pool, now)
            self.assertGreaterEqual(len(usable), max(1, size - size // 2))


class ProgressTest(unittest.TestCase):
    LIMITS = ProgressLimits(first_byte=10.0, next_byte=5.0, probe=2.0)

    def test_steps(self):
        cases = [
            ("in time", [(9.0, None, Step.WAIT)]),
            ("silent from the start", [(10.0, None, Step.PROBE)]),
            (
                "fresh connection answers",
                [(10.0, None, Step.PROBE), (10.1, True, Step.REPLACE)],
            ),
            (
                "fresh connection fails",
                [(10.0, None, Step.PROBE), (10.1, False, Step.JUDGE)],
            ),
            (
                "fresh connection is silent",
                [(10.0, None, Step.PROBE), (11.0, None, Step.WAIT)]
                + [(12.0, None, Step.JUDGE)],
            ),
            (
                "silent after bytes",
                [(3.0, "bytes", Step.WAIT), (8.0, None, Step.PROBE)],
            ),
            (
                "bytes cancel the probe",
                [(10.0, None, Step.PROBE), (10.5, "bytes", Step.WAIT)]
                + [(12.5, None, Step.WAIT), (15.5, None, Step.PROBE)],
            ),
        ]
        for name, events in cases:
            with self.subTest(name):
                watch = ProgressWatch(0.0, limits=self.LIMITS)
                for now, event, expected in events:
                    if event == "bytes":
                        watch.note_bytes(now)
                    elif event is not None:
                        watch.note_probe(event)
                    self.assertEqual(watch.step(now), expected)


if __name__ == "__main__":
    unittest.main()
