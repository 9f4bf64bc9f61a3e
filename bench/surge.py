"""Replays surges of programs with tight aims on a virtual clock.

Several hosts schedule on their own, with views of each other's load that are as old
as their heartbeats. ``python -m bench.surge`` prints by kind of program what was
served in time, late and not at all.
"""

import argparse
import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial
from statistics import mean

from bench.simulation import Simulation
from bench.workload import PlannedProgram, Turn, estimate_unloaded_seconds
from sapphireyard.scheduling.capacity import UpstreamLimits
from sapphireyard.scheduling.queue_home import is_busy
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import (
    Grant,
    Refuse,
    SchedulerOptions,
    SlotRequest,
)

HEARTBEAT_SECONDS = 0.2
TICK_SECONDS = 0.1
TURN_TRIES = 3
"""Times that a program sends a turn, each with one retry after a refusal."""
WARM_UP_SECONDS = 4.0
"""Programs that start earlier are not counted."""


@dataclass(frozen=True)
class Kind:
    """Programs of one route.

    Parameters
    ----------
    rate : float
        Programs a second.
    turns, pause : float
        Mean number of turns, and mean seconds between two.
    prompt_tokens : float
        Mean new prompt tokens of a turn; the first one has 512 more.
    events, tokens_per_event : float
        Mean events of an answer, and tokens of each.
    priority : int
        0 is the highest.
    target, factor : float
        A program's aim is its unloaded time times the factor, plus the target.
    timeout : float
        Seconds in which a turn must be answered.
    full, late : float
        What a program in time, and a late one, earn.
    """

    rate: float
    turns: float
    pause: float
    prompt_tokens: float
    events: float
    tokens_per_event: int
    priority: int
    target: float
    factor: float
    timeout: float
    full: float
    late: float


@dataclass(frozen=True)
class Site:
    """Engines, hosts and programs of a site; see `Deployment` for the rest.

    Parameters
    ----------
    engine : dict
        Options of `EngineTiming`.
    speeds : tuple of float
        Factors on the time of the engines, repeated.
    way : float
        Seconds of a turn's way in its program's aim.
    """

    hosts: int
    engines: int
    latency: float
    engine: dict
    speeds: tuple
    way: float
    kinds: dict


def build_engine(batch_size, kv_tokens, prefill_rate, decode_seconds):
    """Return options of `EngineTiming`."""
    return {
        "batch_size": batch_size,
        "kv_tokens": kv_tokens,
        "prefill_rate": prefill_rate,
        "decode_seconds": decode_seconds,
        "decode_slope": 0.005,
    }


UNEVEN = Site(
    hosts=8,
    engines=23,
    latency=0.003,
    engine=build_engine(6, 65_397, 85_200.0, 0.00277),
    speeds=(1.43, 1.43, 0.59),
    way=0.026,
    kinds={
        "chat": Kind(28.6, 3, 0.1, 654, 4.9, 15, 1, 0.2, 1.2, 3.0, 3.0, 0.9),
        "draft": Kind(13.2, 7, 0.19, 327, 4.9, 15, 0, 0.2, 1.2, 3.0, 10.0, 3.0),
    },
)
SCARCE = Site(
    hosts=8,
    engines=22,
    latency=0.0015,
    engine=build_engine(8, 54_287, 61_800.0, 0.00309),
    speeds=(1.0,),
    way=0.031,
    kinds={
        "checkout": Kind(24.2, 3, 0.2, 654, 6.1, 12, 0, 0.25, 1.3, 4.0, 5.5, 0.22),
        "arrears": Kind(11.8, 11, 0.07, 327, 6.1, 12, 2, 0.5, 1.3, 4.0, 4.8, 0.72),
    },
)
SITES = {"uneven": UNEVEN, "scarce": SCARCE}


@dataclass
class SurgeTurn(Turn):
    """A turn with the caller's estimate of its output."""

    estimate: int = 1


@dataclass
class SurgeProgram(PlannedProgram):
    """A program of a `Kind`, and the seconds within which it should end."""

    kind: str = ""
    aim: float = 0.0
    unloaded: float = 0.0
    customer_share: float = 0.0


