"""Tests of the judgement of upstreams by the results of all hosts."""

import random
import unittest

from sapphireyard.upstreams.evidence import (
    MAX_REPORTED,
    WINDOW_SECONDS,
    FleetEvidence,
)
from sapphireyard.upstreams.outliers import OutlierDetector

POOL = [f"up-{n}" for n in range(10)]


class FleetEvidenceTest(unittest.TestCase):
    def test_outliers(self):
        """Cases are failures and results by domain, those of the other upstreams, and
        whether an upstream is an outlier to a host of domain x."""
        cases = [
            ("fails half at both", {"x": (2, 4), "y": (2, 4)}, (0, 8), True),
            ("too few failures", {"x": (1, 2), "y": (1, 2)}, (0, 8), False),
            ("fails a few", {"x": (2, 20), "y": (2, 20)}, (0, 8), False),
            ("all upstreams fail alike", {"x": (4, 8)}, (4, 8), False),
            ("others fail a little", {"x": (4, 8)}, (1, 8), True),
            ("fails for another domain only", {"x": (0, 5), "y": (5, 5)}, (0, 8), 0),
            ("fails for this domain only", {"x": (3, 5), "y": (0, 50)}, (0, 8), True),
            ("not used in this domain", {"y": (3, 5)}, (0, 8), True),
            ("this domain cannot tell", {"x": (0, 2), "y": (5, 6)}, (0, 8), True),
        ]
        for name, by_domain, others, expected in cases:
            with self.subTest(name):
                evidence = FleetEvidence("x")
                for domain, (failures, results) in by_domain.items():
                    reports = {POOL[0]: [failures, results, 0.1, 0.0]}
                    for other in POOL[1:]:
                        reports[other] = [*others, 0.1, 0.0]
                    evidence.merge(f"host-{domain}", domain, reports, 0.0)
                found = evidence.find_outliers(POOL, 0.1)
                self.assertEqual(found, POOL[:1] if expected else [])

    def test_results_expire(self):
        evidence = FleetEvidence("x")
        for _ in range(3):
            evidence.report("up-0", ok=False, now=0.0)
            evidence.merge("b", "x", {"up-1": [3, 3, 0.0, 0.0]}, 0.0)
        self.assertEqual(evidence.find_outliers(POOL, 1.0), ["up-0", "up-1"])
        self.assertEqual(evidence.find_outliers(POOL, WINDOW_SECONDS + 1.0), [])
        self.assertEqual(evidence.summarize(WINDOW_SECONDS + 1.0), {})

    def test_an_upstream_in_use_again_is_judged_by_later_failures(self):
        evidence = FleetEvidence("x")
        evidence.merge("b", "x", {"up-0": [3, 3, 0.0, 0.0]}, 0.0)
        evidence.note_restored("up-0", 1.0)
        self.assertEqual(evidence.find_outliers(POOL, 1.0), [])
        evidence.merge("b", "x", {"up-0": [4, 4, 0.1, 0.0]}, 2.0)
        self.assertEqual(evidence.find_outliers(POOL, 2.0), ["up-0"])

    def test_summary_is_bounded_and_has_successes_of_suspected_ones(self):
        evidence = FleetEvidence("x")
        for number in range(2 * MAX_REPORTED):
            for _ in range(number):
                evidence.report(f"up-{number}", ok=False, now=0.0)
        evidence.report("good", ok=True, now=0.0)
        evidence.report("suspect", ok=True, now=0.0)
        evidence.merge("b", "y", {"suspect": [1, 1, 0.0, 0.0]}, 0.0)
        summary = evidence.summarize(0.5)
        self.assertEqual(len(summary), MAX_REPORTED)
        self.assertEqual(summary["up-47"], [47, 47, 0.5, 0.0])
        few = FleetEvidence("x")
        few.report("good", ok=True, now=0.0)
        few.report("suspect", ok=True, now=0.0)
        few.merge("b", "y", {"suspect": [1, 1, 0.0, 0.0]}, 0.0)
        self.assertEqual(few.summarize(0.5), {"suspect": [0, 1, WINDOW_SECONDS, 0.0]})

    def test_a_restarted_host_leaves_out_what_others_leave_out(self):
        """They report no results any more, as they send nothing there."""
        cases = [
            ("a host of its domain", ["x"], 4.0, [], True),
            ("hosts of two other domains", ["y", "z"], 4.0, [], True),
            ("a host of one other domain", ["y"], 4.0, [], False),
            ("no longer left out", ["x", "y"], 0.0, [], False),
            ("it works here", ["x", "y"], 4.0, [True], False),
        ]
        for name, domains, seconds, results, expected in cases:
            with self.subTest(name):
                evidence = FleetEvidence("x")
                for ok in results:
                    evidence.report("up-0", ok=ok, now=1.0)
                for number, domain in enumerate(domains):
                    sender = FleetEvidence(domain)
                    summary = sender.summarize(1.0, {"up-0": seconds})
                    evidence.merge(f"host-{number}", domain, summary, 1.0)
                left_out = evidence.find_left_out(POOL, 1.5)
                self.assertEqual(left_out, {"up-0": 5.0} if expected else {})
                detector = OutlierDetector()
                for upstream, until in left_out.items():
                    detector.eject(upstream, 1.5, until=until)
                self.assertEqual("up-0" in detector.usable(POOL, 4.9), not expected)
                self.assertIn("up-0", detector.usable(POOL, 5.0))

    def test_invalid_reports_are_ignored(self):
        evidence = FleetEvidence("x")
        with self.assertLogs("sapphireyard.upstreams.evidence", "WARNING"):
            evidence.merge("b", "y", {"up-0": [5]}, 0.0)
        self.assertEqual(evidence.find_outliers(POOL, 0.0), [])


