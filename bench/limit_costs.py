"""Measures the cost of rate-limit decisions at several sizes."""

import time
import tracemalloc
from dataclasses import dataclass

from sapphireyard.limits.buckets import Rule
from sapphireyard.limits.generated_limits import TokenAsk
from sapphireyard.limits.holders import TokenHolder
from sapphireyard.limits.homes import HomeTracker, View, choose_home
from sapphireyard.limits.limits import RateHome

SIZES = ((8, 8), (100, 8), (1300, 8), (8, 100), (8, 410))
"""Numbers of customers and holders."""
MAX_ASKS = 20_000
RULE = Rule(1000.0, 1000.0)


@dataclass
class LimitCost:
    """Cost of decisions at one size."""

    customers: int
    holders: int
    bytes_home: int = 0
    bytes_holder: int = 0
    microseconds_ask: float = 0.0
    microseconds_acquire: float = 0.0
    microseconds_choose: float = 0.0


def measure_home(cost):
    """Measure a home that answers all holders' asks for all customers."""
    hosts = [f"h{number}" for number in range(cost.holders)]
    tracker = HomeTracker("h0")
    home = RateHome(tracker)
    home.change_view(View(1, {"h0": 1}, frozenset(["h0"])), 0.0)
    asks = 0
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    started = time.perf_counter()
    # The first round is traced to count memory, the second is timed untraced.
    for number in (1, 2):
        for customer in range(cost.customers):
            for host in hosts[: max(1, MAX_ASKS // cost.customers)]:
                ask = TokenAsk(f"c{customer}", number, wanted=1)
                home.ask(host, 1, ask, RULE, 10.0 + number / 10, valid=True)
                asks += 1
        if number == 1:
            cost.bytes_home = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            started, asks = time.perf_counter(), 0
    cost.microseconds_ask = round(1e6 * (time.perf_counter() - started) / asks, 2)


def measure_holder(cost):
    """Measure a holder that admits calls of every customer."""
    holder = TokenHolder()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for customer in range(cost.customers):
        holder.acquire(f"c{customer}", RULE, 0.0, deadline=5.0)
    cost.bytes_holder = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for ask in holder.poll(lambda _: RULE, 0.0):
        home = RateHome(HomeTracker("h0"))
        home.change_view(View(1, {"h0": 1}, frozenset(["h0"])), -9.0)
        grant = home.ask("h0", 1, ask, RULE, 0.0, valid=True)
        grant.tokens = 20
        holder.answer(ask.customer, grant, RULE, 0.0)
    started = time.perf_counter()
    calls = 0
    for _ in range(max(1, min(15, MAX_ASKS // cost.customers))):
        for customer in range(cost.customers):
            holder.acquire(f"c{customer}", RULE, 0.1, deadline=5.0)
            calls += 1
    cost.microseconds_acquire = round(1e6 * (time.perf_counter() - started) / calls, 2)


def measure_choice(cost):
    """Measure the choice of a home without a cached result."""
    hosts = [f"h{number}" for number in range(cost.holders)]
    started = time.perf_counter()
    for customer in range(200):
        choose_home(f"c{customer}", hosts)
    cost.microseconds_choose = round(1e6 * (time.perf_counter() - started) / 200, 2)


def measure_costs():
    """Return the `LimitCost` of each size."""
    costs = []
    for customers, holders in SIZES:
        cost = LimitCost(customers, holders)
        measure_home(cost)
        measure_holder(cost)
        measure_choice(cost)
        costs.append(cost)
    return costs
