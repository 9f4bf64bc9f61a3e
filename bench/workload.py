"""Programs for measurements: chains of calls with pauses and sub-agents."""

import random
from dataclasses import dataclass, field

CUSTOMER_SHARES = (0.36, 0.22, 0.14, 0.09, 0.07, 0.05, 0.04, 0.03)
"""Shares of the load of eight customers, a few of them large."""

RATE_HEADROOM = 3.0
"""A customer's rate against its usual demand."""

BURST_SECONDS = 5.0
FAVOURITE_SHARE = 0.5
"""Share of a customer's programs that go to one host, as callers keep it."""

FIRST_PROMPT = (400, 3_000)
NEXT_PROMPT = (50, 700)
OUTPUT_MEAN = 160
LONGEST_OUTPUT = 1_200
LONG_SHARE = 0.08
"""Share of programs with many turns."""

SUB_AGENT_SHARE = 0.08
"""Share of turns that start sub-agents."""

HUMAN_SHARE = 0.15
"""Share of pauses in which a person answers."""

HISTORY_LIMIT = 24_000
"""Tokens after which a program ends."""


@dataclass(frozen=True)
class Deployment:
    """Sizes of one of the users' sites.

    Parameters
    ----------
    name : str
        Name of the site.
    hosts, engines : int
        Entry hosts and model servers.
    latency : float
        Seconds between two failure domains, one way.
    latency_weight : float
        Weighting of its pool.
    """

    name: str
    hosts: int
    engines: int
    latency: float
    latency_weight: float


HATUA = Deployment("hatua", 8, 4, 0.0015, 1.0)
KITAMICHI = Deployment("kitamichi", 7, 5, 0.0005, 0.25)


@dataclass
class Turn:
    """One call of a program, the pause after it and what it starts."""

    new_tokens: int
    output_tokens: int
    pause: float
    pause_kind: str = "tool"
    sub_agents: list = field(default_factory=list)


@dataclass
class PlannedProgram:
    """A program as its caller would run it."""

    name: str
    root: str
    customer: str
    host: int
    start: float
    turns: list


class Workload:
    """Programs of all customers over a span of time, the same for each arm.

    Parameters
    ----------
    deployment : Deployment
        Gives hosts and engines.
    seed : int
        Seed of all draws.
    seconds : float
        Span in which programs start.
    load : float
        Programs per second and engine, of all customers together.
    flood : tuple of float, optional
        Start and end of the time in which the largest customer sends five
        times its rate.
    """

    def __init__(self, deployment, *, seed, seconds, load, flood=None):
        self._random = random.Random(f"{deployment.name}/{seed}")
        self._deployment = deployment
        self._count = 0
        self.customers = [f"c{number}" for number in range(len(CUSTOMER_SHARES))]
        self.calls = dict.fromkeys(self.customers, 0)
        total = load * deployment.engines
        self.programs = []
        for customer, share in zip(self.customers, CUSTOMER_SHARES):
            self._plan_customer(customer, share * total, seconds, None)
        usual = {name: count / seconds for name, count in self.calls.items()}
        self.rates = {
            name: max(0.2, RATE_HEADROOM * rate) for name, rate in usual.items()
        }
        self.bursts = {
            name: max(10.0, BURST_SECONDS * rate) for name, rate in self.rates.items()
        }
        self.flooding = self.customers[0] if flood else None
        if flood:
            extra = 5 * RATE_HEADROOM - 1
            rate = CUSTOMER_SHARES[0] * total * extra
            self._plan_customer(self.flooding, rate, flood[1] - flood[0], flood[0])
        self.programs.sort(key=lambda program: program.start)

    def _plan_customer(self, customer, rate, seconds, start):
        now = start or 0.0
        end = now + seconds
        favourite = self._random.randrange(self._deployment.hosts)
        while True:
            now += self._random.expovariate(rate)
            if now >= end:
                return
            host = favourite
            if self._random.random() > FAVOURITE_SHARE:
                host = self._random.randrange(self._deployment.hosts)
            self.programs.append(self._plan(customer, host, now, None))

    def _plan(self, customer, host, start, root):
        draw = self._random
        self._count += 1
        name = f"{customer}/{self._count}"
        count = draw.randint(12, 30) if draw.random() < LONG_SHARE else 0
        count = count or min(10, 1 + int(draw.expovariate(1 / 4)))
        if root is not None:
            count = draw.randint(1, 3)
        turns = []
        history = 0
        for number in range(count):
            low, high = NEXT_PROMPT if number else FIRST_PROMPT
            output = min(LONGEST_OUTPUT, 10 + int(draw.expovariate(1 / OUTPUT_MEAN)))
            turn = Turn(draw.randint(low, high), output, *self._draw_pause())
            self.calls[customer] += 1
            if root is None and draw.random() < SUB_AGENT_SHARE:
                turn.sub_agents = [
                    self._plan(customer, host, 0.0, name)
                    for _ in range(draw.randint(1, 3))
                ]
            turns.append(turn)
            history += turn.new_tokens + turn.output_tokens
            if history > HISTORY_LIMIT:
                break
        return PlannedProgram(name, root or name, customer, host, start, turns)

    def _draw_pause(self):
        if self._random.random() < HUMAN_SHARE:
            return min(90.0, self._random.lognormvariate(2.5, 0.6)), "human"
        return min(20.0, self._random.lognormvariate(-0.3, 0.9)), "tool"


def time_alone(program, engine, hop_seconds):
    """Return the seconds that a program takes on an empty engine.

    Parameters
    ----------
    program : PlannedProgram
        The program.
    engine : EngineTiming
        Gives the rates.
    hop_seconds : float
        Time of all messages of one call.
    """
    total = 0.0
    for number, turn in enumerate(program.turns):
        total += hop_seconds + turn.new_tokens / engine.prefill_rate
        total += (turn.output_tokens - 1) * engine.decode_seconds
        alone = [time_alone(sub, engine, hop_seconds) for sub in turn.sub_agents]
        total += max(alone, default=0.0)
        if number + 1 < len(program.turns):
            total += turn.pause
    return total
