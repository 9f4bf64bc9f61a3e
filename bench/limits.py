"""Measures the fleet-wide rate beside a static split, in virtual time.

Run ``python -m bench.limits --seed 1 --json limits.json``. Customers call one
or two of eight hosts; one customer sends five times its rate; the home of the
largest customer dies in the middle. A refusal is wrongful when one exact
bucket for the whole fleet would have admitted the call.
"""

import argparse
import heapq
import itertools
import json
import random
import statistics
import sys
from dataclasses import asdict, dataclass, field

from bench.limit_costs import measure_slopes
from sapphireyard.limits.buckets import Rule
from sapphireyard.limits.holders import TokenHolder
from sapphireyard.limits.homes import HomeTracker, View, choose_home
from sapphireyard.limits.limits import RateHome

HOSTS = tuple(f"entry-{number}" for number in range(1, 9))
RULES = {
    "large-1": Rule(400.0, 200.0),
    "large-2": Rule(200.0, 100.0),
    "medium-1": Rule(50.0, 25.0),
    "medium-2": Rule(30.0, 20.0),
    "small-1": Rule(10.0, 10.0),
    "small-2": Rule(10.0, 10.0),
    "small-3": Rule(5.0, 8.0),
    "small-4": Rule(2.0, 5.0),
}
NOISY = "medium-1"
LOAD = 0.7
"""Calls sent in proportion to the rate."""
NOISY_LOAD = 5.0
DEADLINE_SECONDS = 5.0
LATE_DEADLINE_SECONDS = 30.0
REMOVAL_SECONDS = 7.0
"""Time from the death of a host until the others know that it is sealed."""
ASK_TIMEOUT_SECONDS = 0.5
START_SECONDS = 3.0
"""Time before the first call, in which the homes open."""


@dataclass
class Call:
    """One call of a customer and what became of it."""

    customer: str
    host: str
    at: float
    admitted_at: float | None = None
    lost: bool = False
    exact: bool = False


@dataclass
class Result:
    """What one way of limiting did to one customer's calls."""

    calls: int = 0
    admitted: int = 0
    refused: int = 0
    wrongful: int = 0
    shortfall: int = 0
    over_admitted: float = 0.0
    wait_p50_ms: float = 0.0
    wait_p99_ms: float = 0.0


def draw_calls(seed, seconds, dies_at, dead):
    """Return the calls of all customers in order; none to a dead host."""
    source = random.Random(seed)
    calls = []
    for customer, rule in RULES.items():
        reached = source.sample(HOSTS, 2)
        load = NOISY_LOAD if customer == NOISY else LOAD
        now = START_SECONDS
        while now < START_SECONDS + seconds:
            now += source.expovariate(rule.rate * load)
            host = reached[source.random() < 0.2]
            if now >= dies_at and host == dead:
                host = reached[reached[0] == dead]
            calls.append(Call(customer, host, now))
    calls.sort(key=lambda call: call.at)
    return calls


class Fleet:
    """Eight hosts that limit calls together, over links with a delay."""

    def __init__(self, calls, link, dies_at, dead, *, patience=DEADLINE_SECONDS):
        self.link = link
        self.patience = patience
        self.dead = dead
        self.dies_at = dies_at
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.sent = 0
        self.waiting = {}
        self.armed = {}
        self.trackers = {host: HomeTracker(host) for host in HOSTS}
        self.homes = {host: RateHome(self.trackers[host]) for host in HOSTS}
        self.holders = {host: TokenHolder() for host in HOSTS}
        for host in HOSTS:
            self.change_view(host, 1, HOSTS)
            for other in HOSTS:
                self.trackers[host].acknowledge(other, 1, 0.0)
        left = [host for host in HOSTS if host != dead]
        for host in left:
            at = dies_at + REMOVAL_SECONDS
            self.at(at, self.change_view, host, 2, left)
        for call in calls:
            self.at(call.at, self.call, call)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self):
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for call in self.waiting.values():
            call.lost = call.host == self.dead
        return self

    def is_dead(self, host):
        return host == self.dead and self.now >= self.dies_at

    def change_view(self, host, version, hosts):
        view = View(version, dict.fromkeys(hosts, 1), frozenset(hosts))
        self.homes[host].change_view(view, self.now)

    def call(self, call):
        holder = self.holders[call.host]
        waiter = holder.acquire(
            call.customer,
            RULES[call.customer],
            self.now,
            deadline=self.now + self.patience,
        )
        if waiter.admitted:
            call.admitted_at = self.now
        elif not waiter.decided:
            self.waiting[waiter] = call
        self.step(call.host)

    def step(self, host):
        """Do what is due at a holder; come back when more is."""
        if self.is_dead(host):
            return
        holder = self.holders[host]
        for ask in holder.poll(RULES.get, self.now):
            home = self.trackers[host].home(ask.customer)
            self.at(self.now + ASK_TIMEOUT_SECONDS, self.time_out, host, ask)
            self.send(host, home, self.take_ask, home, host, ask)
        for waiter in holder.take_decided():
            call = self.waiting.pop(waiter)
            call.admitted_at = self.now if waiter.admitted else None
        due = holder.next_due
        if due < self.armed.get(host, float("inf")):
            self.armed[host] = due
            self.at(max(due, self.now), self.wake, host)

    def wake(self, host):
        self.armed.pop(host, None)
        self.step(host)

    def send(self, sender, receiver, action, *arguments):
        if sender != receiver:
            self.sent += 1
        if not self.is_dead(receiver):
            link = 0.0 if sender == receiver else self.link
            self.at(self.now + link, action, *arguments)

    def take_ask(self, home, host, ask):
        if self.is_dead(home):
            return
        rule = RULES[ask.customer]
        grant = self.homes[home].ask(host, 1, ask, rule, self.now, valid=True)
        self.send(home, host, self.take_grant, host, ask.customer, grant)

    def take_grant(self, host, customer, grant):
        self.holders[host].answer(customer, grant, RULES[customer], self.now)
        self.step(host)

    def time_out(self, host, ask):
        self.holders[host].fail(ask.customer, ask.number, self.now)
        self.step(host)


