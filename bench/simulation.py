"""Runs planned programs in virtual time against `EngineTiming`.

An arm decides when each call is sent, and to which engine; everything else is
the same for all arms.
"""

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bench.workload import estimate_unloaded_seconds
from standins.timing import EngineTiming, Finished

CALL_TIMEOUT_SECONDS = 120.0
"""Time within which a call must get a slot."""

MIN_RETRY_SECONDS = 1.0
FAILURE_RETRY_SECONDS = 0.5
"""Time until a call on a failed engine is retried."""


@dataclass
class RunningProgram:
    """A running program; a sub-agent has the `parent` that waits for it."""

    plan: object
    started: float
    parent: object = None
    turn: int = 0
    history: int = 0
    pending_sub_agents: int = 0


@dataclass
class Call:
    """One attempt of a call."""

    number: int
    program: RunningProgram
    new_tokens: int
    output_tokens: int
    engine: int = -1

    @property
    def request_id(self):
        """str: Id of this attempt."""
        return f"r{self.number}"


@dataclass
class Measures:
    """Measurements of a run, some of them by customer.

    ``slowdowns`` are latencies of programs divided by those on an idle engine.
    ``wrongful`` counts refusals of calls within the customer's rate,
    ``given_up`` programs that the customer over its rate did not retry.
    """

    latencies: dict = field(default_factory=lambda: defaultdict(list))
    slowdowns: dict = field(default_factory=lambda: defaultdict(list))
    first_token_times: list = field(default_factory=list)
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    calls: int = 0
    refused: Counter = field(default_factory=Counter)
    wrongful: Counter = field(default_factory=Counter)
    given_up: Counter = field(default_factory=Counter)
    failed_calls: int = 0


