"""Order of requests by what their delay costs, and the shares that all keep."""

import unittest
from collections import deque

from hypothesis import given, settings, strategies as st

from sapphireyard.scheduling.capacity import UpstreamLimits
from sapphireyard.scheduling.scheduler import Scheduler
from sapphireyard.scheduling.scheduling import Grant, SchedulerOptions, SlotRequest
from sapphireyard.scheduling.urgency import SHARE_PROGRAMS, UrgencyOrder

OPTIONS = SchedulerOptions(fair=False, urgency=True, hold_new=False, refuse=False)


def make_request(number, *, priority=0, aim_at=1.0, started=False, tokens=100):
    """Return a request of a program of its own, which is not one of the shared ones."""
    rank = UrgencyOrder().rank
    request = SlotRequest(
        program=f"p{number}",
        root=f"p{number}",
        customer=f"c{number % 7}",
        pool="models",
        new_tokens=tokens,
        priority=priority,
        aim_at=aim_at,
        started=started,
        request_id=f"r{number}",
    )
    return request if rank(request) == priority else None


def find_requests(count, **fields):
    """Return `count` requests that are ordered by their own priority."""
    found = (make_request(number, **fields) for number in range(10_000))
    return [each for each, _ in zip(filter(None, found), range(count))]


class UrgencyTest(unittest.TestCase):
    def test_what_costs_least_waits(self):
        """Cases are the fields of two requests; the first one arrives later."""
        cases = [
            ({"priority": 0, "aim_at": 9.0}, {"priority": 1, "started": True}),
            ({"started": True, "aim_at": 9.0}, {"aim_at": 1.0}),
            ({"aim_at": 1.0}, {"aim_at": 1.1}),
            ({"priority": 1, "started": True}, {"priority": 1}),
        ]
        for first, second in cases:
            with self.subTest(first=first, second=second):
                order = UrgencyOrder()
                (later,) = find_requests(1, **second)
                (sooner,) = find_requests(1, **first)
                key = order.key(later, 0.0)
                self.assertLess(order.key(sooner, 0.5), key)

    def test_equal_requests_go_by_arrival(self):
        order = UrgencyOrder()
        requests = find_requests(5)
        keys = [order.key(each, 0.0) for each in requests]
        self.assertEqual(keys, sorted(keys))

    @settings(derandomize=True, deadline=None, database=None, max_examples=10)
    @given(
        st.integers(1, 4),
        st.integers(0, 1_000),
        st.sampled_from([50, 500, 5_000]),
    )
    def test_lower_priorities_keep_a_share_in_any_surge(self, priority, first, tokens):
        """Two in three programs are of the highest priority, and all slots are taken.

        Requests that are not served before the queue has turned over are given up.
        """
        scheduler = Scheduler([UpstreamLimits("u1", 4, 100_000)], options=OPTIONS)
        running = deque()
        served = set()
        programs = 1_200
        for number in range(programs):
            urgent = number % 3
            request = SlotRequest(
                program=f"p{first + number}",
                root=f"p{first + number}",
                customer="c",
                pool="models",
                new_tokens=100 if urgent else tokens,
                priority=0 if urgent else priority,
                aim_at=1.0 + number * 0.01,
                request_id=f"r{number}",
            )
            actions = scheduler.submit(request, number * 0.01)
            if number % 2 and len(running) == 4:
                done = running.popleft()
                actions += scheduler.finish(done, 1, None, number * 0.01)
            granted = [a.request.request_id for a in actions if isinstance(a, Grant)]
            running += granted
            served.update(int(request_id[1:]) for request_id in granted)
        lower = [number for number in range(programs) if number % 3 == 0]
        share = len(served.intersection(lower)) / len(lower)
        everyone = len(served) / programs
        self.assertGreater(share, everyone / 4)

    def test_a_program_keeps_its_rank_on_all_hosts(self):
        for number in range(100):
            request = SlotRequest(f"p{number}", f"p{number}", "c", "m", priority=2)
            ranks = {UrgencyOrder().rank(request) for _ in range(3)}
            self.assertEqual(len(ranks), 1)

    def test_one_in_so_many_programs_is_ordered_like_the_highest(self):
        requests = [
            SlotRequest(f"p{n}", f"p{n}", "c", "m", priority=2) for n in range(800)
        ]
        ranks = [UrgencyOrder().rank(request) for request in requests]
        self.assertAlmostEqual(ranks.count(0), 800 / SHARE_PROGRAMS, delta=40)


if __name__ == "__main__":
    unittest.main()
