"""Tests of leases, engine orders and the release of memory."""

import unittest
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from sapphireyard.clocks import Clock
from sapphireyard.configuration.tables import Configuration, Model, Pool, Upstream
from sapphireyard.control import PoolControl
from sapphireyard.exceptions import PeerUnavailable, StoreUnavailable
from sapphireyard.ownership.assignment import Assignment, Member, PartitionEntry
from sapphireyard.storage.generated_control import LiveAnswer
from sapphireyard.storage.leases import LeaseManager
from sapphireyard.upstreams.engines import EngineClient, StaleFencing
from sapphireyard.upstreams.orders import EngineState, plan_orders
from sapphireyard.upstreams.sweeps import MemorySweep, merge_answers
from standins._serving import serving
from standins.engine import EngineOptions, EngineServer
from standins.memory import LOSE, MemoryStore

LEASE = 10.0
ORDER = 30.0
PROCESSES = 3

SETTINGS = settings(max_examples=200, derandomize=True, deadline=None, database=None)


class HastyManager(LeaseManager):
    """A broken variant: measures the lease from the answer to its write."""

    def record_write(self, record, version, started_at, now):
        super().record_write(record, version, now, now)


class BlindManager(LeaseManager):
    """A broken variant: takes over without waiting for the lease to expire."""

    def observe(self, record, version, now):
        super().observe(record, version, now)
        self._seen_at = float("-inf")


class LeaseWorld:
    """Processes that may pause anywhere, and a store that may lose answers."""

    def __init__(self, manager_class):
        self.now = 0.0
        self.stored = (None, 0)
        self.fencings = {}
        self.leases = [
            manager_class(f"c{n}", lease_seconds=LEASE, order_seconds=ORDER)
            for n in range(PROCESSES)
        ]
        self.writes = [None] * PROCESSES
        self.answers = [None] * PROCESSES
        self.tokens = 0

    def step(self, kind, index, seconds):
        """Carry out one step of a process, let time pass and check."""
        getattr(self, f"_{kind}")(index, self.leases[index])
        self.now += seconds
        held = [lease for lease in self.leases if lease.is_held(self.now)]
        assert len(held) <= 1, "two processes hold the lease"

    def _read(self, index, lease):
        if self.writes[index] is None and self.answers[index] is None:
            lease.observe(*self.stored, self.now)
            self.tokens += 1
            write = lease.next_write(self.now, str(self.tokens))
            self.writes[index] = write and (write, self.now)

    def _apply(self, index, lease):
        if self.writes[index] is None:
            return
        write, started_at = self.writes[index]
        self.writes[index] = None
        if write.expected_version != self.stored[1]:
            self.answers[index] = (None, 0, 0.0)
            return
        self.stored = (write.record, self.stored[1] + 1)
        holder = self.fencings.setdefault(write.record.fencing, write.record.holder)
        assert holder == write.record.holder, "two holders have one fencing number"
        assert write.record.fencing == max(self.fencings), "fencing went back"
        self.answers[index] = (*self.stored, started_at)

    def _answer(self, index, lease):
        if self.answers[index] is None:
            return
        record, version, started_at = self.answers[index]
        self.answers[index] = None
        if record is None:
            lease.record_conflict()
        else:
            lease.record_write(record, version, started_at, self.now)

    def _lose(self, index, lease):
        self.answers[index] = None


KINDS = st.sampled_from(["read", "apply", "answer", "lose"])
STEPS = st.lists(
    st.tuples(KINDS, st.integers(0, PROCESSES - 1), st.sampled_from([0.0, 1.0, 8.0])),
    max_size=60,
)


