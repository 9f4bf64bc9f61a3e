"""Property tests of when a configuration may be used."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.freshness import Freshness

BOUND = 8.0
HOSTS = 2

SETTINGS = settings(max_examples=300, derandomize=True, deadline=None, database=None)
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