class GreyUpstreamTest(unittest.TestCase):
    """Replays grey upstreams: a third of 10 fail 40 % of their requests.

    12 hosts together send 120 requests per second, evenly over the upstreams that each
    of them uses, for 4 s.
    """

    HOSTS = 12
    GREY = frozenset(POOL[:3])

    def play(self, *, shared, grey_domain=None):
        """Return the failed requests, and by host the upstreams left out at the end."""
        generator = random.Random(5)
        domains = [f"d{number % 3}" for number in range(self.HOSTS)]
        hosts = [
            (domain, OutlierDetector(consecutive=2), FleetEvidence(domain))
            for domain in domains
        ]
        failed = 0
        for step in range(480):
            now = step / 120
            domain, detector, evidence = hosts[generator.randrange(self.HOSTS)]
            if shared:
                for name in evidence.find_outliers(POOL, now):
                    detector.eject(name, now)
            name = generator.choice(detector.usable(POOL, now))
            detector.note_sent(name, now)
            is_grey = name in self.GREY and grey_domain in (None, domain)
            ok = not is_grey or generator.random() > 0.4
            failed += not ok
            detector.report(name, ok=ok, now=now)
            evidence.report(name, ok=ok, now=now)
            if step % 24 == 0:
                for sender, (domain, _, sent) in enumerate(hosts):
                    for receiver, (_, _, received) in enumerate(hosts):
                        if sender != receiver:
                            received.merge(
                                f"{sender}", domain, sent.summarize(now), now
                            )
        left_out = [
            (domain, set(POOL) - set(detector.usable(POOL, 4.0)))
            for domain, detector, _ in hosts
        ]
        return failed, left_out

    def test_all_hosts_leave_out_grey_upstreams_within_seconds(self):
        alone, _ = self.play(shared=False)
        failed, left_out = self.play(shared=True)
        self.assertLess(failed, alone / 2)
        for domain, names in left_out:
            self.assertEqual(names, self.GREY, domain)

    def test_upstreams_that_fail_for_one_domain_are_left_out_there_only(self):
        _, left_out = self.play(shared=True, grey_domain="d1")
        for domain, names in left_out:
            self.assertEqual(names, self.GREY if domain == "d1" else set())