def split_rule(rule):
    """Return a host's part of a rule; a burst below one would admit nothing."""
    return Rule(rule.rate / len(HOSTS), max(1.0, rule.burst / len(HOSTS)))


def run_static(calls):
    """Admit calls by buckets of rate/N and burst/N, waiting as the fleet does."""
    ready = {}
    for call in calls:
        rule = split_rule(RULES[call.customer])
        key = call.customer, call.host
        full_at = ready.get(key, call.at)
        admitted_at = max(call.at, full_at - (rule.burst - 1) / rule.rate)
        if admitted_at - call.at > DEADLINE_SECONDS:
            continue
        call.admitted_at = admitted_at
        ready[key] = max(full_at, admitted_at) + 1 / rule.rate


def mark_exact(calls):
    """Note which calls one bucket for the whole fleet admits without a wait."""
    levels = {}
    for call in calls:
        rule = RULES[call.customer]
        level, at = levels.get(call.customer, (rule.burst, call.at))
        level = min(rule.burst, level + rule.rate * (call.at - at))
        call.exact = level >= 1
        levels[call.customer] = level - call.exact, call.at


def find_over_admission(times, rule):
    """Return by how many calls any window exceeds burst + rate * w."""
    level, at, worst = rule.burst, 0.0, 0.0
    for now in sorted(times):
        level = min(rule.burst, level + rule.rate * (now - at)) - 1
        worst = max(worst, -level)
        at = now
    return round(worst, 3) if worst > 1e-6 else 0.0


def judge(calls):
    """Return the `Result` of each customer."""
    results = {}
    for customer, rule in RULES.items():
        own = [call for call in calls if call.customer == customer and not call.lost]
        admitted = [call for call in own if call.admitted_at is not None]
        refused = [call for call in own if call.admitted_at is None]
        waits = sorted(1000 * (call.admitted_at - call.at) for call in admitted)
        exact = sum(call.exact for call in own)
        wrongful = sum(call.exact for call in refused)
        results[customer] = Result(
            calls=len(own),
            admitted=len(admitted),
            refused=len(refused),
            wrongful=0 if customer == NOISY else wrongful,
            shortfall=max(0, exact - len(admitted)),
            over_admitted=find_over_admission(
                [call.admitted_at for call in admitted], rule
            ),
            wait_p50_ms=round(statistics.median(waits), 2),
            wait_p99_ms=round(waits[int(0.99 * len(waits))], 2),
        )
    return results


@dataclass
class Report:
    """One run of the measurement."""

    command: str
    seed: int
    seconds: float
    runs: dict = field(default_factory=dict)
    messages_per_host_second: dict = field(default_factory=dict)
    slopes: list = field(default_factory=list)


def measure(seed, seconds):
    """Return the `Report` of all ways, links and sizes."""
    command = f"python -m bench.limits --seed {seed} --seconds {seconds:g}"
    report = Report(command, seed, seconds)
    dead = choose_home("large-1", HOSTS)
    dies_at = START_SECONDS + seconds / 2
    ways = [
        ("shared, 1.5 ms", 0.0015, dies_at, DEADLINE_SECONDS),
        ("shared, 3 ms", 0.003, dies_at, DEADLINE_SECONDS),
        ("shared, 1.5 ms, 30 s deadline", 0.0015, dies_at, LATE_DEADLINE_SECONDS),
        ("shared, 1.5 ms, no death", 0.0015, float("inf"), DEADLINE_SECONDS),
    ]
    for name, link, death, patience in ways:
        calls = draw_calls(seed, seconds, death, dead)
        mark_exact(calls)
        fleet = Fleet(calls, link, death, dead, patience=patience).run()
        report.runs[name] = judge(calls)
        rate = fleet.sent / len(HOSTS) / seconds
        report.messages_per_host_second[name] = round(rate, 1)
    calls = draw_calls(seed, seconds, dies_at, dead)
    mark_exact(calls)
    run_static(calls)
    report.runs["static rate/N"] = judge(calls)
    report.slopes = measure_slopes()
    return report


def print_table(report):
    """Print the report for people."""
    print(f"{report.command}")
    fields = list(Result.__dataclass_fields__)
    for name, results in report.runs.items():
        print(
            f"\n{name}: {report.messages_per_host_second.get(name, 0)} messages/s/host"
        )
        print("customer  " + " ".join(f"{field:>13}" for field in fields))
        for customer, result in results.items():
            values = " ".join(f"{getattr(result, field):>13}" for field in fields)
            print(f"{customer:<10}{values}")
    print()
    for slope in report.slopes:
        print(json.dumps(asdict(slope)))


def main():
    """Run the measurement; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--json", help="file for the result")
    options = parser.parse_args()
    report = measure(options.seed, options.seconds)
    print_table(report)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(asdict(report), file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
