"""Requests in flight on upstreams over all hosts."""

import unittest

from sapphireyard.exchange.loads import NO_LOAD, FleetLoads, Load


class FleetLoadsTest(unittest.TestCase):
    def test_own_load_ends_with_its_requests(self):
        loads = FleetLoads()
        loads.acquire("a", 100)
        loads.acquire("a", 200)
        loads.acquire("plain", 0)
        self.assertEqual(loads.count_running(), {"a": 2, "plain": 1})
        self.assertEqual(loads.count_tokens(), {"a": 300})
        for name, tokens in (("a", 100), ("a", 200), ("plain", 0)):
            loads.release(name, tokens)
        self.assertEqual(loads.count_running(), {})
        self.assertEqual(loads.count_tokens(), {})

    def test_reports_of_other_hosts_replace_each_other(self):
        """Cases are reports, then the upstreams that change and the load on each."""
        cases = [
            ("b", {"a": 1}, {"a": 500}, {"a"}, {"a": Load(1, 500)}),
            ("b", {"a": 1}, {"a": 500}, set(), {"a": Load(1, 500)}),
            ("c", {"a": 2}, {"a": 300}, {"a"}, {"a": Load(3, 800)}),
            ("c", {"a": 2}, {"a": 400}, {"a"}, {"a": Load(3, 900)}),
            ("b", {"d": 1}, {}, {"a", "d"}, {"a": Load(2, 400), "d": Load(1, 0)}),
            ("c", {}, {}, {"a"}, {"a": NO_LOAD, "d": Load(1, 0)}),
        ]
        loads = FleetLoads()
        for number, (host, running, reserved, changed, expected) in enumerate(cases):
            with self.subTest(number=number):
                self.assertEqual({*loads.replace(host, running, reserved)}, changed)
                for name, load in expected.items():
                    self.assertEqual(loads.find_others(name), load)

    def test_load_of_a_silent_host_is_dropped(self):
        loads = FleetLoads()
        loads.replace("b", {"a": 1}, {"a": 500})
        loads.replace("c", {"a": 1}, {"a": 200})
        self.assertEqual(loads.drop("b"), ["a"])
        self.assertEqual(loads.find_others("a"), Load(1, 200))
        self.assertEqual(loads.hosts, ["c"])


if __name__ == "__main__":
    unittest.main()
