"""Tests of the fleet-wide rate limits against an exact count of every window."""

import heapq
import itertools
import random
import unittest
from unittest import mock

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sapphireyard.limits._customer_state import CustomerState, HeldGrant
from sapphireyard.limits.buckets import Bucket, Rule
from sapphireyard.limits.generated_limits import (
    BucketState,
    GrantSettlement,
    TokenAsk,
    TokenGrant,
)
from sapphireyard.limits.holders import TokenHolder
from sapphireyard.limits.homes import HomeTracker, View, choose_home, score_host
from sapphireyard.limits.limits import RateHome

LEASE = 1.0
EXPIRY = 0.8
"""Time after its last renewal from which a host may be sealed."""
OPENING = LEASE + 1.0
"""Time by which the first home grants tokens."""
CUSTOMER = "acme"
HOSTS = ("a", "b", "c")
DETERMINISTIC = {"derandomize": True, "deadline": None, "database": None}


def find_excess(uses, rules):
    """Return the first window that used more than burst + rate * w, or None.

    The reference model: every pair of uses bounds a window, and the largest
    rate and burst that were in force at any time apply.
    """
    rate = max(rule.rate for rule in rules)
    burst = max(rule.burst for rule in rules)
    for first, began_at in enumerate(uses):
        for last in range(first, len(uses)):
            allowed = burst + rate * (uses[last] - began_at)
            if last - first + 1 > allowed + 1e-6:
                return began_at, uses[last], last - first + 1
    return None


