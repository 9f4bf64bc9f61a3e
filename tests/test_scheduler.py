"""Tests of the scheduler: comparison with a naive one, and invariants."""

import unittest
from collections import Counter

from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from sapphireyard.scheduling.capacity import (
    UpstreamLimits,
    UpstreamSlots,
    UpstreamState,
)
from sapphireyard.scheduling.fairness import FairShares
from sapphireyard.scheduling.queues import RequestQueues
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import (
    Grant,
    Refuse,
    SchedulerOptions,
    SlotRequest,
)
from tests.naive_scheduler import NaiveScheduler

DETERMINISTIC = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=50,
    suppress_health_check=list(HealthCheck),
)
GENERATE_ONLY = settings(
    DETERMINISTIC, phases=[Phase.generate], max_examples=1000
)  # ends at the first failure
NAMES = ("u1", "u2", "u3")
CUSTOMERS = ("a", "b", "c")

EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("submit"),
            st.integers(0, 2),
            st.integers(0, 7),
            st.integers(1, 900),
            st.integers(1, 60),
        ),
        st.tuples(st.just("finish"), st.integers(0, 50), st.integers(0, 60)),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(
            st.just("state"), st.integers(0, 2), st.sampled_from(list(UpstreamState))
        ),
        st.tuples(st.just("wait"), st.floats(0.125, 40.0)),
    ),
    min_size=20,
    max_size=120,
)


def make_upstreams(*, batch_size=2, kv_tokens=4_000):
    """Return the limits of three small upstreams."""
    return [UpstreamLimits(name, batch_size, kv_tokens) for name in NAMES]


class Run:
    """Drives a scheduler with generated events and checks its invariants."""

    def __init__(self, scheduler, *, naive=None, batch_size=2):
        self.scheduler = scheduler
        self.naive = naive
        self.batch_size = batch_size
        self.now = 0.0
        self.grants = []
        self.naive_grants = []
        self.active = {}
        self.submitted = {}
        self.ends = Counter()
        self.history = {}
        self.state = dict.fromkeys(NAMES, UpstreamState.UP)

    def play(self, events):
        """Apply the events, then finish all running and waiting requests."""
        for event in events:
            getattr(self, "_" + event[0])(*event[1:])
        for name in NAMES:
            self._state(NAMES.index(name), UpstreamState.UP)
        while self.active:
            self._finish(0, 5)

    def _apply(self, method, *arguments, naive_arguments=None):
        self._record(getattr(self.scheduler, method)(*arguments, self.now))
        if self.naive:
            arguments = naive_arguments or arguments
            self.naive_grants += getattr(self.naive, method)(*arguments, self.now)

    def _record(self, actions):
        for action in actions:
            if isinstance(action, Refuse):
                self.ends[action.request.request_id] += 1
            if not isinstance(action, Grant):
                continue
            request = action.request
            self.ends[request.request_id] += 1
            self.grants.append((request.request_id, action.upstream))
            self.active[request.request_id] = (request, action.upstream)
            assert self.state[action.upstream] is UpstreamState.UP, "upstream not up"
            count = sum(at == action.upstream for _, at in self.active.values())
            assert count <= self.batch_size, "more slots than the batch size"

    def _submit(self, customer, program, new_tokens, output):
        name = f"{CUSTOMERS[customer]}-{program}"
        request = SlotRequest(
            request_id=f"r{len(self.submitted)}",
            program=name,
            root=f"{CUSTOMERS[customer]}-{program % 3}",
            customer=CUSTOMERS[customer],
            pool="p",
            prefix_tokens=self.history.get(name, 0),
            new_tokens=new_tokens,
            output_tokens=output,
        )
        self.history[name] = self.history.get(name, 0) % 2_000 + new_tokens
        self.submitted[request.request_id] = request
        self._apply("submit", request)

    def _finish(self, index, output):
        if not self.active:
            return
        request_id = list(self.active)[index % len(self.active)]
        del self.active[request_id]
        self._apply(
            "finish", request_id, output, None, naive_arguments=(request_id, output)
        )

    def _cancel(self, index):
        if not self.submitted:
            return
        request_id = list(self.submitted)[index % len(self.submitted)]
        if not self.ends[request_id]:
            self.ends[request_id] += 1
        self.active.pop(request_id, None)
        self._apply("cancel", request_id)

    def _state(self, index, state):
        self.state[NAMES[index]] = state
        self._apply(
            "set_state",
            NAMES[index],
            state,
            naive_arguments=(NAMES[index], state.value),
        )

    def _wait(self, seconds):
        self.now += seconds


