"""Cold upstreams get no more requests than they bear, from all hosts together."""

import math
import random
import unittest

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.calls import Upstream
from sapphireyard.exchange.routes import Service
from sapphireyard.scheduling.scheduling import SlotRequest
from sapphireyard.upstreams.cold import ColdUpstreams
from sapphireyard.upstreams.rates import UNLIMITED
from tests.exchange_case import ExchangeTestCase
from tests.test_upstream_rates import Hosts

RATE = 29.0
OVER = 1.5
SLACK = 5
ALLOWED = RATE * OVER + SLACK
"""Requests that a cold upstream bears in any second."""
COLD_SECONDS = 3.0
SERVICES = {"engine": Service("engine", 100, None, RATE, COLD_SECONDS)}


class ColdHosts(Hosts):
    """Hosts in virtual time that send to one upstream, which is cold for a while."""

    def __init__(self, count, *, cold_until):
        self.cold_until = cold_until
        super().__init__(count, UNLIMITED)

    def start(self, name):
        super().start(name)
        cold = ColdUpstreams(self.hosts[name])
        cold.set_bound(over=OVER, slack=SLACK)
        cold.set_services(SERVICES)
        upstream = Upstream(
            "u", "engine", "-", started_at=1.0, cold_until=self.cold_until
        )
        cold.note_listed(upstream, self.now)

    def max_in_second(self, start, end):
        """Return the maximum number of requests in any second between two times."""
        times = [at for at in self.sent if start <= at < end]
        return max(
            (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
        )


class FleetRateTest(unittest.TestCase):
    def test_cold_upstream_gets_what_it_bears_and_no_more(self):
        """The hosts of a burst would all prefer it, as it is idle."""
        for count in (1, 4, 8, 16, 40):
            with self.subTest(count):
                hosts = ColdHosts(count, cold_until=10.0)
                hosts.run(10.0, per_second=600.0)
                self.assertLessEqual(hosts.max_in_second(0.0, 10.0), ALLOWED)
                self.assertGreater(len(hosts.sent), 0.7 * RATE * 9)

    def test_burst_after_an_idle_time_does_not_exceed_it(self):
        """Each host has saved up a request."""
        for count in (8, 16, 26):
            with self.subTest(count):
                hosts = ColdHosts(count, cold_until=60.0)
                hosts.run(2.0, per_second=600.0)
                hosts.run(5.0, per_second=0.1)
                hosts.run(3.0, per_second=4000.0)
                self.assertLessEqual(hosts.max_in_second(0.0, 60.0), ALLOWED)

    def test_frozen_hosts_that_wake_do_not_exceed_it(self):
        for count in (4, 8, 16):
            for seed in range(4):
                with self.subTest((count, seed)):
                    hosts = ColdHosts(count, cold_until=60.0)
                    hosts.run(3.0, per_second=600.0, seed=seed)
                    frozen = {name: hosts.hosts.pop(name) for name in ("h0", "h1")}
                    hosts.run(5.0, per_second=600.0, seed=seed)
                    hosts.hosts.update(frozen)
                    hosts.run(5.0, per_second=600.0, seed=seed)
                    self.assertLessEqual(hosts.max_in_second(0.0, 60.0), ALLOWED)

    def test_hosts_that_restart_or_are_cut_off_do_not_exceed_it(self):
        for seed in range(4):
            with self.subTest(seed):
                rng = random.Random(seed)
                hosts = ColdHosts(8, cold_until=60.0)
                hosts.run(2.0, per_second=600.0)
                for _ in range(4):
                    hosts.start(rng.choice(hosts.names))
                    hosts.exchange()  # before callers are sent to a host
                    hosts.run(rng.uniform(0.2, 1.5), per_second=600.0, seed=seed)
                hosts.cut = lambda a, b: (a in hosts.names[:3]) != (
                    b in hosts.names[:3]
                )
                hosts.run(4.0, per_second=600.0, seed=seed)
                hosts.cut = lambda a, b: False
                hosts.run(4.0, per_second=600.0, seed=seed)
                self.assertLessEqual(hosts.max_in_second(0.0, 60.0), ALLOWED)

    def test_limit_ends_when_the_upstream_is_warm(self):
        hosts = ColdHosts(4, cold_until=2.0)
        hosts.run(2.0)
        for rates in hosts.hosts.values():
            rates.end_cold(hosts.now)
            self.assertEqual(rates.limited, set())
        before = len(hosts.sent)
        hosts.run(1.0, per_second=300.0)
        self.assertGreater(len(hosts.sent) - before, 200)

    def test_statements_of_coldness(self):
        """Cases are entries and returns, and the time until which it is limited."""
        for steps, until in (
            ([("listed", 0.0)], 0.0),
            ([("listed", 4.0)], 4.0),
            ([("listed", 4.0), ("listed", 2.0)], 4.0),
            ([("listed", 2.0), ("listed", 6.0)], 6.0),
            ([("back", None)], COLD_SECONDS),
            ([("back", None), ("listed", 6.0)], 6.0),
        ):
            with self.subTest(steps):
                hosts = ColdHosts(1, cold_until=0.0)
                rates = hosts.hosts["h0"]
                cold = ColdUpstreams(rates)
                cold.set_services(SERVICES)
                for kind, cold_until in steps:
                    upstream = Upstream(
                        "u", "engine", "-", started_at=1.0, cold_until=cold_until or 0
                    )
                    if kind == "listed":
                        cold.note_listed(upstream, 0.0)
                    else:
                        cold.note_back(upstream, 0.0)
                for now in (0.9 * until, until + 0.1):
                    rates.end_cold(now)
                    self.assertEqual("u" in rates.limited, now < until)

    def test_stated_rate_and_coldness_hold_together(self):
        hosts = ColdHosts(1, cold_until=5.0)
        rates = hosts.hosts["h0"]
        upstream = Upstream("u", "engine", "-", started_at=1.0)
        self.assertEqual(rates.find_rate(upstream), RATE)
        rates.note_answer(upstream, 2.0, sent_at=0.1, now=0.2)
        self.assertEqual(rates.find_rate(upstream), 2.0)
        rates.note_answer(upstream, UNLIMITED, sent_at=0.3, now=0.4)
        self.assertEqual(rates.find_rate(upstream), RATE)
        rates.note_answer(upstream, 2.0, sent_at=0.5, now=0.6)
        rates.end_cold(5.0)
        self.assertEqual(rates.find_rate(upstream), 2.0)
        self.assertLess(rates.find_wait(upstream, 6.0), math.inf)

    def test_earlier_run_does_not_limit_the_next(self):
        rates = ColdHosts(1, cold_until=5.0).hosts["h0"]
        later = Upstream("u", "engine", "-", started_at=2.0)
        self.assertEqual(rates.find_rate(later), UNLIMITED)


class ColdPoolsTest(ExchangeTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pools = self.runtime.pools
        self.pools.cold.set_bound(over=OVER, slack=SLACK)

    def list_upstreams(self, *cold_seconds):
        now = self.runtime.clock.monotonic()
        upstreams = [
            Upstream(
                f"engine-{number}",
                "engine",
                "127.0.0.1:1",
                "x",
                slots=50,
                cold_until=now + seconds,
            )
            for number, seconds in enumerate(cold_seconds)
        ]
        self.pools.set_upstreams(upstreams)

    async def count_granted(self, count, seconds=0.05):
        """Return how many requests each upstream gets, and what the others hear."""
        granted = {}
        refused = []
        for _ in range(count):
            request = SlotRequest(
                program="c/p",
                root="c/p",
                customer="c",
                pool="engine",
                deadline=self.runtime.clock.monotonic() + seconds,
            )
            lease = self.pools.lease(request)
            try:
                upstream = await lease.__aenter__()
            except CallError as error:
                refused.append(error)
                continue
            self.addAsyncCleanup(lease.__aexit__, None, None, None)
            granted[upstream.name] = granted.get(upstream.name, 0) + 1
        return granted, refused

    def set_services(self, rate):
        self.pools.set_services(
            {"engine": Service("engine", 100, None, rate, COLD_SECONDS)}
        )

    async def test_warm_upstreams_get_the_rest(self):
        self.set_services(RATE)
        self.list_upstreams(5.0, 0.0)
        granted, refused = await self.count_granted(40)
        self.assertLessEqual(granted.get("engine-0", 0), 3)
        self.assertEqual(refused, [])

    async def test_service_without_a_rate_is_served_as_before(self):
        self.set_services(0.0)
        self.list_upstreams(5.0, 0.0)
        granted, refused = await self.count_granted(40)
        self.assertEqual(granted["engine-0"], 20)

    async def test_cold_service_is_refused_at_once_with_the_time_to_return(self):
        self.set_services(2.0)
        self.list_upstreams(5.0)
        granted, refused = await self.count_granted(5)
        self.assertEqual(len(refused), 5)
        for error in refused:
            self.assertEqual(error.code, "overloaded")
            self.assertAlmostEqual(error.retry_after, 0.5, delta=0.2)

    async def test_upstream_that_is_back_counts_as_cold_before_its_entry_tells(self):
        """It may have restarted under its name, and all requests would go to it."""
        self.set_services(RATE)
        self.list_upstreams(0.0, 0.0)
        links = self.pools.links
        now = self.runtime.clock.monotonic()
        links.note_failed("engine-0", now, now, reason="refused")
        self.pools._apply_states("engine", now)
        granted, _ = await self.count_granted(30)
        self.assertEqual(granted, {"engine-1": 30})
        links.note_connected("engine-0", now + 0.01, now + 0.01)
        self.pools._apply_states("engine", now + 0.01)
        granted, _ = await self.count_granted(15)
        self.assertLessEqual(granted.get("engine-0", 0), 3)


if __name__ == "__main__":
    unittest.main()