class Fleet:
    """Hosts, a store that holds the members, and an unreliable network.

    The store seals only a host whose renewals stopped for `EXPIRY`. Messages
    are lost, duplicated, delayed and reordered; hosts are paused, cut off from
    the store, left with old views and restarted.

    Attributes
    ----------
    written_at : dict of str to float
        Time of the last renewal in the store, by host.
    renewed_at : dict of str to float
        Start of the last renewal that the host knows to have succeeded, by
        host.
    paused_until, cut_until, blind_until : dict of str to float
        End of the pause, of the cut from the store and of the time without new
        views, by host.
    """

    def __init__(self, seed, rule, *, loss=0.1, delay=0.02):
        self.random = random.Random(seed)
        self.now = 100.0
        self.rules = [rule]
        self.delays = (0.001, 0.01, delay)
        self.copies = 1
        self.loss = loss
        self.uses = []
        self.events = []
        self.sequence = itertools.count()
        self.version = 0
        self.active = set()
        self.members = {}
        self.written_at = {}
        self.renewed_at = {}
        self.paused_until = dict.fromkeys(HOSTS, 0.0)
        self.cut_until = dict.fromkeys(HOSTS, 0.0)
        self.blind_until = dict.fromkeys(HOSTS, 0.0)
        self.incarnations = dict.fromkeys(HOSTS, 0)
        self.trackers = {}
        self.homes = {}
        self.holders = {}
        for host in HOSTS:
            self.restart(host)

    @property
    def view(self):
        return View(self.version, dict(self.members), frozenset(self.active))

    def schedule(self, seconds, action, *arguments):
        when = self.now + seconds
        heapq.heappush(self.events, (when, next(self.sequence), action, arguments))

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self.events)
            self.now = max(self.now, when)
            action(*arguments)
        self.now = end

    def run_on_host(self, host, incarnation, action, *arguments):
        """Run an action on a host: later if it is paused, never if it restarted."""
        if self.incarnations[host] != incarnation:
            return
        wait = self.paused_until[host] - self.now
        if wait > 0:
            self.schedule(wait, self.run_on_host, host, incarnation, action, *arguments)
            return
        action(host, *arguments)

    def schedule_on_host(self, host, seconds, action, *arguments):
        """Run an action on the current incarnation of a host after a delay."""
        run = self.run_on_host, host, self.incarnations[host], action
        self.schedule(seconds, *run, *arguments)

    def send(self, host, action, *arguments):
        """Send a message to a host over the unreliable network."""
        for _ in range(self.copies + (self.random.random() < self.loss)):
            if self.random.random() >= self.loss:
                delay = self.random.choice(self.delays)
                self.schedule_on_host(host, delay, action, *arguments)

    def renew(self, host):
        self.schedule_on_host(host, 0.1, self.renew)
        if self.now < self.cut_until[host]:
            return
        delay = self.random.uniform(0, 0.1)
        if self.members.get(host) == self.incarnations[host]:
            self.written_at[host] = self.now
            self.schedule_on_host(host, delay, self.receive_renewal, self.now)
        if self.now >= self.blind_until[host]:
            self.schedule_on_host(host, delay, self.receive_view, self.view)

    def receive_renewal(self, host, started):
        self.renewed_at[host] = max(self.renewed_at[host], started)

    def receive_view(self, host, view):
        self.homes[host].change_view(view, self.now)

    def valid(self, host):
        return self.now < self.renewed_at[host] + EXPIRY

    def tick(self, host):
        self.schedule_on_host(host, 0.02, self.tick)
        for ask in self.holders[host].poll(lambda _: self.rules[-1], self.now):
            home = self.trackers[host].home(CUSTOMER)
            self.schedule_on_host(host, 0.8, self.time_out, ask.number)
            sender = host, self.incarnations[host]
            if home is not None:
                self.send(home, self.receive_ask, *sender, ask)
        for other, version in sorted(self.trackers[host].pending.items()):
            sender = host, self.incarnations[host]
            self.send(other, self.receive_announcement, *sender, version)
        self.homes[host].forget_idle(self.now)
        self.count_uses()

    def receive_announcement(self, host, asker, incarnation, version):
        if self.trackers[host].view.version >= version:
            if self.incarnations[asker] == incarnation:
                self.send(asker, self.receive_acknowledgement, host, version)

    def receive_acknowledgement(self, host, other, version):
        self.trackers[host].acknowledge(other, version, self.now)

    def receive_ask(self, host, holder, incarnation, ask):
        grant = self.homes[host].ask(
            holder,
            incarnation,
            ask,
            self.rules[-1],
            self.now,
            valid=self.valid(host),
        )
        if self.incarnations[holder] == incarnation:
            self.send(holder, self.receive_grant, grant)

    def receive_grant(self, host, grant):
        self.holders[host].answer(CUSTOMER, grant, self.rules[-1], self.now)
        self.count_uses()

    def time_out(self, host, number):
        self.holders[host].fail(CUSTOMER, number, self.now)

    def count_uses(self):
        for holder in self.holders.values():
            decided = holder.take_decided()
            self.uses += [self.now for waiter in decided if waiter.admitted]

    def call(self, host, calls, deadline=2.0):
        for _ in range(calls):
            if self.now < self.paused_until[host]:
                return
            waiter = self.holders[host].acquire(
                CUSTOMER, self.rules[-1], self.now, deadline=self.now + deadline
            )
            if waiter.admitted:
                self.uses.append(self.now)

    def burst(self, calls):
        for host in HOSTS:
            self.call(host, calls)
        self.run(0.1)

    def flood(self, ticks):
        for _ in range(ticks):
            for host in HOSTS:
                self.call(host, 1)
            self.run(0.02)

    def pause(self, host, seconds):
        self.paused_until[host] = self.now + seconds

    def cut(self, host, seconds):
        self.cut_until[host] = self.now + seconds

    def blind(self, host, seconds):
        self.blind_until[host] = self.now + seconds

    def leave(self, host):
        if len(self.active) > 1 and host in self.active:
            self.active.discard(host)
            self.version += 1

    def seal(self, host):
        if host in self.members and self.now >= self.written_at[host] + EXPIRY:
            del self.members[host]
            self.active.discard(host)
            self.version += 1

    def restart(self, host):
        self.incarnations[host] += 1
        self.members[host] = self.incarnations[host]
        self.active.add(host)
        self.version += 1
        self.trackers[host] = HomeTracker(host)
        self.homes[host] = RateHome(self.trackers[host], lease=LEASE)
        self.holders[host] = TokenHolder()
        self.written_at[host] = self.renewed_at[host] = self.now
        self.receive_view(host, self.view)
        self.schedule_on_host(host, 0.0, self.renew)
        self.schedule_on_host(host, 0.0, self.tick)

    def hand_over(self, host):
        """Let a new home adopt the bucket of a previous one."""
        previous = self.trackers[host].previous_home(CUSTOMER)
        rule = self.rules[-1]
        needed = self.homes[host].needs_adoption(CUSTOMER, rule, self.now)
        if previous is None or not needed:
            return
        if self.now < max(self.paused_until[host], self.paused_until[previous]):
            return
        if self.trackers[previous].view.version < self.trackers[host].view.version:
            return
        state = self.homes[previous].hand_over(
            CUSTOMER, self.now, valid=self.valid(previous)
        )
        self.homes[host].adopt(CUSTOMER, state, rule, self.now)

    def rule(self, rate, burst):
        self.rules.append(Rule(rate, burst))

    def slow(self, delay):
        self.delays = (delay or 0.001,)

    def double(self):
        self.copies = 2


