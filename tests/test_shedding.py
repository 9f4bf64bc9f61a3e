"""Tests of load shedding, with a surge of retrying clients in virtual time."""

import heapq
import itertools
import unittest

from sapphireyard.exceptions import CallError
from sapphireyard.scheduling.shedding import LoadShedder
from sapphireyard.upstreams.retries import RetryBudget

CAPACITY = 100
"""Calls that the pool runs per second."""
CALL_TIMEOUT_SECONDS = 2.0
SURGE = (20.0, 30.0)
"""Start and end of the surge in seconds."""
END = 60.0


class Service:
    """A pool that runs calls in order, even those whose caller timed out.

    Callers retry until 20 seconds after the first attempt.
    """

    def __init__(self, *, shedder, budget):
        self.shedder = shedder
        self.budget = budget
        self.events = []
        self.sequence = itertools.count()
        self.queue = []
        self.arrived = {}
        self.answered = {}

    def schedule(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.sequence), action, arguments))

    def run(self):
        number = 0
        for tick in range(int(END * CAPACITY)):
            now = tick / CAPACITY
            calls = 4 if SURGE[0] <= now < SURGE[1] else 0.8
            while number < self.expected(now, calls):
                self.arrived[number] = now
                self.budget.note_request("r", now)
                self.call(number, now)
                number += 1
            while self.events and self.events[0][0] <= now:
                _, _, action, arguments = heapq.heappop(self.events)
                action(*arguments, now)
            self.serve(now)
        return self

    def expected(self, now, calls):
        """Return the number of calls due to have arrived by `now`."""
        before = min(now, SURGE[0]) * 0.8
        during = max(0.0, min(now, SURGE[1]) - SURGE[0]) * 4
        after = max(0.0, now - SURGE[1]) * 0.8
        return CAPACITY * (before + during + after)

    def call(self, number, now):
        deadline = now + CALL_TIMEOUT_SECONDS
        try:
            if self.shedder:
                self.shedder.enter("p", f"program-{number}", now, deadline=deadline)
        except CallError as error:
            if now - self.arrived[number] < 20.0:
                self.schedule(now + error.retry_after, self.call, number)
            return
        self.queue.append((number, deadline))
        self.schedule(deadline, self.time_out, number)

    def time_out(self, number, now):
        if number in self.answered or now - self.arrived[number] > 20.0:
            return
        if self.budget.may_retry("r", now):
            self.call(number, now)

    def serve(self, now):
        if not self.queue:
            return
        number, deadline = self.queue.pop(0)
        if self.shedder:
            self.shedder.start("p", now)
        if now <= deadline:
            self.answered.setdefault(number, now)

    def fraction_in_time(self, began_at, ended_at):
        """Return the fraction of a period's calls that were answered in time."""
        calls = [n for n, at in self.arrived.items() if began_at <= at < ended_at]
        in_time = [
            n
            for n in calls
            if self.answered.get(n, END) - self.arrived[n] <= CALL_TIMEOUT_SECONDS
        ]
        return len(in_time) / len(calls)


class UnlimitedRetries:
    def note_request(self, route, now):
        pass

    def may_retry(self, route, now):
        return True


class OverloadTest(unittest.TestCase):
    def test_service_recovers_within_seconds_after_a_surge(self):
        cases = [
            ("shedding and a retry budget", LoadShedder(), RetryBudget(), True),
            ("shedding alone", LoadShedder(), UnlimitedRetries(), True),
            ("neither", None, UnlimitedRetries(), False),
        ]
        for name, shedder, budget, recovers in cases:
            with self.subTest(name):
                service = Service(shedder=shedder, budget=budget).run()
                self.assertEqual(service.fraction_in_time(5.0, 15.0), 1.0)
                fraction = service.fraction_in_time(SURGE[1] + 8.0, SURGE[1] + 20.0)
                self.assertEqual(fraction > 0.95, recovers, fraction)


class ShedderTest(unittest.TestCase):
    def fill(self, shedder, *, rate, waiting):
        for tick in range(100):
            shedder.enter("p", "x", tick / rate, deadline=1e9)
            shedder.start("p", tick / rate)
        for _ in range(waiting):
            shedder.enter("p", "x", 99 / rate, deadline=1e9)
        return 99 / rate

    def test_admits_by_expected_wait(self):
        cases = [(5, 4.0, True), (50, 4.0, False), (50, 40.0, True), (0, 0.0, False)]
        for waiting, seconds, admitted in cases:
            with self.subTest(waiting=waiting, seconds=seconds):
                shedder = LoadShedder()
                now = self.fill(shedder, rate=10, waiting=waiting)
                try:
                    shedder.enter("p", "y", now, deadline=now + seconds)
                    entered = True
                except CallError as error:
                    entered = False
                    self.assertEqual(error.code, "overloaded")
                    self.assertEqual(error.executed, "no")
                self.assertEqual(entered, admitted)

    def test_retries_are_spread(self):
        shedder = LoadShedder()
        now = self.fill(shedder, rate=10, waiting=50)
        retries = []
        for number in range(100):
            try:
                shedder.enter("p", f"program-{number}", now, deadline=now + 2.0)
            except CallError as error:
                retries.append(error.retry_after)
        self.assertEqual(len(retries), 100)
        self.assertGreater(min(retries), 3.0)
        quarters = [sum(at // 3.0 == n for at in retries) for n in range(1, 4)]
        self.assertTrue(all(count > 10 for count in quarters), quarters)


if __name__ == "__main__":
    unittest.main()