class SurgeWorkload:
    """Programs of a site whose first kind comes at `factor` times its rate for a time.

    Parameters
    ----------
    site : Site
        Rates and sizes.
    seed : int
        Seed of the random generator.
    load : float, optional
        Factor on all rates.
    burst : tuple of float, optional
        Start, end and factor.
    seconds : float, optional
        Time in which programs start.
    """

    flooding = None

    def __init__(self, site, *, seed, load=1.0, burst=(8.0, 12.0, 2.1), seconds=20.0):
        self._random = random.Random(seed)
        self._site = site
        self._engine = SimpleEngine(**site.engine)
        self.programs = []
        for number, (name, kind) in enumerate(site.kinds.items()):
            now = 0.0
            while now < seconds:
                rate = kind.rate * load
                if not number and burst[0] <= now < burst[1]:
                    rate *= burst[2]
                now += self._random.expovariate(rate)
                self.programs.append(self._plan(name, kind, now))
        self.programs.sort(key=lambda program: program.start)

    def _plan(self, name, kind, start):
        count = max(1, min(2 * kind.turns, round(self._vary(kind.turns, 0.4))))
        turns = []
        for number in range(int(count)):
            prompt = self._vary(kind.prompt_tokens, 0.7) + 512 * (not number)
            events = max(1, round(self._vary(kind.events, 1.0)))
            tokens = int(min(events, 4 * kind.events) * kind.tokens_per_event)
            estimate = max(1, int(tokens * self._random.lognormvariate(0, 0.5)))
            pause = self._vary(kind.pause, 0.6)
            turns.append(SurgeTurn(int(prompt), tokens, pause, estimate=estimate))
        label = f"{name}/{len(self.programs)}"
        host = self._random.randrange(self._site.hosts)
        customer = f"c{int(40 * self._random.random() ** 2)}"
        program = SurgeProgram(label, label, customer, host, start, turns, name)
        program.unloaded = estimate_unloaded_seconds(
            program, self._engine, self._site.way
        )
        program.aim = kind.factor * program.unloaded + kind.target
        return program

    def _vary(self, value, spread):
        sigma = math.sqrt(math.log(1 + spread**2))
        return min(
            4 * value, self._random.lognormvariate(-(sigma**2) / 2, sigma) * value
        )


class SimpleEngine:
    """The rates of an idle engine."""

    def __init__(self, prefill_rate, decode_seconds, **_):
        self.prefill_rate = prefill_rate
        self.decode_seconds = decode_seconds


