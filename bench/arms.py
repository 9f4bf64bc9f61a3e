"""The policies compared: the scheduler, and a naive baseline."""

from dataclasses import dataclass

from bench.simulation import CALL_SECONDS, Bucket
from sapphireyard.scheduling.capacity import UpstreamLimits, UpstreamState
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import Grant, Refuse, Release, SlotRequest
from sapphireyard.scheduling.weighting import choose_options


class NaiveArm:
    """Round robin over the engines, first come first served, rates split.

    With ``split=False`` rates are counted exactly over the fleet, which shows
    how much of the baseline's loss the split alone makes.
    """

    def __init__(self, simulation, *, split=True):
        self._split = split
        self._simulation = simulation
        workload, hosts = simulation.workload, simulation.deployment.hosts
        self._next = list(range(hosts))
        self._shares = {
            (customer, host): Bucket(rate / hosts, workload.bursts[customer] / hosts)
            for customer, rate in workload.rates.items()
            for host in range(hosts)
        }
        self._fleet = {
            customer: Bucket(rate, workload.bursts[customer])
            for customer, rate in workload.rates.items()
        }

    def issue(self, call):
        """Send a call to the next engine, if the host's share allows."""
        simulation, plan = self._simulation, call.program.plan
        now = simulation.now
        fleet = self._fleet[plan.customer]
        bucket = self._shares[(plan.customer, plan.host)] if self._split else fleet
        if not bucket.take(now):
            simulation.measures.refused[plan.customer] += 1
            simulation.measures.wrongful[plan.customer] += fleet.has_token(now)
            simulation.retry(call, 0.0)
            return
        if self._split:
            fleet.take(now)
        self._next[plan.host] += 1
        simulation.send(call, self._next[plan.host] % len(simulation.engines))

    def finish(self, call, event):
        """Nothing is remembered."""

    def end(self, program):
        """Nothing is released."""

    def fail(self, call):
        """The caller tries again."""

    def lose(self, engine):
        """Nothing is known of engines."""

    def regain(self, engine):
        """Nothing is known of engines."""


@dataclass(frozen=True)
class PolicyChange:
    """How an arm differs from the policy in force.

    Parameters
    ----------
    options : dict, optional
        Scheduler options that differ.
    release : bool, optional
        Whether ended programs are released.
    latency_weight : float, optional
        Weight other than the deployment's own.
    """

    options: dict | None = None
    release: bool = True
    latency_weight: float | None = None


class ScheduledArm:
    """One `Scheduler` at the home host; one bucket a customer for the fleet."""

    def __init__(self, simulation, change=PolicyChange()):
        self._simulation = simulation
        self._change = change
        deployment = simulation.deployment
        weight = change.latency_weight
        if weight is None:
            weight = deployment.latency_weight
        options = choose_options(weight, **(change.options or {}))
        engine = simulation.engines[0]
        self.scheduler = Scheduler(
            [
                UpstreamLimits(
                    f"e{number}",
                    engine.batch_size,
                    engine.kv_tokens,
                    engine.prefill_rate,
                    engine.decode_seconds,
                )
                for number in range(deployment.engines)
            ],
            options=options,
        )
        self._calls = {}
        self._due = None
        workload = simulation.workload
        self._fleet = {
            customer: Bucket(rate, workload.bursts[customer])
            for customer, rate in workload.rates.items()
        }

    def issue(self, call):
        """Ask the home for a slot."""
        simulation, plan = self._simulation, call.program.plan
        if not self._fleet[plan.customer].take(simulation.now):
            simulation.measures.refused[plan.customer] += 1
            simulation.retry(call, 0.0)
            return
        simulation.after(simulation.deployment.latency, self._submit, call)

    def finish(self, call, event):
        """Give the slot back."""
        self._later(
            lambda now: self.scheduler.finish(
                call.request_id, event.output_tokens, event.cached_tokens, now
            )
        )

    def end(self, program):
        """Release the memory of an ended program."""
        if self._change.release:
            self._later(lambda now: self.scheduler.end_program(program.plan.name, now))

    def fail(self, call):
        """Give the slot of a failed call back."""
        self._later(lambda now: self.scheduler.finish(call.request_id, 0, None, now))

    def lose(self, engine):
        """Take a dead engine out."""
        self._later(
            lambda now: self.scheduler.set_state(f"e{engine}", UpstreamState.DOWN, now)
        )

    def regain(self, engine):
        """Take an engine in again."""
        self._later(
            lambda now: self.scheduler.set_state(f"e{engine}", UpstreamState.UP, now)
        )

    def _later(self, decide):
        simulation = self._simulation
        latency = simulation.deployment.latency
        simulation.after(latency, lambda: self._apply(decide(simulation.now)))

    def _submit(self, call):
        plan, now = call.program.plan, self._simulation.now
        self._calls[call.request_id] = call
        request = SlotRequest(
            program=plan.name,
            root=plan.root,
            customer=plan.customer,
            pool="models",
            prefix_tokens=call.program.history,
            new_tokens=call.new_tokens,
            output_tokens=call.output_tokens,
            deadline=now + CALL_SECONDS,
            request_id=call.request_id,
        )
        self._apply(self.scheduler.submit(request, now))

    def _apply(self, actions):
        for action in actions:
            if isinstance(action, Grant):
                self._grant(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Release):
                self._simulation.release(int(action.upstream[1:]), action.program)
        self._watch_deadlines()

    def _grant(self, grant):
        simulation = self._simulation
        call = self._calls.pop(grant.request.request_id)
        engine = int(grant.upstream[1:])
        simulation.after(simulation.deployment.latency, simulation.send, call, engine)

    def _refuse(self, refuse):
        simulation = self._simulation
        call = self._calls.pop(refuse.request.request_id)
        customer = refuse.request.customer
        simulation.measures.refused[customer] += 1
        simulation.measures.wrongful[customer] += (
            customer != simulation.workload.flooding
        )
        simulation.retry(call, refuse.retry_after)

    def _watch_deadlines(self):
        due = self.scheduler.next_tick()
        if due is None or due == self._due:
            return
        self._due = due
        self._simulation.at(max(due, self._simulation.now), self._tick, due)

    def _tick(self, due):
        if self._due == due:
            self._due = None
            self._apply(self.scheduler.tick(self._simulation.now))