def drive(fleet, steps):
    """Run steps once the first home has opened; return any excess window."""
    rule = fleet.rules[0]
    fleet.run(OPENING + rule.burst / rule.rate)
    for name, *arguments in steps:
        getattr(fleet, name)(*arguments)
    fleet.run(2.0)
    return find_excess(fleet.uses, fleet.rules)


def _lease_from_receipt(state, grant, now):
    if grant.tokens:
        ends = now + grant.lease
        state.grants[grant.number] = HeldGrant(grant.tokens, 0, ends, ends)


def _refill_after_expiry(bucket, now):
    for key, grant in list(bucket._grants.items()):
        if grant.expires_at <= now:
            bucket._drop_grant(key)
    bucket._refill(now)


def _settle_without_closing(bucket, host, incarnation, settlements):
    for settlement in settlements:
        grant = bucket._grants.get((host, incarnation, settlement.number))
        if grant and settlement.closed:
            bucket._available += grant.tokens - settlement.used
            bucket._outstanding -= grant.tokens - settlement.used


def _fill_at_change(bucket, rule, now):
    if rule != bucket._rule:
        bucket._rule = rule
        bucket._available = rule.burst


def _accept_any_answer(holder, customer, grant, rule, now):
    state = holder._states.setdefault(customer, CustomerState(sent_at=now))
    state.pending_ask = grant.number
    ORIGINAL_ANSWER(holder, customer, grant, rule, now)


def _hand_over_copy(home, customer, now, *, valid):
    bucket = home._retired.get(customer, (home._buckets.get(customer), 0))[0]
    if bucket is None or not bucket.is_open(now):
        return BucketState()
    return BucketState(True, *bucket.hand_over(now))


def _open_at_once(home, customer, rule, now):
    opens_at = home._tracker.settled_at(customer)
    return Bucket(rule, lease=LEASE, opens_at=opens_at, now=now)


def _settle_without_acknowledgements(tracker, now):
    tracker._pending.clear()
    ORIGINAL_SETTLE(tracker, now)


def _ask_while_invalid(home, *arguments, valid):
    return ORIGINAL_ASK(home, *arguments, valid=True)


