"""Replays of surges on a virtual clock, against the schedulers without a home."""

import unittest
from functools import partial

from bench.surge import SCARCE, UNEVEN, URGENT, HomeArm, HostsArm, run

BURST = (6.0, 10.0, 2.1)


def play(site, arm, *, load):
    """Return the outcomes by kind, and the worst second's earned share."""
    simulation = run(site, seed=5, load=load, burst=BURST, seconds=14.0, arm=arm)
    by_second = simulation.by_second.items()
    worst = min(each.share for second, each in by_second if second < 14)
    return simulation.outcomes, worst


def count_missed(outcomes):
    """Return how many programs were late or failed."""
    return sum(each.late + each.failed for each in outcomes.values())


class SurgeTest(unittest.TestCase):
    def test_a_burst_is_served_in_time(self):
        """Hosts that queue alone fill engines beyond their batches.

        At least half of the programs that were late or failed are in time, and no
        second falls below three quarters where slots are what is short.
        """
        for name, site, least_worst in (
            ("uneven", UNEVEN, 0.0),
            ("scarce", SCARCE, 0.75),
        ):
            with self.subTest(site=name):
                alone, _ = play(site, HostsArm, load=2.0)
                home, worst = play(site, partial(HomeArm, options=URGENT), load=2.0)
                self.assertLessEqual(2 * count_missed(home), count_missed(alone))
                self.assertGreater(worst, least_worst)

    def test_urgent_programs_are_served_first(self):
        """Far above capacity, the share of what is served falls with the priority."""
        outcomes, _ = play(SCARCE, partial(HomeArm, options=URGENT), load=3.0)
        checkout, arrears = outcomes["checkout"], outcomes["arrears"]
        self.assertGreater(checkout.share, arrears.share)
        self.assertGreater(checkout.served, arrears.served)
        self.assertGreater(arrears.served, checkout.served / 4)

    def test_light_load_is_served_as_well_as_by_each_host_alone(self):
        for name, site in (("uneven", UNEVEN), ("scarce", SCARCE)):
            with self.subTest(site=name):
                alone, _ = play(site, HostsArm, load=0.6)
                home, _ = play(site, partial(HomeArm, options=URGENT), load=0.6)
                self.assertLessEqual(count_missed(home), count_missed(alone))

    def test_service_is_normal_a_second_after_a_burst(self):
        simulation = run(
            SCARCE,
            seed=5,
            load=1.4,
            burst=(6.0, 10.0, 6.0),
            seconds=16.0,
            arm=partial(HomeArm, options=URGENT),
        )
        for second in range(11, 16):
            self.assertGreater(simulation.by_second[second].share, 0.9, second)


if __name__ == "__main__":
    unittest.main()