class SchedulerTest(unittest.TestCase):
    OPTIONS = [
        SchedulerOptions(refuse=False),
        SchedulerOptions(refuse=False, hold_fill=0.0, keep_seconds=20.0),
        SchedulerOptions(refuse=False, first_level=0.0, aging_seconds=5.0),
        SchedulerOptions(refuse=False, cache_affinity=False),
        SchedulerOptions(refuse=False, aging_seconds=5.0, aging_backlog=3.0),
    ]

    def test_grants_as_the_naive_scheduler(self):
        for options in self.OPTIONS:
            with self.subTest(options=options):
                self.compare(options)

    def compare(self, options, *, queues=None, profile=DETERMINISTIC):
        @profile
        @given(EVENTS)
        def check(events):
            scheduler = Scheduler(make_upstreams(), options=options)
            if queues:
                scheduler._queues = scheduler._selection._queues = queues()
            run = Run(scheduler, naive=NaiveScheduler(make_upstreams(), options))
            run.play(events)
            self.assertEqual(run.grants, run.naive_grants)

        check()

    def test_wrong_order_is_detected(self):
        class Reversed(RequestQueues):
            def heads(self, affinity, is_aged):
                return reversed(list(super().heads(affinity, is_aged)))

        with self.assertRaises(AssertionError):
            self.compare(self.OPTIONS[0], queues=Reversed, profile=GENERATE_ONLY)

    def check_invariants(
        self, options, scheduler_class=Scheduler, profile=DETERMINISTIC
    ):
        @profile
        @given(EVENTS)
        def check(events):
            run = Run(scheduler_class(make_upstreams(), options=options))
            run.play(events)
            counts = {request_id: run.ends[request_id] for request_id in run.submitted}
            self.assertEqual(counts, dict.fromkeys(run.submitted, 1))
            self.assertEqual((run.scheduler.waiting, run.scheduler.running), (0, 0))

        check()

    def test_each_request_ends_once_within_the_bounds(self):
        for options in self.OPTIONS:
            with self.subTest(options=options):
                self.check_invariants(options)

    def test_broken_schedulers_are_detected(self):
        class LosingCancelled(Scheduler):
            def cancel(self, request_id, now):
                self._waiting.pop(request_id, None)
                return super().cancel(request_id, now)

        class ExceedingBatch(Scheduler):
            def add_upstream(self, limits):
                super().add_upstream(UpstreamLimits(limits.name, 3, limits.kv_tokens))

        class IgnoringStates(Scheduler):
            def set_state(self, name, state, now):
                return self._decide(now)

        for broken in (LosingCancelled, ExceedingBatch, IgnoringStates):
            with self.subTest(broken=broken.__name__):
                with self.assertRaises(Exception):
                    self.check_invariants(self.OPTIONS[0], broken, GENERATE_ONLY)


def make_request(number, customer="a", **fields):
    """Return a request of its own program."""
    fields = {"new_tokens": 100, "output_tokens": 10, **fields}
    program = fields.pop("program", f"{customer}{number}")
    fields["request_id"] = f"{customer}{number}"
    return SlotRequest(program, program, customer, "p", **fields)


class ShareTest(unittest.TestCase):
    def serve(self, weights, *, shares=None, rounds=300):
        """Return the service of each customer while all have a backlog."""
        options = SchedulerOptions(refuse=False, aging_seconds=1e9)
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1], options=options)
        if shares:
            scheduler._shares = shares
        for customer, weight in weights.items():
            scheduler.set_weight(customer, weight)
        service = Counter()
        actions = []
        for number in range(rounds):
            for index, customer in enumerate(weights):
                request = make_request(number, customer, new_tokens=100 * (index + 1))
                actions += scheduler.submit(request, 0.0)
        for _ in range(rounds):
            (grant,) = [a for a in actions if isinstance(a, Grant)]
            request = grant.request
            cost = request.new_tokens + 10 * scheduler._output_cost
            service[request.customer] += cost
            actions = scheduler.finish(request.request_id, 10, 0, 1.0)
        return service

    def check_shares(self, weights, **options):
        service = self.serve(weights, **options)
        # 160 is the output cost of a batch size of one: 8000 tokens/s * 0.02 s.
        largest = 100 * len(weights) + 10 * 160.0
        shares = [service[name] / weight for name, weight in weights.items()]
        slack = 2 * largest / min(weights.values())
        self.assertLessEqual(max(shares) - min(shares), slack)

    def test_service_is_within_one_request_of_the_weights(self):
        for weights in ({"a": 1, "b": 1}, {"a": 1, "b": 3}, {"a": 2, "b": 1, "c": 5}):
            with self.subTest(weights=weights):
                self.check_shares(weights)

    def test_unfair_shares_are_detected(self):
        class Unweighted(FairShares):
            def weight(self, customer):
                return 1.0

        with self.assertRaises(AssertionError):
            self.check_shares({"a": 1, "b": 3}, shares=Unweighted())

    def test_a_quiet_customer_is_not_behind_a_loud_one(self):
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1])
        for number in range(50):
            scheduler.submit(make_request(number, "loud"), 0.0)
        scheduler.submit(make_request(0, "quiet"), 1.0)
        grants = scheduler.finish("loud0", 10, 0, 2.0)
        self.assertEqual(grants[0].request.customer, "quiet")