ORIGINAL_SETTLE = HomeTracker._settle_epochs
ORIGINAL_ASK = RateHome.ask
ORIGINAL_ANSWER = TokenHolder.answer
FIRST, SECOND, THIRD = sorted(
    HOSTS, key=lambda host: score_host(CUSTOMER, host), reverse=True
)
"""Hosts by their rendezvous rank for the customer; FIRST is its home."""
UNUSED_GRANT = [("slow", 0.05), ("call", SECOND, 10, 0.04), ("run", 0.15), ("slow", 0)]
"""Steps after which a holder has a grant but no waiting caller."""
MECHANISMS = [
    (
        "the lease is counted from when the ask was sent",
        mock.patch.object(TokenHolder, "_add_grant", staticmethod(_lease_from_receipt)),
        Rule(40, 10),
        [("slow", 0.35), ("call", SECOND, 10, 0.02), ("run", 0.9), ("slow", 0)]
        + [("run", 0.7), ("burst", 10)],
    ),
    (
        "refill leaves room for outstanding tokens",
        mock.patch.object(Bucket, "outstanding", 0),
        Rule(40, 10),
        UNUSED_GRANT + [("run", 0.25), ("burst", 10)],
    ),
    (
        "nothing is refilled for the time before a lease ends",
        mock.patch.object(Bucket, "_advance", _refill_after_expiry),
        Rule(5, 10),
        UNUSED_GRANT
        + [("run", 0.3), ("call", SECOND, 10), ("restart", SECOND)]
        + [("run", 0.65), ("burst", 10)],
    ),
    (
        "a grant is settled once",
        mock.patch.object(Bucket, "_settle", _settle_without_closing),
        Rule(5, 10),
        UNUSED_GRANT + [("run", 4.0), ("burst", 10)],
    ),
    (
        "a change of the rule adds no tokens",
        mock.patch.object(Bucket, "change_rule", _fill_at_change),
        Rule(5, 10),
        [("burst", 10), ("run", 0.4), ("rule", 4, 10), ("burst", 10)],
    ),
    (
        "a duplicated answer is applied once",
        mock.patch.object(TokenHolder, "answer", _accept_any_answer),
        Rule(5, 10),
        [("double",), ("burst", 10), ("burst", 10)],
    ),
    (
        "a new home waits for the leases of the previous one",
        mock.patch.object(RateHome, "_create_bucket", _open_at_once),
        Rule(40, 10),
        [("slow", 0.05), ("call", SECOND, 10, 0.04), ("run", 0.15), ("slow", 0)]
        + [("leave", FIRST), ("run", 0.3), ("call", THIRD, 10), ("call", SECOND, 10)],
    ),
    (
        "a home whose renewals stopped grants nothing",
        mock.patch.object(RateHome, "ask", _ask_while_invalid),
        Rule(40, 10),
        [("cut", FIRST, 5.0), ("run", 1.0), ("seal", FIRST), ("run", 1.6)]
        + [("burst", 10)],
    ),
    (
        "a home that becomes active waits until the other hosts know it",
        mock.patch.object(
            HomeTracker, "_settle_epochs", _settle_without_acknowledgements
        ),
        Rule(40, 10),
        [("cut", FIRST, 1.0), ("run", 0.9), ("seal", FIRST), ("run", 2.0)]
        + [("blind", SECOND, 5.0), ("blind", THIRD, 5.0), ("restart", FIRST)]
        + [("run", 1.5), ("burst", 10)],
    ),
    (
        "a bucket that was handed over is given up",
        mock.patch.object(RateHome, "hand_over", _hand_over_copy),
        Rule(10, 10),
        [("leave", FIRST), ("call", SECOND, 1), ("run", 0.3), ("hand_over", SECOND)]
        + [("burst", 10), ("leave", SECOND), ("run", 0.3), ("hand_over", THIRD)]
        + [("burst", 10)],
    ),
]
"""Mechanism, a patch that removes it, the rule, steps that then exceed the rule."""


