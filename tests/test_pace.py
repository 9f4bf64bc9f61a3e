"""How fast upstreams are, learned from their requests."""

import unittest

from sapphireyard.scheduling.capacity import UpstreamLimits
from sapphireyard.scheduling.pace import UpstreamPaces
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import Grant, SchedulerOptions, SlotRequest


class PaceTest(unittest.TestCase):
    def test_ratios(self):
        """Cases are the (seconds, expected) of requests, and the ratio's bounds."""
        cases = [
            ([], (1.0, 1.0)),
            ([(2.0, 1.0)] * 50, (1.9, 2.0)),
            ([(0.5, 1.0)] * 50, (0.5, 0.6)),
            ([(0.001, 1.0)] * 50, (1.0, 1.0)),
            ([(5.0, 0.0)] * 50, (1.0, 1.0)),
            ([(0.1, 0.0025)] * 50, (1.0, 1.0)),
            ([(900.0, 1.0)], (1.0, 3.0)),
            ([(4.0, 1.0)] * 50 + [(1.0, 1.0)] * 50, (1.0, 1.1)),
        ]
        for samples, (least, most) in cases:
            with self.subTest(samples=samples[:1]):
                paces = UpstreamPaces()
                for seconds, expected in samples:
                    paces.note("u", seconds, expected)
                self.assertGreaterEqual(paces.ratio("u"), least)
                self.assertLessEqual(paces.ratio("u"), most)

    def test_an_unknown_upstream_has_the_mean_pace(self):
        paces = UpstreamPaces()
        for _ in range(100):
            paces.note("fast", 1.0, 1.0)
            paces.note("slow", 3.0, 1.0)
        self.assertLess(paces.ratio("fast"), paces.ratio("new"))
        self.assertLess(paces.ratio("new"), paces.ratio("slow"))
        paces.forget("slow")
        self.assertEqual(paces.ratio("slow"), paces.ratio("new"))

    def test_an_engine_that_was_slow_is_tried_again(self):
        paces = UpstreamPaces()
        paces.age([], 0.0)
        for _ in range(100):
            paces.note("sound", 1.0, 1.0)
            paces.note("slow", 3.0, 1.0)
        for tenth in range(1, 300):
            paces.age(["slow"], tenth / 10)
        self.assertAlmostEqual(paces.ratio("slow"), paces.ratio("new"), delta=0.1)

    def test_slow_engines_get_fewer_requests(self):
        """By numbers alone, an engine of a third of the speed gets as many."""
        names = ("fast", "slow")
        options = SchedulerOptions(fair=False, urgency=True, hold_new=False)
        scheduler = Scheduler(
            [UpstreamLimits(name, 8, 100_000) for name in names], options=options
        )
        running = {}
        counts = dict.fromkeys(names, 0)
        for number in range(400):
            now = number * 0.1
            actions = []
            for request_id, (upstream, end) in list(running.items()):
                if end <= now:
                    del running[request_id]
                    actions += scheduler.finish(request_id, 10, None, now)
            request = SlotRequest(
                f"p{number}",
                f"p{number}",
                "c",
                "m",
                new_tokens=800,
                output_tokens=10,
                request_id=f"r{number}",
            )
            actions += scheduler.submit(request, now)
            for grant in (each for each in actions if isinstance(each, Grant)):
                seconds = 0.9 if grant.upstream == "slow" else 0.3
                running[grant.request.request_id] = (grant.upstream, now + seconds)
                counts[grant.upstream] += number >= 100
        self.assertGreater(counts["fast"], 2 * counts["slow"])


if __name__ == "__main__":
    unittest.main()