class AgingTest(unittest.TestCase):
    def count_overtakes(self, aging_seconds):
        """Return how many requests of new programs overtake an old, long one."""
        options = SchedulerOptions(refuse=False, aging_seconds=aging_seconds)
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1], options=options)
        scheduler.submit(make_request(0, "x", program="long", new_tokens=3_000), 0.0)
        scheduler.finish("x0", 100, 0, 1.0)
        scheduler.submit(make_request(1, "x"), 1.0)
        old = make_request(2, "x", program="long", prefix_tokens=3_100)
        scheduler.submit(old, 1.0)
        now, running, count = 1.0, "x1", 0
        for number in range(3, 100):
            scheduler.submit(make_request(number, "x"), now)
            now += 1.0
            (grant,) = scheduler.finish(running, 10, 0, now)
            running = grant.request.request_id
            if running == "x2":
                return count
            count += 1
        return count

    def test_aging_bounds_the_wait(self):
        self.assertLessEqual(self.count_overtakes(10.0), 11)

    def test_requests_do_not_age_when_not_all_can_be_served(self):
        options = SchedulerOptions(first_level=0.0, aging_backlog=3.0)
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1], options=options)
        scheduler.submit(make_request(0, program="begun"), 0.0)
        for number in range(1, 9):
            scheduler.submit(make_request(number), 0.5)
        scheduler.submit(make_request(9, program="begun", prefix_tokens=110), 1.0)
        (grant,) = scheduler.finish("a0", 10, 0, 100.0)
        self.assertEqual(grant.request.program, "begun")

    def test_request_starves_without_aging(self):
        self.assertEqual(self.count_overtakes(1e9), 97)


class RefusalTest(unittest.TestCase):
    def test_refuses_what_cannot_meet_its_deadline(self):
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1])
        for number in range(20):
            scheduler.submit(make_request(number), 0.0)
        (refuse,) = scheduler.submit(make_request(20, deadline=5.0), 0.0)
        self.assertGreater(refuse.retry_after, 0)
        self.assertEqual(scheduler.submit(make_request(0, "b", deadline=5.0), 0.0), [])

    def test_refuses_when_the_deadline_passes(self):
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1])
        scheduler.submit(make_request(0), 0.0)
        scheduler.submit(make_request(1, deadline=5.0), 0.0)
        self.assertEqual(scheduler.next_tick(), 5.0)
        self.assertEqual(scheduler.tick(4.9), [])
        (refuse,) = scheduler.tick(5.0)
        self.assertEqual(refuse.request.request_id, "a1")
        self.assertIsNone(scheduler.next_tick())


class PlacementTest(unittest.TestCase):
    def start(self, *, prefix=3_000):
        """Return a scheduler with a prefix on u1 and without a free slot."""
        upstreams = [UpstreamLimits(name, 1, 10_000) for name in ("u1", "u2")]
        scheduler = Scheduler(upstreams)
        scheduler.submit(make_request(0, program="p", new_tokens=prefix), 0.0)
        scheduler.finish("a0", 10, 0, 1.0)
        scheduler.submit(make_request(1), 1.0)
        scheduler.submit(make_request(2), 1.0)
        return scheduler

    def test_stays_with_the_prefix(self):
        scheduler = self.start()
        request = make_request(3, program="p", prefix_tokens=3_010)
        scheduler.finish("a1", 10, 0, 2.0)
        (grant,) = scheduler.submit(request, 2.0)
        self.assertEqual((grant.upstream, grant.reason), ("u1", "cached"))
        self.assertEqual(grant.cached_tokens, 3_010)

    def test_leaves_when_waiting_costs_more(self):
        scheduler = self.start()
        request = make_request(3, program="p", prefix_tokens=3_010)
        scheduler.submit(request, 2.0)
        grant = scheduler.finish("a2", 10, 0, 2.0)[0]
        self.assertEqual((grant.upstream, grant.reason), ("u2", "moved"))

    def test_waits_when_moving_costs_more(self):
        scheduler = self.start(prefix=9_900)
        request = make_request(3, program="p", prefix_tokens=9_900, output_tokens=1)
        scheduler.submit(request, 2.0)
        self.assertEqual(scheduler.finish("a2", 10, 0, 2.0), [])
        (grant,) = scheduler.finish("a1", 10, 0, 3.0)
        self.assertEqual((grant.upstream, grant.reason), ("u1", "cached"))

    def test_ended_programs_are_released(self):
        scheduler = self.start()
        self.assertEqual(
            [(r.upstream, r.program) for r in scheduler.end_program("p", 3.0)],
            [("u1", "p")],
        )

    def test_slots_of_a_dead_holder_are_released(self):
        scheduler = Scheduler(make_upstreams(batch_size=1)[:1])
        scheduler.submit(make_request(0, holder="h1"), 0.0)
        scheduler.submit(make_request(1, holder="h1"), 0.0)
        scheduler.submit(make_request(2, holder="h2"), 0.0)
        refuse, grant = scheduler.release_holder("h1", 1.0)
        self.assertEqual(refuse.request.request_id, "a1")
        self.assertEqual(grant.request.request_id, "a2")

    def test_load_of_others_takes_slots(self):
        slots = UpstreamSlots(UpstreamLimits("u", 4, 1_000))
        slots.acquire("a", 100)
        slots.report(4, 500, own_running=1, own_reserved=100)
        self.assertFalse(slots.has_slot())
        slots.report(1, 100, own_running=3, own_reserved=300)
        self.assertTrue(slots.fits(900))
