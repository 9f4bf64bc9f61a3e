"""Compares policies for a customer's rate with programs that come in clumps.

Run ``python -m bench.rate_policies``. One customer's programs of some turns and tools
start at random, for six seconds at 1.8 times their usual rate; callers repeat refused
requests as they do on the users' platform. Prints the share of the programs' worth
that is earned for several waits of first requests, and for several reserves of the
burst for running programs.
"""

import heapq
import itertools
import json
import random
from dataclasses import dataclass, field
from unittest import mock

from sapphireyard.fleet import quotas
from sapphireyard.fleet.quotas import FleetQuotas, QuotaRule

RUN_SECONDS = 60.0
PEAK = (20.0, 26.0, 1.8)
"""Start, end and factor of the peak."""
MEAN_TURNS = 4
MAX_TOOLS = 2
"""Tools called at once after a turn."""
TURN_SECONDS = 0.15
TOOL_SECONDS = 0.1
PAUSE_SECONDS = 0.05
AIM_FACTOR = 1.4
AIM_SECONDS = 0.25
"""A program is in time within this factor of its idle time, plus these seconds."""
LATE_WORTH = 0.3
TIME_LIMIT_SECONDS = 3.0
ATTEMPTS = 2
TURN_RETRIES = 2
TURN_RETRY_SECONDS = (0.1, 0.4)
RUNNING_WAIT_SECONDS = 1.0
RULES = (QuotaRule(4, 4), QuotaRule(6, 6), QuotaRule(6, 12), QuotaRule(12, 12))
LOADS = (0.62, 0.8)
"""Mean demand, as a share of the rate."""
SEEDS = 16


@dataclass
class Program:
    """One program and how far it has come."""

    started_at: float
    tools: list
    turn: int = 0
    retries: int = 0
    pending: int = 0
    failed: bool = False
    aim: float = field(init=False)

    def __post_init__(self):
        turns = len(self.tools) * (TURN_SECONDS + PAUSE_SECONDS)
        idle = turns + sum(TOOL_SECONDS for count in self.tools if count)
        self.aim = AIM_FACTOR * idle + AIM_SECONDS


class Simulation:
    """Programs of one customer in virtual time.

    Parameters
    ----------
    rule : QuotaRule
        The customer's limit.
    load : float
        Mean demand, as a share of the rate.
    opening_wait : float
        Longest wait of a program's first request, in seconds.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, rule, load, opening_wait, seed):
        self._rule = rule
        self._opening_wait = opening_wait
        self._random = random.Random(seed)
        self._quotas = FleetQuotas(started_at=-100.0)
        self._events = []
        self._order = itertools.count()
        self._waiting = 0
        requests = MEAN_TURNS * (1 + MAX_TOOLS / 2)
        self._programs_per_second = load * rule.rate / requests
        self._earned = 0.0
        self._ended = 0

    def run(self):
        """Return the share of the worth that is earned."""
        self._schedule(0.0, self._arrive)
        while self._events and self._events[0][0] < RUN_SECONDS:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self._earned / max(1, self._ended)

    def _schedule(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _arrive(self, now):
        turns = 1 + int(self._random.expovariate(1 / MEAN_TURNS))
        tools = [self._random.randint(0, MAX_TOOLS) for _ in range(turns)]
        self._start_turn(now, Program(now, tools))
        start, end, factor = PEAK
        rate = self._programs_per_second * (factor if start < now < end else 1.0)
        self._schedule(now + self._random.expovariate(rate), self._arrive)

    def _start_turn(self, now, program):
        self._request(now, program, self._end_turn, self._retry_turn, ATTEMPTS)

    def _request(self, now, program, done, fail, attempts):
        opening = done == self._end_turn and program.turn == 0
        wait = self._opening_wait if opening else RUNNING_WAIT_SECONDS
        self._waiting += 1
        self._admit(now, program, opening, done, fail, attempts, now + wait)

    def _admit(self, now, program, opening, done, fail, attempts, until):
        wait = self._quotas.admit("c", self._rule, now, opening=opening)
        if not wait:
            self._waiting -= 1
            seconds = TURN_SECONDS if done == self._end_turn else TOOL_SECONDS
            self._schedule(now + seconds, done, program)
            return
        queued = self._quotas.estimate_wait(self._rule, self._waiting - 1)
        if now + max(wait, queued) <= until:
            arguments = (program, opening, done, fail, attempts, until)
            self._schedule(now + wait, self._admit, *arguments)
            return
        self._waiting -= 1
        if attempts == 1:
            fail(now, program)
            return
        delay = min(max(wait, queued), TIME_LIMIT_SECONDS / 3)
        arguments = (program, done, fail, attempts - 1)
        self._schedule(now + delay, self._request, *arguments)

    def _retry_turn(self, now, program):
        program.retries += 1
        if program.retries > TURN_RETRIES:
            self._end(program, 0.0)
            return
        delay = self._random.uniform(*TURN_RETRY_SECONDS)
        self._schedule(now + delay, self._start_turn, program)

    def _end_turn(self, now, program):
        program.retries = 0
        program.pending = program.tools[program.turn]
        program.turn += 1
        if not program.pending:
            self._continue(now, program)
        for _ in range(program.pending):
            self._request(now, program, self._end_tool, self._fail_tool, ATTEMPTS)

    def _end_tool(self, now, program):
        program.pending -= 1
        if not program.pending and not program.failed:
            self._continue(now, program)

    def _fail_tool(self, now, program):
        if not program.failed:
            program.failed = True
            self._end(program, 0.0)

    def _continue(self, now, program):
        if program.turn < len(program.tools):
            self._schedule(now + PAUSE_SECONDS, self._start_turn, program)
            return
        seconds = now - program.started_at
        late = LATE_WORTH if seconds <= 2 * program.aim else 0.0
        self._end(program, 1.0 if seconds <= program.aim else late)

    def _end(self, program, earned):
        self._ended += 1
        self._earned += earned


def measure(rule, load, *, opening_wait=0.06):
    """Return the mean share of the worth over all seeds."""
    runs = (Simulation(rule, load, opening_wait, seed).run() for seed in range(SEEDS))
    return round(sum(runs) / SEEDS, 3)


def main():
    """Print one line of JSON per rule and load."""
    for rule, load in itertools.product(RULES, LOADS):
        waits = {w: measure(rule, load, opening_wait=w) for w in (0.06, 0.25, 0.5, 1.0)}
        reserves = {}
        for share in (0.0, 0.15, 0.3, 0.45, 0.6):
            with mock.patch.object(quotas, "OPENING_SHARE", share):
                reserves[share] = measure(rule, load)
        limit = {"rate": rule.rate, "burst": rule.burst, "load": load}
        print(json.dumps({**limit, "waits": waits, "reserves": reserves}))


if __name__ == "__main__":
    main()
