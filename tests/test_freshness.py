"""Property tests of the freshness bound of the configuration."""

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
    """A broken variant: treats a peer's confirmation as one by the store itself."""

    def confirm(self, version, *, asked_at, age):
        super().confirm(version, asked_at=asked_at, age=min(age, 0))


class ArrivalTrusted(Freshness):
    """A broken variant: takes the arrival of an answer for the query's time."""

    clock = 0.0

    def confirm(self, version, *, asked_at, age):
        super().confirm(version, asked_at=self.clock, age=age)


class PairQuorum(Freshness):
    """A broken variant: two domains are a quorum."""

    def _has_quorum(self, now, domains):
        answered = [
            d for d in domains if now - self._answered_at.get(d, -99.0) <= BOUND
        ]
        return len(answered) >= 2


class NewerVersionIgnored(Freshness):
    """A broken variant: the quorum holds although a newer version is known."""

    def note_version(self, version):
        if version == self._version:
            self._newest_known = version


class Fleet:
    """Hosts, a store that may be unreachable, and messages that may be delayed."""

    def __init__(self, freshness_class):
        self.now = 0.0
        self.published = [(0.0, 1)]
        self.hosts = [freshness_class(BOUND) for _ in range(HOSTS)]
        self.messages = []

    def step(self, kind, one, other, seconds):
        """Execute one step, advance the clock and check the bound."""
        getattr(self, f"_{kind}")(one, other)
        self.now += seconds
        for host in self.hosts:
            host.clock = self.now
        self.check()

    def check(self):
        """Assert that fresh hosts have every version older than the bound."""
        due = [v for at, v in self.published if at < self.now - BOUND]
        for host in self.hosts:
            if due and host.is_fresh(self.now):
                assert host.version >= due[-1], "a stale version counts as fresh"

    def _publish(self, one, other):
        self.published.append((self.now, self.published[-1][1] + 1))

    def _read(self, one, other):
        self._receive(one, self.published[-1][1], self.now, 0.0)

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
                self._receive(one, message[3][0], message[2], message[3][1])

    def _exchange(self, one, other):
        host = self.hosts[other]
        self._receive(one, host.version, self.now, host.age(self.now))

    def _receive(self, index, version, asked_at, age):
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
    """One host in each of five domains; the store may be unreachable for some."""

    def __init__(self, freshness_class):
        super().__init__(freshness_class)
        self.hosts = [freshness_class(BOUND) for _ in range(5)]
        self.majority_at = {}
        self.stuck = set()

    def check(self):
        """Assert that no fresh host misses a version that a majority has.

        This applies once the majority has had it for longer than the bound.
        """
        for version, at in self.majority_at.items():
            if at < self.now - BOUND:
                for host in self.hosts:
                    fresh = host.is_fresh(self.now, range(5))
                    assert not fresh or host.version >= version, "missed a majority"
        version = sorted(host.version for host in self.hosts)[2]
        self.majority_at.setdefault(version, self.now)

    def _receive(self, index, version, asked_at, age):
        if index in self.stuck and version > self.hosts[index].version:
            self.hosts[index].note_version(version)
            return
        super()._receive(index, version, asked_at, age)

    def _exchange(self, one, other):
        super()._exchange(one, other)
        self.hosts[one].note_domain(other, self.now)
        self.hosts[one].note_domain(one, self.now)


def run_outage(freshness_class, readers, links, stuck):
    """Let `readers` read a change, then keep only `links` working past the bound."""
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
    def test_quorum_misses_no_version_of_a_majority(self, readers, links, stuck):
        run_outage(Freshness, readers, links, stuck)

    def test_broken_quorums_are_found(self):
        pair = ({2, 3, 4}, {(0, 1)}, set())
        star = ({2, 3, 4}, {(0, 1), (0, 2), (0, 3), (0, 4)}, {0})
        for variant, case in ((PairQuorum, pair), (NewerVersionIgnored, star)):
            with self.subTest(variant.__name__):
                with self.assertRaises(AssertionError):
                    run_outage(variant, *case)
                run_outage(Freshness, *case)

    def test_quorum(self):
        cases = [("abc", True), ("ab", False), ("a", False), ("", False)]
        for answered, fresh in cases:
            with self.subTest(answered=answered):
                freshness = Freshness(BOUND)
                freshness.install(1)
                freshness.confirm(1, asked_at=0.0, age=0.0)
                for domain in answered:
                    freshness.note_domain(domain, 95.0)
                self.assertEqual(freshness.is_fresh(100.0, "abcde"), fresh)
                freshness.note_version(2)
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