class LeaseTest(unittest.TestCase):
    @SETTINGS
    @given(STEPS)
    def test_one_holder_at_a_time(self, steps):
        world = LeaseWorld(LeaseManager)
        for step in steps:
            world.step(*step)

    def test_broken_variants_are_found(self):
        take = [("read", 0, 0.0), ("apply", 0, 0.0), ("answer", 0, 0.0)]
        rival = [("read", 1, 0.0), ("apply", 1, 0.0), ("answer", 1, 0.0)]
        late = [("read", 0, 0.0), ("apply", 0, 0.0), ("read", 1, 8.0)]
        late += [("read", 1, 8.0), ("answer", 0, 0.0), *rival]
        for variant, steps in ((BlindManager, take + rival), (HastyManager, late)):
            with self.subTest(variant.__name__):
                with self.assertRaises(AssertionError):
                    self.run_steps(variant, steps)
                self.run_steps(LeaseManager, steps)

    def run_steps(self, manager_class, steps):
        world = LeaseWorld(manager_class)
        for step in steps:
            world.step(*step)

    def test_upstreams_that_ignore_fencing_wait_for_the_earlier_holder(self):
        world = LeaseWorld(LeaseManager)
        for step in [("read", 0, 0.0), ("apply", 0, 0.0), ("answer", 0, 0.0)]:
            world.step(*step)
        first, second = world.leases[:2]
        self.assertTrue(first.may_send_order(0.0, checks_fencing=False))
        for step in [("read", 1, 8.0), ("read", 1, 8.0)]:
            world.step(*step)
        for step in [("read", 1, 0.0), ("apply", 1, 0.0), ("answer", 1, 0.0)]:
            world.step(*step)
        self.assertEqual(second.fencing, 2)
        self.assertTrue(second.may_send_order(world.now, checks_fencing=True))
        self.assertFalse(second.may_send_order(world.now, checks_fencing=False))
        world.now += 9.0
        self.assertFalse(second.may_send_order(world.now + ORDER, checks_fencing=True))


class OrderTest(unittest.TestCase):
    CASES = [
        ({}, {}, "", []),
        ({"a": "1"}, {"a": "1"}, "", []),
        ({"a": "1"}, {}, "", ["load_model a 1"]),
        ({"a": "2"}, {"a": "1"}, "", ["load_model a 2"]),
        ({"a": ""}, {"a": "1", "b": ""}, "", ["unload_model b "]),
        ({}, {"b": ""}, "", []),
        ({"a": ""}, {"b": ""}, "prefill", ["role prefill ", "unload_model b "]),
    ]

    def test_orders(self):
        for wanted, present, role, expected in self.CASES:
            with self.subTest(wanted=wanted, present=present):
                models = tuple(Model(*pair) for pair in wanted.items())
                upstream = Upstream("e", "127.0.0.1:1", role=role)
                pool = Pool("p", (upstream,), models=models)
                orders = plan_orders(pool, upstream, EngineState(models=present))
                texts = [f"{o.kind} {o.name} {o.version}" for o in orders]
                self.assertEqual(texts[: len(expected)], expected)
                leaving = Upstream("e", "127.0.0.1:1", state="leaving")
                self.assertEqual(plan_orders(pool, leaving, EngineState(present)), [])


class SweepTest(unittest.TestCase):
    def test_release_after_two_complete_checks(self):
        checks = [
            (0.0, set(), True, []),
            (3.0, set(), True, []),
            (5.0, set(), False, []),
            (6.0, set(), True, [("e", "d")]),
            (7.0, {"d"}, True, []),
            (9.0, set(), True, []),
            (14.0, set(), True, [("e", "d")]),
        ]
        sweep = MemorySweep(grace_seconds=5.0)
        for now, live, is_complete, expected in checks:
            with self.subTest(now=now):
                due = sweep.find_releasable(
                    {"e": {"d"}}, live, is_complete=is_complete, now=now
                )
                self.assertEqual(due, expected)
        sweep.find_releasable({}, set(), is_complete=True, now=15.0)
        self.assertEqual(sweep.pending_count, 0)

    def test_every_owner_has_to_answer_for_the_same_assignment(self):
        assignment = build_assignment()
        complete = LiveAnswer(live=["d"], complete=True, assignment=4)
        cases = [
            ({"h1": complete, "h2": complete}, True),
            ({"h1": complete}, False),
            ({"h1": complete, "h2": None}, False),
            ({"h1": complete, "h2": LiveAnswer([], False, 4)}, False),
            ({"h1": complete, "h2": LiveAnswer([], True, 3)}, False),
            ({"h1": complete, "h2": complete, "h3": None}, True),
        ]
        for answers, expected in cases:
            with self.subTest(answers=answers):
                live, is_complete = merge_answers(answers, assignment)
                self.assertEqual((live, is_complete), ({"d"}, expected))


def build_assignment():
    """Return an assignment of two hosts with one partition each and one without."""
    members = {
        name: Member(name, 1, "127.0.0.1:1", "127.0.0.1:2", "a")
        for name in ("h1", "h2", "h3")
    }
    entries = (PartitionEntry("h1", 1, 1), PartitionEntry("h2", 1, 1))
    return Assignment(4, members, entries)