@dataclass
class Outcome:
    """Programs of one kind: in time, late, failed, what they earned and might have."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    earned: float = 0.0
    owed: float = 0.0
    refusals: int = 0
    refused_waits: list = field(default_factory=list)

    @property
    def served(self):
        """float: Share of the programs that were served, in time or late."""
        served = self.in_time + self.late
        return served / (served + self.failed)

    @property
    def share(self):
        """float: Earned share of what might have been."""
        return self.earned / self.owed if self.owed else 1.0


class SurgeSimulation(Simulation):
    """Callers that send a turn again after a refusal, and give up after some."""

    def __init__(self, site, workload, make_arm):
        self.site = site
        self.outcomes = defaultdict(Outcome)
        self.by_second = defaultdict(Outcome)
        self._tries = Counter()
        slow = [
            (0.0, number, 1e6, site.speeds[number % len(site.speeds)])
            for number in range(site.engines)
        ]
        super().__init__(
            workload, site, make_arm, slow=slow, engine_options=site.engine
        )

    def retry(self, call, seconds):
        program = call.program
        turn = (program.plan.name, program.turn)
        self._tries[turn] += 1
        tries = self._tries[turn]
        if tries >= 2 * TURN_TRIES:
            self._end(program, failed=True)
            return
        kind = self.site.kinds[program.plan.kind]
        wait = min(seconds, kind.timeout / 3) if tries % 2 else 0.25
        self.call_later(wait, self._issue, program)

    def _end(self, program, *, failed=False):
        plan = program.plan
        self.arm.end_program(program)
        if plan.start < WARM_UP_SECONDS:
            return
        kind = self.site.kinds[plan.kind]
        size = min(4.0, 0.3 + 0.7 * plan.unloaded / self._mean_unloaded(plan.kind))
        lateness = self.now - program.started - plan.aim
        for outcome in (self.outcomes[plan.kind], self.by_second[int(plan.start)]):
            outcome.owed += size * kind.full
            if failed or lateness > plan.aim:
                outcome.failed += 1
            elif lateness > 0:
                outcome.late += 1
                outcome.earned += size * kind.late
            else:
                outcome.in_time += 1
                outcome.earned += size * kind.full

    def _mean_unloaded(self, kind):
        programs = self.workload.programs
        values = [each.unloaded for each in programs if each.kind == kind]
        return sum(values) / len(values)


class HostsArm:
    """A `Scheduler` on each host, with heartbeats between them.

    Parameters
    ----------
    simulation : SurgeSimulation
        Provides the clock and the site.
    options : dict, optional
        Scheduler options to override.
    hosts : int, optional
        Number of hosts, if not the site's; 1 for a common queue.
    """

    def __init__(self, simulation, *, options=None, hosts=None):
        self._simulation = simulation
        self._site = simulation.site
        self._calls = {}
        self._requests = {}
        self._hosts = {}
        self._engines = {}
        self._granted = [Counter() for _ in range(hosts or self._site.hosts)]
        self._sent = [Counter() for _ in range(hosts or self._site.hosts)]
        self.schedulers = []
        for host in range(hosts or self._site.hosts):
            values = {"hold_new": False, "tie_seed": str(host), **(options or {})}
            scheduler = Scheduler(
                [self._limits(number) for number in range(self._site.engines)],
                options=SchedulerOptions(**values),
                max_upstreams=self._site.engines,
            )
            self.schedulers.append(scheduler)
            offset = HEARTBEAT_SECONDS * host / len(self._sent)
            simulation.call_at(offset, self._beat, host)
            simulation.call_at(offset, self._tick, host)
        self._views = [dict() for _ in self.schedulers]

    def _limits(self, number):
        engine = self._site.engine
        return UpstreamLimits(
            f"e{number}",
            engine["batch_size"],
            engine["kv_tokens"],
            engine["prefill_rate"],
            engine["decode_seconds"],
        )

    def issue(self, call):
        """Queue a call at its host."""
        self._simulation.call_later(self._simulation.site.latency, self._submit, call)

    def _choose_host(self, call):
        """Return the host whose scheduler grants a call's slot."""
        return call.program.plan.host % len(self.schedulers)

    def _submit(self, call):
        host = self._hosts[call.request_id] = self._choose_host(call)
        if host == call.program.plan.host % len(self.schedulers):
            self._submit_at(host, call)
        else:
            latency = self._site.latency
            self._simulation.call_later(latency, self._submit_at, host, call)

    def _submit_at(self, host, call):
        simulation, program = self._simulation, call.program
        plan, now = program.plan, simulation.now
        kind = self._site.kinds[plan.kind]
        self._calls[call.request_id] = call
        request = SlotRequest(
            program=plan.name,
            root=plan.root,
            customer=plan.customer,
            pool="models",
            prefix_tokens=program.history,
            new_tokens=call.new_tokens,
            output_tokens=4 * 75,
            expected_tokens=plan.turns[program.turn].estimate,
            deadline=now + 0.4 * kind.timeout,
            priority=kind.priority,
            aim_at=program.started + plan.aim,
            started=program.turn > 0,
            request_id=call.request_id,
        )
        self._requests[call.request_id] = request
        if plan.name in self._engines:
            self.schedulers[host].learn_prefix(
                self._engines[plan.name], plan.name, request.prefix_tokens, now
            )
        self._apply(host, self.schedulers[host].submit(request, now))

    def finish(self, call, event):
        """Return the slot of a finished call."""
        host = self._hosts[call.request_id]
        self._sent[host][f"e{call.engine}"] -= 1
        self._release(host, call, event)

    def _release(self, host, call, event):
        actions = self.schedulers[host].finish(
            call.request_id, event.output_tokens, None, self._simulation.now
        )
        self._apply(host, actions)

    def end_program(self, program):
        """Do nothing: hosts are not told when a program ends."""

    def _apply(self, host, actions):
        simulation = self._simulation
        for action in actions:
            if isinstance(action, Grant):
                call = self._calls.pop(action.request.request_id)
                wait = 0.0
                if host != call.program.plan.host % len(self.schedulers):
                    wait = self._site.latency
                simulation.call_later(wait, self._send, host, call, action.upstream)
            elif isinstance(action, Refuse):
                call = self._calls.pop(action.request.request_id)
                simulation.outcomes[call.program.plan.kind].refusals += 1
                simulation.retry(call, min(max(action.retry_after, 0.05), 2.0))

    def _send(self, host, call, upstream):
        self._sent[host][upstream] += 1
        self._engines[call.program.plan.name] = upstream
        self._simulation.send(call, int(upstream[1:]))

    def _tick(self, host):
        now = self._simulation.now
        self._apply(host, self.schedulers[host].tick(now))
        if now < 40:
            self._simulation.call_later(TICK_SECONDS, self._tick, host)

    def _beat(self, host):
        simulation = self._simulation
        sent = +self._sent[host]
        own = sent - self._granted[host]
        for other in range(len(self.schedulers)):
            if other != host:
                running = sent if other else own  # the first one is the home
                simulation.call_later(
                    self._site.latency, self._hear, other, host, running
                )
        if simulation.now < 40:
            simulation.call_later(HEARTBEAT_SECONDS, self._beat, host)

    def _hear(self, host, other, sent):
        view = self._views[host]
        before = view.get(other, {})
        view[other] = sent
        for name in before.keys() | sent.keys():
            if before.get(name, 0) != sent.get(name, 0):
                count = sum(each.get(name, 0) for each in view.values())
                actions = self.schedulers[host].report_load(
                    name, count, 0, 0, 0, self._simulation.now
                )
                self._apply(host, actions)


