"""Random interleavings of commits, faults, moves, takeovers and restarts."""

import asyncio
import logging
import unittest

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from sapphireyard.exceptions import SapphireyardError
from standins.memory import CONFLICT, DROP, LOSE, MemoryStore
from tests.fleet import PARTITIONS
from tests.test_takeover import (
    RecordedFleet,
    SingleEpochOwnership,
    TaillessRecovery,
    UnsealedRecovery,
    make_broken,
)
from tests.virtual_loop import VirtualLoop

HOSTS = "abcd"
SETTLE_STEPS = 40
"""Iterations of the event loop for which a rule waits for its task."""

HEAL_SECONDS = 10
"""Timeout of all pending tasks once the faults are removed."""

hosts = st.sampled_from(HOSTS)
indexes = st.integers(0, PARTITIONS - 1)


class FleetMachine(RuleBasedStateMachine):
    """Hosts that share one store, each with its own faults, driven at random.

    A replaced process keeps running in `Fleet.replaced`, like a paused process
    that resumes. Pending commits are not waited for and end when they can.
    """

    fleet_class = RecordedFleet

    @initialize()
    def begin(self):
        logging.disable(logging.WARNING)
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.tasks = []
        self.run(self._begin())

    async def _begin(self):
        self.fleet = self.fleet_class(MemoryStore())
        for host in HOSTS:
            await self.fleet.add(host, store=self._view())
            await self.fleet.rebalance()

    def _view(self):
        return MemoryStore(shared=self.fleet.store)

    def run(self, coroutine):
        return self.runner.run(coroutine)

    async def _attempt(self, coroutine):
        """Run a task for some iterations; if not done, leave it pending."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        for _ in range(SETTLE_STEPS):
            if task.done():
                return
            await asyncio.sleep(0)

    @rule(host=hosts, index=indexes, count=st.integers(1, 3), needs_store=st.booleans())
    def commit(self, host, index, count, needs_store):
        runtime = self.fleet.runtimes[host]
        self.run(self._commit(runtime, index, count, needs_store))

    @precondition(lambda self: self.fleet.replaced)
    @rule(data=st.data(), index=indexes)
    def commit_on_replaced_process(self, data, index):
        runtime = data.draw(st.sampled_from(self.fleet.replaced), "process")
        self.run(self._commit(runtime, index, 1, False))

    async def _commit(self, runtime, index, count, needs_store):
        runtime.clock.now += 1
        ready = [p for p in runtime.ownership.owned if runtime.ownership.is_ready(p)]
        if not ready or runtime.journal.sealed:
            return
        partition = ready[index % len(ready)]
        for _ in range(count):
            await self._attempt(
                self.fleet.commit(runtime, partition, needs_store=needs_store)
            )

    @rule(
        host=hosts,
        kind=st.sampled_from([LOSE, DROP, CONFLICT]),
        operation=st.sampled_from(["get", "create", "update"]),
        prefix=st.sampled_from(["", "journal/", "assignment"]),
    )
    def break_call(self, host, kind, operation, prefix):
        if kind == CONFLICT and operation == "get":
            return
        self.fleet.runtimes[host].store.add_fault(
            kind, operation=operation, prefix=prefix
        )

    @rule(host=hosts)
    def cut_off_from_store(self, host):
        self.fleet.runtimes[host].store.unavailable = True

    @precondition(
        lambda self: any(
            runtime.store.unavailable for runtime in self.fleet.runtimes.values()
        )
    )
    @rule(host=hosts)
    def connect_to_store(self, host):
        self.fleet.runtimes[host].store.unavailable = False

    @rule(host=hosts, observers=st.sets(hosts, min_size=1, max_size=2))
    def take_over(self, host, observers):
        self.run(self._take_over(host, observers - {host}))

    async def _take_over(self, host, observers):
        incarnation = self.fleet.runtimes[host].incarnation
        for name in sorted(observers):
            runtime = self.fleet.runtimes[name]
            await self._attempt(
                self._ignore(self._take_over_by(runtime, host, incarnation))
            )

    async def _take_over_by(self, runtime, host, incarnation):
        runtime.ownership.adopt(
            await runtime.ownership.recovery.take_over(host, incarnation)
        )

    @rule(host=hosts)
    def refresh(self, host):
        self.run(self._attempt(self._ignore(self._refresh(self.fleet.runtimes[host]))))

    async def _refresh(self, runtime):
        runtime.ownership.adopt(await runtime.ownership.assignments.read())
        await runtime.ownership.recover()

    @rule(host=hosts)
    def balance(self, host):
        runtime = self.fleet.runtimes[host]
        if not runtime.journal.sealed:
            self.run(self._attempt(self._ignore(runtime.ownership.balance())))

    @rule(host=hosts)
    def join_again(self, host):
        runtime = self.fleet.runtimes[host]
        if runtime.journal.sealed and not runtime.store.unavailable:
            self.run(self._wait(self._ignore(runtime.ownership.join())))

    @rule(host=hosts)
    def replace_process(self, host):
        holder = self.fleet.runtimes[host].ownership.handlers
        if not holder.held_bytes:
            self.run(self._wait(self._replace(host)))

    async def _replace(self, host):
        store = self._view()
        await self._ignore(self.fleet.add(host, store=store))

    async def _wait(self, coroutine):
        async with asyncio.timeout(HEAL_SECONDS):
            await coroutine

    async def _ignore(self, coroutine):
        try:
            await coroutine
        except SapphireyardError:
            return

    async def _heal(self):
        """Remove all faults, let all tasks end, and let all hosts recover."""
        runtimes = [*self.fleet.runtimes.values(), *self.fleet.replaced]
        for runtime in runtimes:
            runtime.store.unavailable = False
            runtime.store.faults.clear()
        for task in self.tasks:
            while not task.done():
                for runtime in runtimes:
                    runtime.clock.now += 1
                await asyncio.sleep(0.001)
            await task
        for runtime in self.fleet.runtimes.values():
            await self._refresh(runtime)
            if runtime.journal.sealed:
                await runtime.ownership.join()
        await self.fleet.sync()
        for replaced in self.fleet.replaced:
            await replaced.journal.stop()

    def teardown(self):
        try:
            self.run(self._wait(self._heal()))
            self.fleet.check()
            self.run(self._replay_all())
            self.fleet.check()
        finally:
            self.run(self.fleet.stop())
            self.runner.close()
            logging.disable(logging.NOTSET)

    async def _replay_all(self):
        """Let a new host take over from all, so that every journal is replayed."""
        await self.fleet.add("z")
        for host in HOSTS:
            runtime = await self.fleet.kill(host)
            await self.fleet.runtimes["z"].ownership.recovery.take_over(
                host, runtime.incarnation
            )
        await self.fleet.sync()


def run_machine(fleet_class, *, phases=tuple(Phase)):
    """Run the state machine on a fleet class; return the failures' tracebacks."""

    class Machine(FleetMachine):
        pass

    Machine.fleet_class = fleet_class
    Machine.TestCase.settings = settings(
        max_examples=40,
        stateful_step_count=25,
        deadline=None,
        database=None,
        derandomize=True,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    result = unittest.TestResult()
    Machine.TestCase().run(result)
    return [trace for _, trace in result.failures + result.errors]


class OwnershipMachineTest(unittest.TestCase):
    def test_machine(self):
        self.assertEqual(run_machine(RecordedFleet), [])

    BROKEN = {
        "unsealed": make_broken(recovery_class=UnsealedRecovery),
        "tailless": make_broken(recovery_class=TaillessRecovery),
        "one epoch": make_broken(ownership=SingleEpochOwnership),
    }

    def test_broken_variants_fail(self):
        for name, fleet_class in self.BROKEN.items():
            with self.subTest(name):
                traces = run_machine(fleet_class, phases=[Phase.generate])
                self.assertIn("AssertionError", "".join(traces))