class WindowTest(unittest.TestCase):
    def test_each_mechanism_is_needed(self):
        for name, removal, limit, steps in MECHANISMS:
            with self.subTest(mechanism=name):
                fleet = Fleet(0, limit, loss=0)
                self.assertIsNone(drive(fleet, steps))
                self.assertGreater(len(fleet.uses), 0)
                with (
                    removal,
                    mock.patch.object(Bucket, "_check_invariant", lambda bucket: None),
                ):
                    self.assertIsNotNone(drive(Fleet(0, limit, loss=0), steps))

    def test_fleet_without_faults_uses_the_full_rate(self):
        for rate, burst in ((20, 10), (50, 5), (3, 30)):
            with self.subTest(rate=rate, burst=burst):
                fleet = Fleet(1, Rule(rate, burst), loss=0, delay=0.01)
                fleet.run(LEASE + burst / rate + 0.5)
                fleet.flood(400)
                self.assertGreater(len(fleet.uses), 0.95 * (burst + 8 * rate))


class FleetMachine(RuleBasedStateMachine):
    """Any sequence of calls, faults, moves of the home and changes of the rule."""

    @initialize(seed=st.integers(0, 9999))
    def start(self, seed):
        self.fleet = Fleet(seed, Rule(40, 10), delay=0.4)
        self.fleet.run(OPENING)

    @rule(calls=st.integers(1, 12))
    def burst(self, calls):
        self.fleet.burst(calls)

    @rule(ticks=st.integers(5, 40))
    def flood(self, ticks):
        self.fleet.flood(ticks)

    @rule(host=st.sampled_from(HOSTS), calls=st.integers(1, 8))
    def call(self, host, calls):
        self.fleet.call(host, calls, 0.1)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.9, 2.3]))
    def run(self, seconds):
        self.fleet.run(seconds)

    @rule(
        fault=st.sampled_from(["pause", "cut", "blind"]),
        host=st.sampled_from(HOSTS),
        seconds=st.floats(0.1, 3.0),
    )
    def disturb(self, fault, host, seconds):
        getattr(self.fleet, fault)(host, seconds)

    @rule(
        event=st.sampled_from(["leave", "seal", "hand_over", "restart"]),
        host=st.sampled_from(HOSTS),
    )
    def move(self, event, host):
        getattr(self.fleet, event)(host)

    @rule(rate=st.sampled_from([4, 40]), burst=st.sampled_from([3, 10]))
    def change_rule(self, rate, burst):
        self.fleet.rule(rate, burst)

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.run(2.0)
            assert find_excess(self.fleet.uses, self.fleet.rules) is None


FleetMachine.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=30,
    suppress_health_check=[HealthCheck.too_slow],
    **DETERMINISTIC,
)
FleetTest = FleetMachine.TestCase


class BucketTest(unittest.TestCase):
    RULE = Rule(10, 5)

    def make(self):
        return Bucket(self.RULE, lease=LEASE, opens_at=0.0, now=10.0)

    def test_answers_by_number(self):
        cases = [
            ("a repeat gets the same answer", [1, 1], [5, 5]),
            ("an overtaken ask gets nothing", [2, 1], [5, 0]),
            ("a later ask finds the bucket empty", [1, 2], [5, 0]),
        ]
        for name, numbers, expected in cases:
            with self.subTest(name):
                bucket = self.make()
                grants = [
                    bucket.ask("a", 1, TokenAsk("c", number, wanted=5), 10.0).tokens
                    for number in numbers
                ]
                self.assertEqual(grants, expected)
                self.assertEqual(bucket.outstanding, 5)

    def test_returned_tokens_are_granted_again(self):
        bucket = self.make()
        bucket.ask("a", 1, TokenAsk("c", 1, wanted=5), 10.0)
        back = [GrantSettlement(1, used=2, closed=True)]
        bucket.ask("a", 1, TokenAsk("c", 2, settlements=back), 10.0)
        grant = bucket.ask("b", 1, TokenAsk("c", 1, wanted=5), 10.0)
        self.assertEqual(grant.tokens, 3)

    def test_keeps_tokens_for_the_holder_that_waits_longer(self):
        bucket = self.make()
        bucket.ask("a", 1, TokenAsk("c", 1, wanted=5), 10.0)
        self.assertEqual(bucket.ask("b", 1, TokenAsk("c", 1, wanted=1), 10.0).tokens, 0)
        used = [GrantSettlement(1, used=5, closed=True)]
        late = TokenAsk("c", 2, wanted=1, settlements=used)
        self.assertEqual(bucket.ask("a", 1, late, 10.0).tokens, 0)
        self.assertEqual(bucket.ask("a", 1, TokenAsk("c", 3, wanted=1), 10.1).tokens, 0)
        self.assertEqual(bucket.ask("b", 1, TokenAsk("c", 2, wanted=1), 10.1).tokens, 1)


