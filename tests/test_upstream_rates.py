"""Rates that upstreams state, kept by all hosts together."""

import math
import random
import unittest

from sapphireyard.exchange.calls import Upstream
from sapphireyard.upstreams.rates import PROBE_RATE, UNLIMITED, UpstreamRates
from standins.scripted_upstream import End, build_head
from tests.answer_case import AnswerTestCase

WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_REQUESTS = 5
HEARTBEAT_SECONDS = 0.2
UPSTREAM = Upstream("u", "engine", "-", started_at=1.0)
EMPTY = "Content-Length: 0"
REFUSED = ("Not-Executed: 1", EMPTY)


def head(*lines, status=200):
    return build_head("r1", *lines, status=status)


class Hosts:
    """Hosts in virtual time that send to one upstream as often as they may.

    Parameters
    ----------
    count : int
        Number of hosts; the first serves three times as many requests as each other.
    rate : float
        Rate that the upstream states in its answers.
    """

    def __init__(self, count, rate):
        self.rate = rate
        self.now = 0.0
        self.sent = []
        self.cut = lambda a, b: False
        self.names = [f"h{number}" for number in range(count)]
        self.hosts = {}
        for name in self.names:
            self.start(name)
        self.exchange()

    def start(self, name):
        """Start or restart a host, which knows nothing."""
        self.hosts[name] = UpstreamRates(name)

    def exchange(self):
        """Let the hosts that are in touch hear each other."""
        for a, host in self.hosts.items():
            heard = [b for b in self.hosts if not self.cut(a, b)]
            weights = {b: 3.0 if b == "h0" else 1.0 for b in heard}
            host.set_hosts(weights, share=len(heard) / len(self.names))
            for b in heard:
                host.merge(b, self.hosts[b].report(self.now), self.now)

    def run(self, seconds, *, per_second=200.0, seed=1):
        """Offer requests to random hosts; each answer has the rate, or none."""
        rng = random.Random(seed)
        end = self.now + seconds
        next_beat = self.now
        while self.now < end:
            self.now += rng.expovariate(per_second)
            while next_beat <= self.now:
                self.exchange()
                next_beat += HEARTBEAT_SECONDS
            host = self.hosts[rng.choice(sorted(self.hosts))]
            if host.find_wait(UPSTREAM, self.now) > 0:
                continue
            host.take(UPSTREAM, self.now)
            self.sent.append(self.now)
            host.note_answer(UPSTREAM, self.rate, sent_at=self.now, now=self.now)

    def max_in_window(self, start):
        """Return the maximum number of requests in any window after `start`."""
        times = [at for at in self.sent if at >= start]
        return max(
            sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times
        )


class SharedRateTest(unittest.TestCase):
    def assert_kept(self, hosts, rate, start):
        allowed = ALLOWED_SHARE * rate * WINDOW_SECONDS + ALLOWED_REQUESTS
        self.assertLessEqual(hosts.max_in_window(start), allowed)

    def test_upstream_gets_no_more_than_the_rate_that_it_states(self):
        for count, rate in (
            (1, 5.5),
            (8, 5.5),
            (8, 0.5),
            (14, 3.0),
            (14, 10.3),
            (40, 2.0),
            (40, 60.0),
        ):
            with self.subTest((count, rate)):
                hosts = Hosts(count, rate)
                hosts.run(24.0)
                self.assert_kept(hosts, rate, 1.0)
                self.assertGreater(len(hosts.sent), 0.85 * rate * 20)

    def test_rate_is_kept_while_hosts_restart_and_join(self):
        for seed in range(5):
            with self.subTest(seed):
                rng = random.Random(seed)
                hosts = Hosts(8, 8.0)
                hosts.run(2.0)
                for _ in range(10):
                    hosts.start(rng.choice(hosts.names))
                    hosts.exchange()  # before callers are sent to a host
                    hosts.run(rng.uniform(0.2, 2.0), seed=seed)
                self.assert_kept(hosts, 8.0, 1.0)

    def test_parts_of_a_divided_fleet_keep_the_rate(self):
        hosts = Hosts(8, 8.0)
        hosts.run(3.0)
        hosts.cut = lambda a, b: (a in hosts.names[:4]) != (b in hosts.names[:4])
        hosts.run(8.0)
        hosts.cut = lambda a, b: False
        hosts.run(8.0)
        self.assert_kept(hosts, 8.0, 1.0)

    def test_changed_rate_is_used_by_all_hosts(self):
        hosts = Hosts(8, 40.0)
        hosts.run(6.0)
        hosts.rate = 5.0
        hosts.run(10.0)
        self.assert_kept(hosts, 5.0, 7.0)
        hosts.rate = UNLIMITED
        hosts.run(2.0)
        before = len(hosts.sent)
        hosts.run(1.0)
        self.assertGreater(len(hosts.sent) - before, 100)