class VirtualClock(Clock):
    now = 100.0

    def monotonic(self):
        return self.now


class PoolControlTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engines, upstreams = {}, []
        for fencing in ("check", "ignore"):
            options = EngineOptions(fencing=fencing, models="old", scale=0.01)
            self.engines[fencing] = EngineServer(options)
            context = serving(self.engines[fencing].app)
            address = await context.__aenter__()
            self.addAsyncCleanup(context.__aexit__, None, None, None)
            upstreams.append(Upstream(fencing, address, fencing=fencing))
        self.pool = Pool("p", tuple(upstreams), models=(Model("new", "2"),))
        self.store = MemoryStore()
        self.clock = VirtualClock()
        self.client = EngineClient()
        await self.client.open()
        self.addAsyncCleanup(self.client.close)
        self.live = {"h1": ["living"], "h2": []}

    def build(self, host):
        async def ask(owner, query, *, timeout):
            if self.live[owner] is None:
                raise PeerUnavailable("silent")
            live = [d for d in query.digests if d in self.live[owner]]
            return LiveAnswer(live=live, complete=True, assignment=4)

        runtime = SimpleNamespace(
            store=self.store,
            clock=self.clock,
            peers=SimpleNamespace(ask=ask),
            settings=SimpleNamespace(
                host=host, lease_seconds=LEASE, order_seconds=ORDER, sweep_seconds=5.0
            ),
            configuration=SimpleNamespace(
                current=Configuration(1, pools={"p": self.pool}),
                check_fresh=lambda: None,
            ),
        )
        return PoolControl(runtime, self.client, "p")

    def models(self, fencing):
        return self.engines[fencing].orders.to_json()["models"]

    async def take_over(self, control):
        await control.keep_lease()
        self.clock.now += LEASE * 2
        await control.keep_lease()

    async def test_one_process_orders_and_the_next_waits(self):
        first, second = self.build("c1"), self.build("c2")
        self.live["h3"] = []
        await first.keep_lease()
        await second.keep_lease()
        with self.assertLogs("sapphireyard.control", "INFO") as logs:
            for control in (second, first):
                await control.reconcile(build_assignment())
        self.assertEqual(len([r for r in logs.records if r.decision == "order"]), 4)
        for fencing in ("check", "ignore"):
            self.assertEqual(self.models(fencing), {"new": "2"})
        await self.take_over(second)
        self.pool = Pool("p", self.pool.upstreams, models=(Model("new", "3"),))
        second = self.replace_configuration(second)
        await second.reconcile(build_assignment())
        self.assertEqual(self.models("check"), {"new": "3"})
        self.assertEqual(self.models("ignore"), {"new": "2"})
        while self.clock.now < 100 + LEASE * 2 + ORDER:
            self.clock.now += 5
            await second.keep_lease()
        await second.reconcile(build_assignment())
        self.assertEqual(self.models("ignore"), {"new": "3"})
        with self.assertRaises(StaleFencing):
            await self.client.send_order(
                self.pool.upstreams[0].address,
                {"kind": "load_model", "name": "x", "fencing": 1},
                seconds=1,
            )

    def replace_configuration(self, control):
        current = Configuration(2, pools={"p": self.pool})
        control._runtime.configuration.current = current
        return control

    async def test_lost_answer_keeps_the_lease(self):
        control = self.build("c1")
        self.store.add_fault(LOSE, operation="create")
        with self.assertRaises(StoreUnavailable):
            await control.keep_lease()
        await control.keep_lease()
        self.assertTrue(control.lease.is_held(self.clock.now))
        self.assertEqual(control.lease.fencing, 1)

    async def test_memory_of_ended_programs_is_released(self):
        self.live["h3"] = []
        engine = self.engines["check"]
        for digest in ("living", "ended"):
            engine._known_prefixes[digest] = {"x"}
            engine.timing.import_prefix(digest, 160, 0.0)
        control = self.build("c1")
        for silent, expected in ((True, 2), (False, 1)):
            self.live["h2"] = None if silent else []
            for _ in range(3):
                await control.keep_lease()
                await control.reconcile(build_assignment())
                self.clock.now += 5
            held = await self.client.read_cached_tokens(self.pool.upstreams[0].address)
            self.assertEqual(len(held), expected)
        self.assertEqual(list(held), ["living"])
