"""Property tests of when a configuration may be used."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.configuration.freshness import Freshness

BOUND = 8.0
HOSTS = 2

SETTINGS = settings(max_examples=150, derandomize=True, deadline=None, database=None)
DOMAINS = st.integers(0, 4)
LINKS = st.tuples(DOMAINS, DOMAINS)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["publish", "read", "ask", "reply", "deliver", "exchange"]),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
        st.sampled_from([0.0, 0.5, 4.0, 7.0]),
    ),
    max_size=40,
)


class AgeIgnored(Freshness):
    """A broken variant: takes a peer's word as the store's."""

    def confirm(self, version, *, asked_at, age):
        super().confirm(version, asked_at=asked_at, age=min(age, 0))


class ArrivalTrusted(Freshness):
    """A broken variant: dates news by its arrival."""

    clock = 0.0

    def confirm(self, version, *, asked_at, age):
        super().confirm(version, asked_at=self.clock, age=age)


class PairQuorum(Freshness):
    """A broken variant: two domains attest an outage."""

    def _has_quorum(self, now, domains):
        heard = [d for d in domains if now - self._heard_at.get(d, -99.0) <= BOUND]
        return len(heard) >= 2


class NewsIgnored(Freshness):
    """A broken variant: a newer version heard of ends no quorum."""

    def hear(self, version):
        if version == self._version:
            self._newest_heard = version


class Fleet:
    """Hosts, a store that may be cut off, and messages that may be late."""

    def __init__(self, freshness_class):
        self.now = 0.0
        self.published = [(0.0, 1)]
        self.hosts = [freshness_class(BOUND) for _ in range(HOSTS)]
        self.messages = []

    def step(self, kind, one, other, seconds):
        """Carry out one step, let time pass and check the bound."""
        getattr(self, f"_{kind}")(one, other)
        self.now += seconds
        for host in self.hosts:
            host.clock = self.now
        self.check()

    def check(self):
        """Assert that fresh hosts have all that was published in time."""
        due = [v for at, v in self.published if at < self.now - BOUND]
        for host in self.hosts:
            if due and host.is_fresh(self.now):
                assert host.version >= due[-1], "a stale version counts as fresh"

    def _publish(self, one, other):
        self.published.append((self.now, self.published[-1][1] + 1))

    def _read(self, one, other):
        self._take(one, self.published[-1][1], self.now, 0.0)

    def _ask(self, one, other):
        self.messages.append([one, other, self.now, None])

    def _reply(self, one, other):
        for message in self.messages:
            if message[1] == other and message[3] is None:
                host = self.hosts[other]
                message[3] = (host.version, host.age(self.now))

    def _deliver(self, one, other):
        for message in list(self.messages):
            if message[0] == one and message[3] is not None:
                self.messages.remove(message)
                self._take(one, message[3][0], message[2], message[3][1])

    def _exchange(self, one, other):
        host = self.hosts[other]
        self._take(one, host.version, self.now, host.age(self.now))

    def _take(self, index, version, asked_at, age):
        host = self.hosts[index]
        before = host.version
        if version > host.version:
            host.install(version)
        host.confirm(version, asked_at=asked_at, age=age)
        assert host.version >= before, "the version reverted"


def run_steps(freshness_class, steps):
    """Run the steps on a new fleet."""
    fleet = Fleet(freshness_class)
    for step in steps:
        fleet.step(*step)


class QuorumFleet(Fleet):
    """One host in each of five domains; the store may be out for some."""

    def __init__(self, freshness_class):
        super().__init__(freshness_class)
        self.hosts = [freshness_class(BOUND) for _ in range(5)]
        self.spread_at = {}
        self.stuck = set()

    def check(self):
        """Assert that what most domains have had for long is used everywhere."""
        for version, at in self.spread_at.items():
            if at < self.now - BOUND:
                for host in self.hosts:
                    fresh = host.is_fresh(self.now, range(5))
                    assert not fresh or host.version >= version, "missed a majority"
        version = sorted(host.version for host in self.hosts)[2]
        self.spread_at.setdefault(version, self.now)

    def _take(self, index, version, asked_at, age):
        if index in self.stuck and version > self.hosts[index].version:
            self.hosts[index].hear(version)
            return
        super()._take(index, version, asked_at, age)

    def _exchange(self, one, other):
        super()._exchange(one, other)
        self.hosts[one].hear_domain(other, self.now)
        self.hosts[one].hear_domain(one, self.now)


def run_outage(freshness_class, readers, links, stuck):
    """Let some hosts read a change, then only some links work, for long."""
    fleet = QuorumFleet(freshness_class)
    for host in range(5):
        fleet.step("read", host, 0, 0.0)
    fleet.step("publish", 0, 0, 0.0)
    for host in sorted(readers):
        fleet.step("read", host, 0, 0.0)
    fleet.stuck = stuck
    for _ in range(12):
        for one, other in sorted(links):
            fleet.step("exchange", one, other, 0.0)
            fleet.step("exchange", other, one, 0.0)
        fleet.now += 2.0
        fleet.check()


class FreshnessTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_fails_closed_within_the_bound(self, steps):
        run_steps(Freshness, steps)

    def test_broken_variants_are_found(self):
        circle = [("read", 0, 0, 0.0), ("exchange", 1, 0, 0.5), ("publish", 0, 0, 7.0)]
        circle += [("exchange", 1, 0, 4.0)]
        late = [("read", 0, 0, 0.0), ("ask", 1, 0, 0.0), ("reply", 1, 0, 0.5)]
        late += [("publish", 0, 0, 7.0), ("deliver", 1, 0, 4.0)]
        for variant, steps in ((AgeIgnored, circle), (ArrivalTrusted, late)):
            with self.subTest(variant.__name__):
                with self.assertRaises(AssertionError):
                    run_steps(variant, steps)
                run_steps(Freshness, steps)

    @SETTINGS
    @given(st.sets(DOMAINS), st.sets(LINKS, max_size=8), st.sets(DOMAINS))
    def test_an_outage_quorum_misses_no_majority(self, readers, links, stuck):
        run_outage(Freshness, readers, links, stuck)

    def test_a_broken_quorum_is_found(self):
        pair = ({2, 3, 4}, {(0, 1)}, set())
        star = ({2, 3, 4}, {(0, 1), (0, 2), (0, 3), (0, 4)}, {0})
        for variant, case in ((PairQuorum, pair), (NewsIgnored, star)):
            with self.subTest(variant.__name__):
                with self.assertRaises(AssertionError):
                    run_outage(variant, *case)
                run_outage(Freshness, *case)

    def test_quorum(self):
        cases = [("abc", True), ("ab", False), ("a", False), ("", False)]
        for heard, fresh in cases:
            with self.subTest(heard=heard):
                freshness = Freshness(BOUND)
                freshness.install(1)
                freshness.confirm(1, asked_at=0.0, age=0.0)
                for domain in heard:
                    freshness.hear_domain(domain, 95.0)
                self.assertEqual(freshness.is_fresh(100.0, "abcde"), fresh)
                freshness.hear(2)
                self.assertFalse(freshness.is_fresh(100.0, "abcde"))

    def test_never_reverts(self):
        freshness = Freshness(BOUND)
        freshness.install(2)
        for version in (1, 2):
            with self.assertRaises(AssertionError):
                freshness.install(version)
        freshness.confirm(2, asked_at=10.0, age=1.0)
        freshness.confirm(2, asked_at=5.0, age=0.0)
        self.assertTrue(freshness.is_fresh(17.0))
        self.assertFalse(freshness.is_fresh(17.1))
