"""Runs planned programs in virtual time against `EngineTiming`.

An arm decides which engine gets which call and when; everything else is the
same for all arms.
"""

import heapq
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bench.workload import time_alone
from standins.timing import EngineTiming, Finished

CALL_SECONDS = 120.0
"""Time within which a caller wants a slot for its call."""

RETRY_SECONDS = 1.0
FAILURE_SECONDS = 0.5
"""Time until a call on an engine that died is tried again."""


@dataclass
class RunningProgram:
    """A program under way."""

    plan: object
    started: float
    on_end: object = None
    turn: int = 0
    history: int = 0
    pending: int = 0


@dataclass
class Call:
    """One call on its way through an arm."""

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
    """What a run showed."""

    latencies: dict = field(default_factory=lambda: defaultdict(list))
    slowdowns: dict = field(default_factory=lambda: defaultdict(list))
    first_tokens: list = field(default_factory=list)
    prompt_tokens: int = 0
    again_tokens: int = 0
    calls: int = 0
    refused: Counter = field(default_factory=Counter)
    wrongful: Counter = field(default_factory=Counter)
    given_up: Counter = field(default_factory=Counter)
    failed_calls: int = 0


class Bucket:
    """A token bucket for calls."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.level, self.time = burst, 0.0

    def has_token(self, now):
        """Return whether a call may pass."""
        self.level = min(self.burst, self.level + (now - self.time) * self.rate)
        self.time = now
        return self.level >= 1

    def take(self, now):
        """Take a token if there is one; return whether."""
        if not self.has_token(now):
            return False
        self.level -= 1
        return True


class Simulation:
    """Virtual time, engines and callers.

    Parameters
    ----------
    workload : Workload
        Programs to run.
    deployment : Deployment
        Sizes and latency.
    make_arm : callable
        Returns the arm for this simulation.
    deaths : sequence of tuple, optional
        (time, engine, seconds out) of each engine that dies.
    slow : sequence of tuple, optional
        (time, engine, seconds, factor) of each engine that is slow a while.
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
        self._options = engine_options or {}
        self.engines = [
            EngineTiming(**self._options) for _ in range(deployment.engines)
        ]
        self.up = [True] * deployment.engines
        self._calls = [{} for _ in range(deployment.engines)]
        self._events = []
        self._number = 0
        self._engine_times = [None] * deployment.engines
        self.arm = make_arm(self)
        for program in workload.programs:
            self.at(program.start, self._start, program, None)
        for time, engine, seconds in deaths:
            self.at(time, self._die, engine)
            self.at(time + seconds, self._revive, engine)
        for time, engine, seconds, factor in slow:
            self.at(time, self._slow, engine, factor)
            self.at(time + seconds, self._slow, engine, 1 / factor)

    def at(self, time, action, *arguments):
        """Do something at a time."""
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action, arguments))

    def after(self, seconds, action, *arguments):
        """Do something after some seconds."""
        self.at(self.now + seconds, action, *arguments)

    def run(self):
        """Run until nothing is left to do; return the `Measures`."""
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.measures

    def send(self, call, engine):
        """Send a call to an engine; it arrives a little later."""
        call.engine = engine
        self.after(self.deployment.latency, self._arrive, call, engine)

    def release(self, engine, program):
        """Let an engine drop the prefix of a program."""
        if self.up[engine]:
            self.engines[engine].release(program)

    def retry(self, call, seconds):
        """Let a caller repeat a refused call.

        The customer over its rate gives new programs up instead.
        """
        program = call.program
        customer = program.plan.customer
        is_first = not program.turn and program.plan.root == program.plan.name
        if is_first and customer == self.workload.flooding:
            self.measures.given_up[customer] += 1
            self._end(program, failed=True)
            return
        self.after(max(RETRY_SECONDS, seconds), self._issue, program)

    def _start(self, plan, on_end):
        program = RunningProgram(plan, self.now, on_end)
        self._issue(program)

    def _issue(self, program):
        turn = program.plan.turns[program.turn]
        self._number += 1
        call = Call(self._number, program, turn.new_tokens, turn.output_tokens)
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
        if time is None or time == self._engine_times[engine]:
            return
        self._engine_times[engine] = time
        self.at(max(time, self.now), self._advance, engine, time)

    def _advance(self, engine, time):
        if self._engine_times[engine] != time:
            return
        self._engine_times[engine] = None
        for event in self.engines[engine].advance(self.now):
            if isinstance(event, Finished):
                call = self._calls[engine].pop(event.request_id)
                self.after(self.deployment.latency, self._finish, call, event)
            elif getattr(event, "first", False):
                self.measures.first_tokens.append(event.time)
        self._schedule(engine)

    def _finish(self, call, event):
        program = call.program
        self.measures.calls += 1
        self.measures.prompt_tokens += event.cached_tokens + event.prefilled_tokens
        self.measures.again_tokens += program.history - event.cached_tokens
        program.history += call.new_tokens + call.output_tokens
        self.arm.finish(call, event)
        turn = program.plan.turns[program.turn]
        program.turn += 1
        program.pending = len(turn.sub_agents)
        for sub in turn.sub_agents:
            self._start(sub, program)
        if not turn.sub_agents:
            self._pause(program, turn)

    def _pause(self, program, turn):
        if program.turn == len(program.plan.turns):
            self._end(program)
            return
        self.after(turn.pause, self._issue, program)

    def _end(self, program, *, failed=False):
        plan = program.plan
        self.arm.end(program)
        if program.on_end is not None:
            parent = program.on_end
            parent.pending -= 1
            if not parent.pending:
                self._pause(parent, parent.plan.turns[parent.turn - 1])
            return
        if failed:
            return
        latency = self.now - program.started
        alone = time_alone(plan, self.engines[0], 2 * self.deployment.latency)
        self.measures.latencies[plan.customer].append(latency)
        self.measures.slowdowns[plan.customer].append(latency / alone)

    def _die(self, engine):
        self.up[engine] = False
        lost, self._calls[engine] = self._calls[engine], {}
        self.engines[engine] = EngineTiming(**self._options)
        self._engine_times[engine] = None
        self.arm.lose(engine)
        for call in lost.values():
            self._fail(call)

    def _slow(self, engine, factor):
        timing = self.engines[engine]
        self._engine_times[engine] = self.now
        self._advance(engine, self.now)
        timing.decode_seconds *= factor
        timing.prefill_rate /= factor
        self._schedule(engine)

    def _revive(self, engine):
        self.up[engine] = True
        self.arm.regain(engine)

    def _fail(self, call):
        self.measures.failed_calls += 1
        self.arm.fail(call)
        self.after(FAILURE_SECONDS, self._issue, call.program)