class HomeArm(HostsArm):
    """The same, with one home that grants slots to all hosts while they are busy."""

    def _choose_host(self, call):
        own = call.program.plan.host
        scheduler = self.schedulers[own]
        busy = is_busy(scheduler.used, scheduler.slots)
        return 0 if busy else own

    def _send(self, host, call, upstream):
        own = call.program.plan.host
        if host != own:
            request = self._requests[call.request_id]
            self.schedulers[own].adopt(request, upstream, self._simulation.now)
            self._granted[own][upstream] += 1
        super()._send(own, call, upstream)

    def finish(self, call, event):
        own, host = call.program.plan.host, self._hosts[call.request_id]
        if host != own:
            self._granted[own][f"e{call.engine}"] -= 1
            latency = self._site.latency
            self._simulation.call_later(latency, self._release, host, call, event)
        self._sent[own][f"e{call.engine}"] -= 1
        self._release(own, call, event)


def run(site, *, seed, arm=HostsArm, **shape):
    """Return the finished `SurgeSimulation` of a `SurgeWorkload`."""
    workload = SurgeWorkload(site, seed=seed, **shape)
    simulation = SurgeSimulation(site, workload, arm)
    simulation.run()
    return simulation


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--sites", nargs="+", default=list(SITES))
    parser.add_argument("--arms", nargs="+", default=list(ARMS))
    options = parser.parse_args()
    for name in options.sites:
        for arm_name in options.arms:
            arm = ARMS[arm_name]
            runs = [
                run(SITES[name], seed=seed, load=options.load, arm=arm)
                for seed in options.seeds
            ]
            for kind in SITES[name].kinds:
                found = [each.outcomes[kind] for each in runs]
                print(
                    f"{name:8s} {arm_name:16s} {kind:9s}",
                    f"in time {mean(o.in_time for o in found):7.1f}",
                    f"late {mean(o.late for o in found):6.1f}",
                    f"failed {mean(o.failed for o in found):6.1f}",
                    f"refusals {mean(o.refusals for o in found):7.1f}",
                    f"share {mean(o.share for o in found):.3f}",
                )
            worst = [
                min(o.share for s, o in each.by_second.items() if s < 20)
                for each in runs
            ]
            print(f"{'':26s} worst second {mean(worst):.3f}")


URGENT = {"fair": False, "urgency": True}
ARMS = {
    "as it was": HostsArm,
    "each host alone": partial(HostsArm, options=URGENT),
    "home": partial(HomeArm, options=URGENT),
    "home, fair": HomeArm,
    "one queue": partial(HostsArm, options=URGENT, hosts=1),
}

if __name__ == "__main__":
    main()
