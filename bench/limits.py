"""Compares fleet-wide rate limits with a static split, in virtual time.

Run ``python -m bench.limits --seed 1 --json limits.json``. Customers call one
or two of eight hosts; one customer sends five times its rate; the home of the
largest customer fails halfway through. A refusal is wrongful if one exact
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

from bench.limit_costs import measure_costs
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
NOISY_CUSTOMER = "medium-1"
LOAD = 0.7
"""Call rate as a multiple of the customer's rate limit."""
NOISY_LOAD = 5.0
DEADLINE_SECONDS = 5.0
LONG_DEADLINE_SECONDS = 30.0
REMOVAL_SECONDS = 7.0
"""Time from the failure of a host until the others know that it is sealed."""
ASK_TIMEOUT_SECONDS = 0.5
START_SECONDS = 3.0
"""Time before the first call, during which the homes open."""


@dataclass
class Call:
    """A call of a customer, and its outcome.

    ``lost`` marks calls that were waiting at the failed host;
    ``exactly_admitted`` those that one fleet-wide bucket would admit.
    """

    customer: str
    host: str
    at: float
    admitted_at: float | None = None
    lost: bool = False
    exactly_admitted: bool = False


@dataclass
class Result:
    """Outcome of one customer's calls in one run, without lost calls.

    ``wrongful`` counts refused calls that one exact bucket would have admitted
    (not counted for the customer over its rate),
    ``shortfall`` how many fewer calls were admitted than by that bucket, and
    ``over_admitted`` the largest excess over the rule in any window.
    """

    calls: int = 0
    admitted: int = 0
    refused: int = 0
    wrongful: int = 0
    shortfall: int = 0
    over_admitted: float = 0.0
    wait_p50_ms: float = 0.0
    wait_p99_ms: float = 0.0


def generate_calls(seed, seconds, dies_at, dead_host):
    """Return the calls of all customers by time, none to a failed host."""
    generator = random.Random(seed)
    calls = []
    for customer, rule in RULES.items():
        used_hosts = generator.sample(HOSTS, 2)
        load = NOISY_LOAD if customer == NOISY_CUSTOMER else LOAD
        now = START_SECONDS
        while now < START_SECONDS + seconds:
            now += generator.expovariate(rule.rate * load)
            host = used_hosts[generator.random() < 0.2]
            if now >= dies_at and host == dead_host:
                host = used_hosts[used_hosts[0] == dead_host]
            calls.append(Call(customer, host, now))
    calls.sort(key=lambda call: call.at)
    return calls


class Fleet:
    """Eight hosts that enforce rates together, over links with latency."""

    def __init__(
        self,
        calls,
        link_seconds,
        dies_at,
        dead_host,
        *,
        deadline_seconds=DEADLINE_SECONDS,
    ):
        self.link_seconds = link_seconds
        self.deadline_seconds = deadline_seconds
        self.dead_host = dead_host
        self.dies_at = dies_at
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.messages_sent = 0
        self.waiting = {}
        self.wake_times = {}
        self.trackers = {host: HomeTracker(host) for host in HOSTS}
        self.homes = {host: RateHome(self.trackers[host]) for host in HOSTS}
        self.holders = {host: TokenHolder() for host in HOSTS}
        for host in HOSTS:
            self.change_view(host, 1, HOSTS)
            for other in HOSTS:
                self.trackers[host].acknowledge(other, 1, 0.0)
        survivors = [host for host in HOSTS if host != dead_host]
        for host in survivors:
            at = dies_at + REMOVAL_SECONDS
            self.call_at(at, self.change_view, host, 2, survivors)
        for call in calls:
            self.call_at(call.at, self.issue, call)

    def call_at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.sequence), action, arguments))

    def run(self):
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        for call in self.waiting.values():
            call.lost = call.host == self.dead_host
        return self

    def is_dead(self, host):
        return host == self.dead_host and self.now >= self.dies_at

    def change_view(self, host, version, hosts):
        view = View(version, dict.fromkeys(hosts, 1), frozenset(hosts))
        self.homes[host].change_view(view, self.now)

    def issue(self, call):
        holder = self.holders[call.host]
        waiter = holder.acquire(
            call.customer,
            RULES[call.customer],
            self.now,
            deadline=self.now + self.deadline_seconds,
        )
        if waiter.admitted:
            call.admitted_at = self.now
        elif not waiter.decided:
            self.waiting[waiter] = call
        self.step(call.host)

    def step(self, host):
        """Handle what is due at a host's holder, and schedule the next step."""
        if self.is_dead(host):
            return
        holder = self.holders[host]
        for ask in holder.poll(RULES.get, self.now):
            home = self.trackers[host].home(ask.customer)
            self.call_at(self.now + ASK_TIMEOUT_SECONDS, self.time_out, host, ask)
            self.send(host, home, self.receive_ask, home, host, ask)
        for waiter in holder.take_decided():
            call = self.waiting.pop(waiter)
            call.admitted_at = self.now if waiter.admitted else None
        due = holder.next_due
        if due < self.wake_times.get(host, float("inf")):
            self.wake_times[host] = due
            self.call_at(max(due, self.now), self.wake, host)

    def wake(self, host):
        self.wake_times.pop(host, None)
        self.step(host)

    def send(self, sender, receiver, action, *arguments):
        if sender != receiver:
            self.messages_sent += 1
        if not self.is_dead(receiver):
            link_seconds = 0.0 if sender == receiver else self.link_seconds
            self.call_at(self.now + link_seconds, action, *arguments)

    def receive_ask(self, home, host, ask):
        if self.is_dead(home):
            return
        rule = RULES[ask.customer]
        grant = self.homes[home].ask(host, 1, ask, rule, self.now, valid=True)
        self.send(home, host, self.receive_grant, host, ask.customer, grant)

    def receive_grant(self, host, customer, grant):
        self.holders[host].answer(customer, grant, RULES[customer], self.now)
        self.step(host)

    def time_out(self, host, ask):
        self.holders[host].fail(ask.customer, ask.number, self.now)
        self.step(host)