class StatementTest(unittest.TestCase):
    def setUp(self):
        self.rates = UpstreamRates("a")

    def note(self, rate, sent_at, now, upstream=UPSTREAM):
        self.rates.note_answer(upstream, rate, sent_at=sent_at, now=now)

    def test_only_later_requests_end_a_rate(self):
        """Cases have when a request was sent that is answered without a rate."""
        for sent_at, rate in ((0.5, 4.0), (1.0, 4.0), (1.1, UNLIMITED)):
            with self.subTest(sent_at):
                self.setUp()
                self.note(4.0, 0.9, 1.0)
                self.note(UNLIMITED, sent_at, 1.2)
                self.assertEqual(self.rates.find_rate(UPSTREAM), rate)

    def test_rate_of_an_earlier_run_counts_no_more(self):
        later = Upstream("u", "engine", "-", started_at=2.0)
        self.note(4.0, 0.9, 1.0)
        self.assertEqual(self.rates.find_rate(later), UNLIMITED)
        self.note(6.0, 2.0, 2.1, upstream=later)
        self.note(4.0, 2.0, 2.2)
        self.assertEqual(self.rates.find_rate(later), 6.0)

    def test_upstream_that_takes_nothing_is_asked_now_and_then(self):
        self.note(0.0, 0.9, 1.0)
        self.assertEqual(self.rates.find_rate(UPSTREAM), PROBE_RATE)
        self.assertEqual(self.rates.find_wait(UPSTREAM, 1.0), 1 / PROBE_RATE)

    def test_host_that_stands_by_sends_nothing(self):
        self.note(4.0, 0.9, 1.0)
        self.rates.set_hosts({"b": 1.0})
        self.assertEqual(self.rates.find_wait(UPSTREAM, 9.0), math.inf)

    def test_newest_report_counts(self):
        """Cases are reports of rate and age, and the rate that results."""
        for reports, rate in (
            ([(4.0, 0.1), (6.0, 0.5)], 4.0),
            ([(4.0, 0.5), (6.0, 0.1)], 6.0),
            ([(4.0, 0.5), (UNLIMITED, 0.1)], UNLIMITED),
            ([(4.0, 0.1), (UNLIMITED, 0.5)], 4.0),
        ):
            with self.subTest(reports):
                self.setUp()
                for number, (stated, age) in enumerate(reports):
                    self.rates.merge(f"h{number}", {"u": [1.0, stated, age]}, 10.0)
                self.assertEqual(self.rates.find_rate(UPSTREAM), rate)


class AnsweredRateTest(AnswerTestCase):
    """Rates in the answers of a real upstream."""

    async def count_sent(self, *lines, status=200, path="/view/1", requests=10):
        """Return how many of some requests the upstream gets after this answer."""
        steps = (head(*lines, status=status), End.STAY)
        await self.answer(*steps, path=path)
        sent = self.upstream.requests
        for _ in range(requests):
            await self.answer(*steps, path=path, timeout=0.2)
        return self.upstream.requests - sent

    async def test_which_answers_state_a_rate(self):
        """Cases are an answer, and whether its upstream is limited by it."""
        limit = "Server-Limit: 0.5"
        for name, lines, status, limited in (
            ("answer", (limit, EMPTY), 200, True),
            ("failure", (limit, EMPTY), 500, True),
            ("refusal", (limit, *REFUSED), 503, True),
            ("other upstream", (limit, *REFUSED), 421, False),
            ("none", (EMPTY,), 200, False),
            ("negative", ("Server-Limit: -1", EMPTY), 200, False),
            ("no number", ("Server-Limit: many", EMPTY), 200, False),
            ("not finite", ("Server-Limit: inf", EMPTY), 200, False),
            ("not a decimal number", ("Server-Limit: 1_0", EMPTY), 200, False),
            ("zero", ("Server-Limit: 0", EMPTY), 200, True),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                await self.answer(head(*lines, status=status), path="/book/1")
                upstream = self.runtime.pools.find("plain-1")
                rate = self.runtime.pools.rates.find_rate(upstream)
                self.assertEqual(rate != UNLIMITED, limited)

    async def test_requests_beyond_the_rate_are_refused_at_once(self):
        """The time to wait is true: the next request is served after it."""
        sent = await self.count_sent("Server-Limit: 2", EMPTY)
        self.assertEqual(sent, 0)
        self.assertEqual(self.reply.status, 503)
        self.assertLess(self.line_ms, 50)
        self.assertAlmostEqual(self.reply.retry_after, 0.5, delta=0.2)

    async def test_request_waits_for_the_rate_within_its_time(self):
        await self.answer(head("Server-Limit: 5", EMPTY), path="/view/1")
        await self.answer(head("Server-Limit: 5", EMPTY), path="/view/1")
        self.assertEqual(self.reply.status, 200)
        self.assertEqual(self.upstream.requests, 2)

    async def test_other_upstreams_get_the_rest(self):
        address = self.upstream.address
        self.runtime.pools.set_upstreams(
            [Upstream(f"plain-{n}", "plain", address, slots=8) for n in (1, 2)]
        )
        rates = self.runtime.pools.rates
        limited = self.runtime.pools.find("plain-1")
        now = self.runtime.clock.monotonic()
        rates.note_answer(limited, 0.5, sent_at=now, now=now)
        for _ in range(5):
            line = await self.answer(head(EMPTY), End.STAY, path="/view/1")
            self.assertEqual((line.upstream, self.reply.status), ("plain-2", 200))

    async def test_answer_without_a_rate_ends_it(self):
        await self.answer(head("Server-Limit: 9", EMPTY), path="/view/1")
        for _ in range(4):
            await self.answer(head(EMPTY), path="/view/1")
            self.assertEqual(self.reply.status, 200)
        upstream = self.runtime.pools.find("plain-1")
        self.assertEqual(self.runtime.pools.rates.find_rate(upstream), UNLIMITED)

    async def answer(self, *steps, **fields):
        line = await super().answer(*steps, **fields)
        self.line_ms = line.ms
        return line