class Bucket:
    """A token bucket that limits calls."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.level, self.time = burst, 0.0

    def has_token(self, now):
        """Return whether there is a token for a call."""
        self.level = min(self.burst, self.level + (now - self.time) * self.rate)
        self.time = now
        return self.level >= 1

    def take(self, now):
        """Take a token if there is one; return whether there was."""
        if not self.has_token(now):
            return False
        self.level -= 1
        return True


class Simulation:
    """Engines and callers in virtual time.

    Parameters
    ----------
    workload : Workload
        Programs to run.
    deployment : Deployment
        Sizes and latency.
    make_arm : callable
        Returns the arm for this simulation.
    deaths : sequence of tuple, optional
        (time, engine, seconds of outage) of each engine that fails.
    slow : sequence of tuple, optional
        (time, engine, seconds, factor) of each engine that slows down.
    engine_options : dict, optional
        Options of `EngineTiming`.
    """

    def __init__(
        self, workload, deployment, make_arm, *, deaths=(), slow=(), engine_options=None
    ):
        self.workload = workload
        self.deployment = deployment
        self.now = 0.0
        self.measures = Measures()
        self._engine_options = engine_options or {}
        self.engines = [
            EngineTiming(**self._engine_options) for _ in range(deployment.engines)
        ]
        self.up = [True] * deployment.engines
        self._calls = [{} for _ in range(deployment.engines)]
        self._events = []
        self._sequence = 0
        self._next_event_times = [None] * deployment.engines
        self.arm = make_arm(self)
        for program in workload.programs:
            self.call_at(program.start, self._start, program, None)
        for time, engine, seconds in deaths:
            self.call_at(time, self._stop_engine, engine)
            self.call_at(time + seconds, self._restart_engine, engine)
        for time, engine, seconds, factor in slow:
            self.call_at(time, self._slow_down, engine, factor)
            self.call_at(time + seconds, self._slow_down, engine, 1 / factor)

    def call_at(self, time, action, *arguments):
        """Schedule `action` at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action, arguments))

    def call_later(self, seconds, action, *arguments):
        """Schedule `action` after a delay."""
        self.call_at(self.now + seconds, action, *arguments)

    def run(self):
        """Run until no events are left; return the `Measures`."""
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.measures

    def send(self, call, engine):
        """Send a call to an engine; it arrives after the latency."""
        call.engine = engine
        self.call_later(self.deployment.latency, self._arrive, call, engine)

    def release(self, engine, program):
        """Release the cached prefix of a program on an engine."""
        if self.up[engine]:
            self.engines[engine].release(program)

    def retry(self, call, seconds):
        """Retry a refused call after at least `seconds`.

        The customer over its rate gives up new programs instead.
        """
        program = call.program
        customer = program.plan.customer
        is_first = not program.turn and program.plan.root == program.plan.name
        if is_first and customer == self.workload.flooding:
            self.measures.given_up[customer] += 1
            self._end(program, failed=True)
            return
        self.call_later(max(MIN_RETRY_SECONDS, seconds), self._issue, program)

    def _start(self, plan, parent):
        program = RunningProgram(plan, self.now, parent)
        self._issue(program)

    def _issue(self, program):
        turn = program.plan.turns[program.turn]
        self._sequence += 1
        call = Call(self._sequence, program, turn.new_tokens, turn.output_tokens)
        self.arm.issue(call)

    def _arrive(self, call, engine):
        if not self.up[engine]:
            self._fail(call)
            return
        self._calls[engine][call.request_id] = call
        program = call.program
        self.engines[engine].submit(
            call.request_id,
            program.plan.name,
            program.history,
            call.new_tokens,
            call.output_tokens,
            self.now,
        )
        self._schedule(engine)

    def _schedule(self, engine):
        time = self.engines[engine].next_event_time()
        if time is None or time == self._next_event_times[engine]:
            return
        self._next_event_times[engine] = time
        self.call_at(max(time, self.now), self._advance, engine, time)

    def _advance(self, engine, time):
        # The engine was rescheduled or stopped since.
        if self._next_event_times[engine] != time:
            return
        self._next_event_times[engine] = None
        for event in self.engines[engine].advance(self.now):
            if isinstance(event, Finished):
                call = self._calls[engine].pop(event.request_id)
                self.call_later(self.deployment.latency, self._finish, call, event)
            elif getattr(event, "first", False):
                self.measures.first_token_times.append(event.time)
        self._schedule(engine)

    def _finish(self, call, event):
        program = call.program
        self.measures.calls += 1
        self.measures.prompt_tokens += event.cached_tokens + event.prefilled_tokens
        self.measures.recomputed_tokens += program.history - event.cached_tokens
        program.history += call.new_tokens + call.output_tokens
        self.arm.finish(call, event)
        turn = program.plan.turns[program.turn]
        program.turn += 1
        program.pending_sub_agents = len(turn.sub_agents)
        for sub in turn.sub_agents:
            self._start(sub, program)
        if not turn.sub_agents:
            self._pause_or_end(program, turn)

    def _pause_or_end(self, program, turn):
        if program.turn == len(program.plan.turns):
            self._end(program)
            return
        self.call_later(turn.pause, self._issue, program)

    def _end(self, program, *, failed=False):
        plan = program.plan
        self.arm.end_program(program)
        if program.parent is not None:
            parent = program.parent
            parent.pending_sub_agents -= 1
            if not parent.pending_sub_agents:
                self._pause_or_end(parent, parent.plan.turns[parent.turn - 1])
            return
        if failed:
            return
        latency = self.now - program.started
        unloaded = estimate_unloaded_seconds(
            plan, self.engines[0], 2 * self.deployment.latency
        )
        self.measures.latencies[plan.customer].append(latency)
        self.measures.slowdowns[plan.customer].append(latency / unloaded)

    def _stop_engine(self, engine):
        self.up[engine] = False
        lost, self._calls[engine] = self._calls[engine], {}
        self.engines[engine] = EngineTiming(**self._engine_options)
        self._next_event_times[engine] = None
        self.arm.remove_engine(engine)
        for call in lost.values():
            self._fail(call)

    def _slow_down(self, engine, factor):
        timing = self.engines[engine]
        self._next_event_times[engine] = self.now
        self._advance(engine, self.now)
        timing.decode_seconds *= factor
        timing.prefill_rate /= factor
        self._schedule(engine)

    def _restart_engine(self, engine):
        self.up[engine] = True
        self.arm.restore_engine(engine)

    def _fail(self, call):
        self.measures.failed_calls += 1
        self.arm.fail(call)
        self.call_later(FAILURE_RETRY_SECONDS, self._issue, call.program)
