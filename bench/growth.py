"""Measures the cost of a decision as programs, customers and upstreams grow.

Run ``python -m bench.growth``. Rows vary one size and keep the others fixed.
Times depend on the machine; bytes are as counted by ``tracemalloc``.
"""

import argparse
import json
import time
import tracemalloc
from collections import deque
from dataclasses import asdict, dataclass
from types import SimpleNamespace

from sapphireyard.scheduling.capacity import UpstreamLimits
from sapphireyard.scheduling.groups import pick_group, split_groups
from sapphireyard.scheduling.scheduler import MAX_GROUP_SIZE, Scheduler
from sapphireyard.scheduling.scheduling import Grant, SlotRequest

DECISIONS = 4_000
"""Timed steps per size; each finishes a request and submits a new one."""

PROGRAMS = (1_000, 10_000, 100_000, 520_000)
UPSTREAMS = (10, 80, 650, 5_200)
CUSTOMERS = (8, 64, 300, 1_300)
BASELINE_PROGRAMS = 2_000
BASELINE_CUSTOMERS = 8
ACTIVE_PROGRAMS = 400
"""Programs that are active at the same time in a group."""

TURNS_PER_PROGRAM = 6
REQUEST_INTERVAL_SECONDS = 0.02
MAX_TRACED_PROGRAMS = 100_000
"""Memory is traced only up to this number of programs."""


@dataclass
class Cost:
    """Cost of a decision at one size.

    Parameters
    ----------
    programs, customers, upstreams : int
        Numbers of programs served before, of customers and of upstreams; one
        scheduler serves at most `MAX_GROUP_SIZE` of the upstreams.
    decision_us : float
        Microseconds for a finish, a submit and the resulting grants.
    pick_us : float
        Microseconds to find a program's group.
    bytes_per_program : float
        Memory of the scheduler per program; 0 if it was not traced.
    """

    programs: int
    customers: int
    upstreams: int
    decision_us: float
    pick_us: float
    bytes_per_program: float


class Load:
    """A scheduler that has served many programs; `ACTIVE_PROGRAMS` are active.

    Each active program has one request waiting or running. It is replaced by
    a new program after `TURNS_PER_PROGRAM` turns.
    """

    def __init__(self, programs, customers, upstreams):
        self.customers = customers
        limits = [UpstreamLimits(f"u{n}", 16, 64_000) for n in range(upstreams)]
        self.scheduler = Scheduler(limits)
        self.running = deque()
        self.request_count = 0
        self.program_number = 0
        for _ in range(programs):
            self.submit(self.program_number, 0)
            self.finish()
            self.program_number += 1
        for _ in range(ACTIVE_PROGRAMS):
            self.program_number += 1
            self.submit(self.program_number, 0)

    @property
    def now(self):
        """float: Virtual seconds."""
        return self.request_count * REQUEST_INTERVAL_SECONDS

    def submit(self, program, turn):
        """Submit the next request of a program."""
        self.request_count += 1
        request = SlotRequest(
            program=f"p{program}",
            root=f"p{program}",
            customer=f"c{program % self.customers}",
            pool="models",
            prefix_tokens=400 * turn,
            new_tokens=300,
            output_tokens=100,
            request_id=f"r{self.request_count}",
        )
        self.record_grants(self.scheduler.submit(request, self.now))

    def finish(self):
        """Finish the request that was granted first; return its `SlotRequest`."""
        request = self.running.popleft()
        self.record_grants(
            self.scheduler.finish(request.request_id, 100, None, self.now)
        )
        return request

    def step(self):
        """Finish a request and submit the next, of the same or of a new program."""
        request = self.finish()
        turn = request.prefix_tokens // 400 + 1
        if turn < TURNS_PER_PROGRAM:
            self.submit(int(request.program[1:]), turn)
            return
        self.record_grants(self.scheduler.end_program(request.program, self.now))
        self.program_number += 1
        self.submit(self.program_number, 0)

    def record_grants(self, actions):
        """Add the granted requests to the running ones."""
        for action in actions:
            if isinstance(action, Grant):
                self.running.append(action.request)


def time_group_choice(upstreams):
    """Return the mean time to pick a program's group, in microseconds."""
    rows = [SimpleNamespace(name=f"u{n}") for n in range(upstreams)]
    groups = split_groups(SimpleNamespace(name="models", upstreams=rows))
    start = time.perf_counter()
    for number in range(DECISIONS):
        pick_group(groups, f"p{number}")
    return (time.perf_counter() - start) / DECISIONS * 1e6


def measure(programs, customers, upstreams):
    """Return the `Cost` at the given sizes."""
    group = min(upstreams, MAX_GROUP_SIZE)
    size = 0
    if programs <= MAX_TRACED_PROGRAMS:
        tracemalloc.start()
        load = Load(programs, customers, group)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    load = Load(programs, customers, group)
    start = time.perf_counter()
    for _ in range(DECISIONS):
        load.step()
    seconds = time.perf_counter() - start
    return Cost(
        programs,
        customers,
        upstreams,
        seconds / DECISIONS * 1e6,
        time_group_choice(upstreams),
        size / programs,
    )


def main():
    """Measure all sizes and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file for all figures")
    options = parser.parse_args()
    sizes = [(n, BASELINE_CUSTOMERS, MAX_GROUP_SIZE) for n in PROGRAMS]
    sizes += [(BASELINE_PROGRAMS, n, MAX_GROUP_SIZE) for n in CUSTOMERS]
    sizes += [(BASELINE_PROGRAMS, BASELINE_CUSTOMERS, n) for n in UPSTREAMS]
    names = list(Cost.__dataclass_fields__)
    print("".join(f"{name:>18s}" for name in names))
    costs = []
    for size in sizes:
        cost = measure(*size)
        costs.append(asdict(cost))
        print("".join(f"{value:18.1f}" for value in asdict(cost).values()), flush=True)
    if options.json:
        with open(options.json, "w") as file:
            json.dump(costs, file, indent=1)


if __name__ == "__main__":
    main()
