"""Measures what one decision costs as programs, customers and upstreams grow.

Run ``python -m bench.growth``. Each row keeps all but one size fixed. Times
are of this machine; bytes are what ``tracemalloc`` counts.
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
"""Finished requests, each followed by a new one, that are timed."""

PROGRAMS = (1_000, 10_000, 100_000, 520_000)
UPSTREAMS = (10, 80, 650, 5_200)
CUSTOMERS = (8, 64, 300, 1_300)
USUAL_PROGRAMS = 2_000
USUAL_CUSTOMERS = 8
ACTIVE = 400
"""Programs under way at a group."""

TURNS = 6
SECONDS_A_REQUEST = 0.02
TRACED_PROGRAMS = 100_000
"""Most programs with which memory is counted too."""


@dataclass
class Cost:
    """Cost at one size.

    Parameters
    ----------
    programs, customers, upstreams : int
        Programs that were served, customers and upstreams; one scheduler
        serves at most `MAX_GROUP_SIZE` of the upstreams.
    decision_us : float
        Microseconds for a finish, a submit and the grants that follow.
    pick_us : float
        Microseconds to find a program's group.
    bytes_per_program : float
        Memory of the scheduler per program; 0 when it was not counted.
    """

    programs: int
    customers: int
    upstreams: int
    decision_us: float
    pick_us: float
    bytes_per_program: float


class Load:
    """A scheduler that knows many programs, `ACTIVE` of which are under way.

    Each active program has one request waiting or running; its successor
    takes its place after `TURNS` turns.
    """

    def __init__(self, programs, customers, upstreams):
        self.customers = customers
        limits = [UpstreamLimits(f"u{n}", 16, 64_000) for n in range(upstreams)]
        self.scheduler = Scheduler(limits)
        self.running = deque()
        self.requests = 0
        self.program = 0
        for _ in range(programs):
            self.submit(self.program, 0)
            self.finish()
            self.program += 1
        for _ in range(ACTIVE):
            self.program += 1
            self.submit(self.program, 0)

    @property
    def now(self):
        """float: Virtual seconds."""
        return self.requests * SECONDS_A_REQUEST

    def submit(self, program, turn):
        """Submit the next request of a program."""
        self.requests += 1
        request = SlotRequest(
            program=f"p{program}",
            root=f"p{program}",
            customer=f"c{program % self.customers}",
            pool="models",
            prefix_tokens=400 * turn,
            new_tokens=300,
            output_tokens=100,
            request_id=f"r{self.requests}",
        )
        self.take(self.scheduler.submit(request, self.now))

    def finish(self):
        """End the request that runs longest; return its `SlotRequest`."""
        request = self.running.popleft()
        self.take(self.scheduler.finish(request.request_id, 100, None, self.now))
        return request

    def step(self):
        """End one request and submit the next of its program or another."""
        request = self.finish()
        turn = request.prefix_tokens // 400 + 1
        if turn < TURNS:
            self.submit(int(request.program[1:]), turn)
            return
        self.take(self.scheduler.end_program(request.program, self.now))
        self.program += 1
        self.submit(self.program, 0)

    def take(self, actions):
        """Note what was granted."""
        for action in actions:
            if isinstance(action, Grant):
                self.running.append(action.request)


def time_pick(upstreams):
    """Return the microseconds in which a program's group is found."""
    rows = [SimpleNamespace(name=f"u{n}") for n in range(upstreams)]
    groups = split_groups(SimpleNamespace(name="models", upstreams=rows))
    start = time.perf_counter()
    for number in range(DECISIONS):
        pick_group(groups, f"p{number}")
    return (time.perf_counter() - start) / DECISIONS * 1e6


def measure(programs, customers, upstreams):
    """Return the `Cost` at some sizes."""
    group = min(upstreams, MAX_GROUP_SIZE)
    size = 0
    if programs <= TRACED_PROGRAMS:
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
        time_pick(upstreams),
        size / programs,
    )


def main():
    """Measure all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", help="file for all figures")
    options = parser.parse_args()
    sizes = [(n, USUAL_CUSTOMERS, MAX_GROUP_SIZE) for n in PROGRAMS]
    sizes += [(USUAL_PROGRAMS, n, MAX_GROUP_SIZE) for n in CUSTOMERS]
    sizes += [(USUAL_PROGRAMS, USUAL_CUSTOMERS, n) for n in UPSTREAMS]
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