def split_rule(rule):
    """Return a host's share of a rule.

    The burst is at least one, since a lower one would admit nothing.
    """
    return Rule(rule.rate / len(HOSTS), max(1.0, rule.burst / len(HOSTS)))


def run_static(calls):
    """Admit calls by per-host buckets of rate/N and burst/N.

    Calls wait for up to their deadline, as in `Fleet`.
    """
    # When each bucket will be full again.
    full_times = {}
    for call in calls:
        rule = split_rule(RULES[call.customer])
        key = call.customer, call.host
        full_at = full_times.get(key, call.at)
        admitted_at = max(call.at, full_at - (rule.burst - 1) / rule.rate)
        if admitted_at - call.at > DEADLINE_SECONDS:
            continue
        call.admitted_at = admitted_at
        full_times[key] = max(full_at, admitted_at) + 1 / rule.rate


def mark_exact_admissions(calls):
    """Mark calls that one fleet-wide bucket would admit without waiting."""
    levels = {}
    for call in calls:
        rule = RULES[call.customer]
        level, at = levels.get(call.customer, (rule.burst, call.at))
        level = min(rule.burst, level + rule.rate * (call.at - at))
        call.exactly_admitted = level >= 1
        levels[call.customer] = level - call.exactly_admitted, call.at


def find_over_admission(times, rule):
    """Return the largest excess of calls over burst + rate * w in any window w."""
    level, at, worst = rule.burst, 0.0, 0.0
    for now in sorted(times):
        level = min(rule.burst, level + rule.rate * (now - at)) - 1
        worst = max(worst, -level)
        at = now
    return round(worst, 3) if worst > 1e-6 else 0.0


def summarise(calls):
    """Return the `Result` of each customer."""
    results = {}
    for customer, rule in RULES.items():
        own = [call for call in calls if call.customer == customer and not call.lost]
        admitted = [call for call in own if call.admitted_at is not None]
        refused = [call for call in own if call.admitted_at is None]
        waits = sorted(1000 * (call.admitted_at - call.at) for call in admitted)
        exact = sum(call.exactly_admitted for call in own)
        wrongful = sum(call.exactly_admitted for call in refused)
        results[customer] = Result(
            calls=len(own),
            admitted=len(admitted),
            refused=len(refused),
            wrongful=0 if customer == NOISY_CUSTOMER else wrongful,
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
    """Return the `Report` of all variants and sizes."""
    command = f"python -m bench.limits --seed {seed} --seconds {seconds:g}"
    report = Report(command, seed, seconds)
    dead_host = choose_home("large-1", HOSTS)
    dies_at = START_SECONDS + seconds / 2
    variants = [
        ("shared, 1.5 ms", 0.0015, dies_at, DEADLINE_SECONDS),
        ("shared, 3 ms", 0.003, dies_at, DEADLINE_SECONDS),
        ("shared, 1.5 ms, 30 s deadline", 0.0015, dies_at, LONG_DEADLINE_SECONDS),
        ("shared, 1.5 ms, no death", 0.0015, float("inf"), DEADLINE_SECONDS),
    ]
    for name, link_seconds, death_at, deadline_seconds in variants:
        calls = generate_calls(seed, seconds, death_at, dead_host)
        mark_exact_admissions(calls)
        fleet = Fleet(
            calls, link_seconds, death_at, dead_host, deadline_seconds=deadline_seconds
        ).run()
        report.runs[name] = summarise(calls)
        rate = fleet.messages_sent / len(HOSTS) / seconds
        report.messages_per_host_second[name] = round(rate, 1)
    calls = generate_calls(seed, seconds, dies_at, dead_host)
    mark_exact_admissions(calls)
    run_static(calls)
    report.runs["static rate/N"] = summarise(calls)
    report.slopes = measure_costs()
    return report


def print_table(report):
    """Print the report as tables."""
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
    for cost in report.slopes:
        print(json.dumps(asdict(cost)))


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