class HolderTest(unittest.TestCase):
    RULE = Rule(10, 5)

    def test_admits_in_order(self):
        holder = TokenHolder()
        waiters = [holder.acquire("c", self.RULE, 0.0, deadline=3.0) for _ in range(3)]
        (ask,) = holder.poll(lambda _: self.RULE, 0.0)
        self.assertEqual(ask.wanted, 3)
        grant = TokenGrant(ask.number, tokens=2, lease=LEASE, retry_after=0.1)
        holder.answer("c", grant, self.RULE, 0.01)
        self.assertEqual(holder.take_decided(), waiters[:2])
        self.assertFalse(waiters[2].decided)

    def test_refuses_at_once_what_cannot_be_served_in_time(self):
        cases = [(0.15, 3.0, True), (0.35, 3.0, False), (0.35, 0.2, True)]
        for seconds, max_queue_seconds, refused in cases:
            with self.subTest(deadline=seconds, max_queue_seconds=max_queue_seconds):
                holder = TokenHolder(max_queue_seconds=max_queue_seconds)
                holder.acquire("c", self.RULE, 0.0, deadline=9.0)
                (ask,) = holder.poll(lambda _: self.RULE, 0.0)
                grant = TokenGrant(ask.number, retry_after=0.1, queued=1, queues=1)
                holder.answer("c", grant, self.RULE, 0.0)
                waiter = holder.acquire("c", self.RULE, 0.0, deadline=seconds)
                self.assertEqual(waiter.retry_after is not None, refused)
                if refused:
                    self.assertAlmostEqual(waiter.retry_after, 0.3)

    def test_refunded_token_serves_the_next_call(self):
        holder = TokenHolder()
        holder.acquire("c", self.RULE, 0.0, deadline=9.0)
        (ask,) = holder.poll(lambda _: self.RULE, 0.0)
        holder.answer("c", TokenGrant(ask.number, 1, LEASE), self.RULE, 0.0)
        holder.refund("c", 0.0)
        self.assertTrue(holder.acquire("c", self.RULE, 0.0, deadline=1.0).admitted)
        self.assertFalse(holder.acquire("c", self.RULE, 0.0, deadline=1.0).admitted)

    def test_idle_state_is_dropped(self):
        fleet = Fleet(3, Rule(40, 10), loss=0)
        drive(fleet, [("burst", 5), ("run", 30.0)])
        for host in HOSTS:
            self.assertEqual(fleet.holders[host].customers, [])
            self.assertEqual(fleet.homes[host].customers, [])


class HomeTest(unittest.TestCase):
    def test_a_leaving_host_moves_only_its_own_keys(self):
        keys = [f"customer-{number}" for number in range(200)]
        hosts = [f"host-{number}" for number in range(8)]
        for leaving in hosts:
            with self.subTest(leaving=leaving):
                rest = [host for host in hosts if host != leaving]
                moved = [k for k in keys if choose_home(k, hosts) == leaving]
                for key in set(keys) - set(moved):
                    self.assertEqual(choose_home(key, hosts), choose_home(key, rest))
                self.assertLess(len(moved), 60)


if __name__ == "__main__":
    unittest.main()
