"""Synthetic programs: sequences of calls with pauses and sub-agents."""

import random
from dataclasses import dataclass, field

CUSTOMER_SHARES = (0.36, 0.22, 0.14, 0.09, 0.07, 0.05, 0.04, 0.03)
"""Shares of eight customers in the load, a few of them large."""

RATE_HEADROOM = 3.0
"""Ratio of a customer's rate limit to its usual demand."""

BURST_SECONDS = 5.0
PREFERRED_HOST_SHARE = 0.5
"""Share of a customer's programs that go to one host, since callers reuse it."""

FIRST_PROMPT_TOKENS = (400, 3_000)
"""Least and most new prompt tokens of a program's first call."""

NEXT_PROMPT_TOKENS = (50, 700)
"""Least and most new prompt tokens of a later call."""

MEAN_OUTPUT_TOKENS = 160
MAX_OUTPUT_TOKENS = 1_200
LONG_PROGRAM_SHARE = 0.08
"""Share of programs with many turns."""

SUB_AGENT_SHARE = 0.08
"""Share of turns that start sub-agents."""

HUMAN_PAUSE_SHARE = 0.15
"""Share of pauses that wait for a person's answer."""

MAX_HISTORY_TOKENS = 24_000
"""Length of its history in tokens beyond which a program ends."""


@dataclass(frozen=True)
class Deployment:
    """Sizes of a site.

    Parameters
    ----------
    name : str
        Name of the site; also part of the seed.
    hosts, engines : int
        Numbers of entry hosts and model engines.
    latency : float
        One-way latency between two failure domains, in seconds.
    latency_weight : float
        Latency weight of its pool.
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
    """A call of a program, the pause after it, and the sub-agents it starts."""

    new_tokens: int
    output_tokens: int
    pause: float
    pause_kind: str = "tool"
    sub_agents: list = field(default_factory=list)


@dataclass
class PlannedProgram:
    """A program as planned by the workload, before it runs."""

    name: str
    root: str
    customer: str
    host: int
    start: float
    turns: list


class Workload:
    """Programs of all customers over a time span, the same for each arm.

    Parameters
    ----------
    deployment : Deployment
        Site that determines hosts and engines.
    seed : int
        Seed of the random generator.
    seconds : float
        Length of the span in which programs start.
    load : float
        Programs per second per engine, of all customers together.
    flood : tuple of float, optional
        Start and end of the time in which the largest customer sends five
        times its rate.
    """

    def __init__(self, deployment, *, seed, seconds, load, flood=None):
        self._generator = random.Random(f"{deployment.name}/{seed}")
        self._deployment = deployment
        self._count = 0
        self.customers = [f"c{number}" for number in range(len(CUSTOMER_SHARES))]
        self.calls = dict.fromkeys(self.customers, 0)
        total = load * deployment.engines
        self.programs = []
        for customer, share in zip(self.customers, CUSTOMER_SHARES):
            self._plan_customer(customer, share * total, seconds, None)
        usual_rates = {name: count / seconds for name, count in self.calls.items()}
        self.rates = {
            name: max(0.2, RATE_HEADROOM * rate) for name, rate in usual_rates.items()
        }
        self.bursts = {
            name: max(10.0, BURST_SECONDS * rate) for name, rate in self.rates.items()
        }
        self.flooding = self.customers[0] if flood else None
        if flood:
            # With the usual demand this makes five times the rate limit.
            extra = 5 * RATE_HEADROOM - 1
            rate = CUSTOMER_SHARES[0] * total * extra
            self._plan_customer(self.flooding, rate, flood[1] - flood[0], flood[0])
        self.programs.sort(key=lambda program: program.start)

    def _plan_customer(self, customer, rate, seconds, start):
        now = start or 0.0
        end = now + seconds
        preferred_host = self._generator.randrange(self._deployment.hosts)
        while True:
            now += self._generator.expovariate(rate)
            if now >= end:
                return
            host = preferred_host
            if self._generator.random() > PREFERRED_HOST_SHARE:
                host = self._generator.randrange(self._deployment.hosts)
            self.programs.append(self._plan_program(customer, host, now, None))

    def _plan_program(self, customer, host, start, root):
        generator = self._generator
        self._count += 1
        name = f"{customer}/{self._count}"
        count = (
            generator.randint(12, 30) if generator.random() < LONG_PROGRAM_SHARE else 0
        )
        count = count or min(10, 1 + int(generator.expovariate(1 / 4)))
        if root is not None:
            count = generator.randint(1, 3)
        turns = []
        history = 0
        for number in range(count):
            low, high = NEXT_PROMPT_TOKENS if number else FIRST_PROMPT_TOKENS
            output = min(
                MAX_OUTPUT_TOKENS,
                10 + int(generator.expovariate(1 / MEAN_OUTPUT_TOKENS)),
            )
            turn = Turn(generator.randint(low, high), output, *self._draw_pause())
            self.calls[customer] += 1
            if root is None and generator.random() < SUB_AGENT_SHARE:
                turn.sub_agents = [
                    self._plan_program(customer, host, 0.0, name)
                    for _ in range(generator.randint(1, 3))
                ]
            turns.append(turn)
            history += turn.new_tokens + turn.output_tokens
            if history > MAX_HISTORY_TOKENS:
                break
        return PlannedProgram(name, root or name, customer, host, start, turns)

    def _draw_pause(self):
        if self._generator.random() < HUMAN_PAUSE_SHARE:
            return min(90.0, self._generator.lognormvariate(2.5, 0.6)), "human"
        return min(20.0, self._generator.lognormvariate(-0.3, 0.9)), "tool"


def estimate_unloaded_seconds(program, engine, network_seconds):
    """Return the seconds that a program takes on an idle engine.

    Parameters
    ----------
    program : PlannedProgram
        Program to estimate.
    engine : EngineTiming
        Engine whose rates are used.
    network_seconds : float
        Total network latency of one call.
    """
    total = 0.0
    for number, turn in enumerate(program.turns):
        total += network_seconds + turn.new_tokens / engine.prefill_rate
        total += (turn.output_tokens - 1) * engine.decode_seconds
        sub_agent_seconds = [
            estimate_unloaded_seconds(sub, engine, network_seconds)
            for sub in turn.sub_agents
        ]
        total += max(sub_agent_seconds, default=0.0)
        if number + 1 < len(program.turns):
            total += turn.pause
    return total
