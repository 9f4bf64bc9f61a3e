"""The policies under comparison: the scheduler and a naive baseline."""

from dataclasses import dataclass

from bench.simulation import CALL_TIMEOUT_SECONDS, Bucket
from sapphireyard.scheduling.capacity import UpstreamLimits, UpstreamState
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import Grant, Refuse, Release, SlotRequest
from sapphireyard.scheduling.weighting import choose_options


class NaiveArm:
    """Round robin over the engines, first come, first served, with split rates.

    Each host enforces an equal share of a customer's rate. With ``split=False``
    rates are enforced exactly over the fleet, which shows how much of the
    baseline's loss is due to the split alone.
    """

    def __init__(self, simulation, *, split=True):
        self._split = split
        self._simulation = simulation
        workload, hosts = simulation.workload, simulation.deployment.hosts
        self._next_engines = list(range(hosts))
        self._host_buckets = {
            (customer, host): Bucket(rate / hosts, workload.bursts[customer] / hosts)
            for customer, rate in workload.rates.items()
            for host in range(hosts)
        }
        self._fleet_buckets = {
            customer: Bucket(rate, workload.bursts[customer])
            for customer, rate in workload.rates.items()
        }

    def issue(self, call):
        """Send a call to the next engine if the rate limit admits it."""
        simulation, plan = self._simulation, call.program.plan
        now = simulation.now
        fleet_bucket = self._fleet_buckets[plan.customer]
        bucket = (
            self._host_buckets[(plan.customer, plan.host)]
            if self._split
            else fleet_bucket
        )
        if not bucket.take(now):
            simulation.measures.refused[plan.customer] += 1
            simulation.measures.wrongful[plan.customer] += fleet_bucket.has_token(now)
            simulation.retry(call, 0.0)
            return
        if self._split:
            fleet_bucket.take(now)
        self._next_engines[plan.host] += 1
        simulation.send(call, self._next_engines[plan.host] % len(simulation.engines))

    def finish(self, call, event):
        """Do nothing; the baseline keeps no state of calls."""

    def end_program(self, program):
        """Do nothing; the baseline releases no prefixes."""

    def fail(self, call):
        """Do nothing; the caller retries."""

    def remove_engine(self, engine):
        """Do nothing; the baseline does not track the state of engines."""

    def restore_engine(self, engine):
        """Do nothing; the baseline does not track the state of engines."""


@dataclass(frozen=True)
class PolicyChange:
    """Differences of an arm from the default policy.

    Parameters
    ----------
    options : dict, optional
        Scheduler options to override.
    release : bool, optional
        Whether the prefixes of ended programs are released.
    latency_weight : float, optional
        Latency weight to use instead of the deployment's.
    """

    options: dict | None = None
    release: bool = True
    latency_weight: float | None = None


class ScheduledArm:
    """One `Scheduler` at the home host, and one fleet-wide bucket per customer."""

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
        self._fleet_buckets = {
            customer: Bucket(rate, workload.bursts[customer])
            for customer, rate in workload.rates.items()
        }

    def issue(self, call):
        """Request a slot from the home host."""
        simulation, plan = self._simulation, call.program.plan
        if not self._fleet_buckets[plan.customer].take(simulation.now):
            simulation.measures.refused[plan.customer] += 1
            simulation.retry(call, 0.0)
            return
        simulation.call_later(simulation.deployment.latency, self._submit, call)

    def finish(self, call, event):
        """Return the slot of a finished call."""
        self._apply_later(
            lambda now: self.scheduler.finish(
                call.request_id, event.output_tokens, event.cached_tokens, now
            )
        )

    def end_program(self, program):
        """Release the cached prefix of an ended program."""
        if self._change.release:
            self._apply_later(
                lambda now: self.scheduler.end_program(program.plan.name, now)
            )

    def fail(self, call):
        """Return the slot of a failed call."""
        self._apply_later(
            lambda now: self.scheduler.finish(call.request_id, 0, None, now)
        )

    def remove_engine(self, engine):
        """Mark a failed engine as down."""
        self._apply_later(
            lambda now: self.scheduler.set_state(f"e{engine}", UpstreamState.DOWN, now)
        )

    def restore_engine(self, engine):
        """Mark an engine as up again."""
        self._apply_later(
            lambda now: self.scheduler.set_state(f"e{engine}", UpstreamState.UP, now)
        )

    def _apply_later(self, decide):
        simulation = self._simulation
        latency = simulation.deployment.latency
        simulation.call_later(latency, lambda: self._apply(decide(simulation.now)))

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
            deadline=now + CALL_TIMEOUT_SECONDS,
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
        self._schedule_tick()

    def _grant(self, grant):
        simulation = self._simulation
        call = self._calls.pop(grant.request.request_id)
        engine = int(grant.upstream[1:])
        simulation.call_later(
            simulation.deployment.latency, simulation.send, call, engine
        )

    def _refuse(self, refuse):
        simulation = self._simulation
        call = self._calls.pop(refuse.request.request_id)
        customer = refuse.request.customer
        simulation.measures.refused[customer] += 1
        simulation.measures.wrongful[customer] += (
            customer != simulation.workload.flooding
        )
        simulation.retry(call, refuse.retry_after)

    def _schedule_tick(self):
        due = self.scheduler.next_tick()
        if due is None or due == self._due:
            return
        self._due = due
        self._simulation.call_at(max(due, self._simulation.now), self._tick, due)

    def _tick(self, due):
        if self._due == due:
            self._due = None
            self._apply(self.scheduler.tick(self._simulation.now))
