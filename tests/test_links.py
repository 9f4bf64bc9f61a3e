"""Links to upstreams: which are down, and when a host is isolated."""

import unittest

from sapphireyard.fleet.directory import Candidate, choose_addresses
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, Member
from sapphireyard.fleet.relays import list_relays, rank_relays
from sapphireyard.upstreams.links import MAX_PROBE_SECONDS, SAMPLE_LINKS, Links

TICK_SECONDS = 0.1
PROBE_SECONDS = 0.3
"""Time until a probe without an answer has failed."""


class Network:
    """Answers the probes of a host's links, in virtual time."""

    def __init__(self, count):
        self.names = [f"up-{number}" for number in range(count)]
        self.links = Links(seed=1)
        self.links.set_upstreams(dict.fromkeys(self.names, 0.0))
        self.cut = set()
        self.probes = []
        self.now = 100.0
        self._failing = []

    def run(self, seconds):
        """Let time pass; probes of links that are cut get no answer."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for name, tried_at in list(self._failing):
                if self.now - tried_at >= PROBE_SECONDS:
                    self._failing.remove((name, tried_at))
                    self.links.note_failed(name, tried_at, self.now)
            for name in self.links.choose_probes(self.now):
                self.probes.append((self.now, name))
                if name in self.cut:
                    self._failing.append((name, self.now))
                else:
                    self.links.note_connected(name, self.now, self.now)

    def send(self, name):
        """Send a request over a connection that is open; a cut swallows it."""
        self.links.note_pending(name, 1, self.now)
        if name not in self.cut:
            self.links.note_heard(name, self.now)
            self.links.note_pending(name, -1, self.now)


class LinksTest(unittest.TestCase):
    def test_one_silent_request_shows_that_a_host_is_cut_off(self):
        """Cases are the number of upstreams."""
        for count in (1, 2, 10, 200):
            with self.subTest(count):
                network = Network(count)
                network.cut = set(network.names)
                network.send(network.names[0])
                network.run(1.5)
                self.assertTrue(network.links.isolated)
                self.assertFalse(any(map(network.links.is_up, network.names)))
                self.assertLessEqual(len(network.probes), 5 * SAMPLE_LINKS)

    def test_failures_of_some_upstreams_do_not_isolate(self):
        """Cases are the upstreams, those that fail, and how many probes may be sent."""
        cases = [(10, 1, 30), (10, 5, 120), (200, 1, 30), (200, 8, 200)]
        for count, failing, max_probes in cases:
            with self.subTest(count=count, failing=failing):
                network = Network(count)
                network.cut = set(network.names[:failing])
                for name in network.cut:
                    network.send(name)
                network.run(10.0)
                self.assertFalse(network.links.isolated)
                self.assertEqual(set(network.links.down), network.cut)
                self.assertLessEqual(len(network.probes), max_probes)

    def test_links_that_are_back_are_used_again(self):
        network = Network(10)
        network.cut = set(network.names)
        network.send(network.names[0])
        network.run(12.0)
        network.cut = set()
        network.run(0.8)
        self.assertFalse(network.links.isolated)
        self.assertEqual(network.links.down, [])
        self.assertTrue(network.links.is_avoided(network.now))
        network.run(1.0)
        self.assertFalse(network.links.is_avoided(network.now))

    def test_upstream_that_pauses_for_a_second_is_used_again(self):
        network = Network(4)
        network.cut = {"up-1"}
        network.send("up-1")
        network.run(1.2)
        network.cut = set()
        network.run(MAX_PROBE_SECONDS)
        self.assertTrue(network.links.is_up("up-1"))

    def test_late_failure_does_not_outweigh_a_newer_connection(self):
        links = Links()
        links.set_upstreams({"a": 0.0})
        links.note_connected("a", 10.2, 10.2)
        links.note_failed("a", 10.0, 10.5)
        self.assertTrue(links.is_up("a"))

    def test_restarted_upstream_starts_afresh(self):
        links = Links()
        links.set_upstreams({"a": 0.0, "b": 0.0})
        links.note_failed("a", 10.0, 10.5)
        links.set_upstreams({"a": 11.0, "b": 0.0})
        self.assertTrue(links.is_up("a"))
        links.note_failed("b", 12.0, 12.0)
        links.choose_probes(20.0)
        self.assertFalse(links.isolated)

    def test_quiet_links_are_not_probed(self):
        network = Network(50)
        network.run(60.0)
        for name in network.names:
            network.send(name)
        network.run(60.0)
        self.assertEqual(network.probes, [])


def build_member(host, **fields):
    values = {"cores": 1.0, "relays": True, **fields}
    domain = values.pop("domain", "x")
    return Member(Heartbeat(host, 1, 1, "-", ENTRY, domain, **values), 0.0)


class RelaysTest(unittest.TestCase):
    def test_hosts_that_do_not_reach_the_upstream_are_not_asked(self):
        cases = [
            ({}, True),
            ({"isolated": True}, False),
            ({"leaving": True}, False),
            ({"unreachable": ["up-1"]}, False),
            ({"unreachable": ["up-2"]}, True),
            ({"relays": False}, False),
        ]
        for fields, asked in cases:
            with self.subTest(fields):
                found = list_relays([build_member("a", **fields)], "up-1")
                self.assertEqual(bool(found), asked)

    def test_requests_are_spread_over_relays_by_their_size(self):
        members = [
            build_member("near", domain="x"),
            build_member("far", domain="y"),
            build_member("large", domain="y", cores=3.0),
        ]
        heartbeats = list_relays(members, "up-1")
        first = [rank_relays(heartbeats, "x")[0] for _ in range(3000)]
        shares = {each: first.count(each) / 3000 for each in set(first)}
        for host, share in {"near": 3 / 7, "large": 3 / 7, "far": 1 / 7}.items():
            self.assertAlmostEqual(shares[host], share, delta=0.06)


class DirectoryTest(unittest.TestCase):
    def test_callers_are_sent_to_hosts_that_reach_upstreams(self):
        """Cases are isolated hosts of eight, and how many addresses are returned."""
        for isolated, returned in ((0, 8), (1, 7), (5, 3), (6, 2), (7, 8), (8, 8)):
            with self.subTest(isolated):
                candidates = [
                    Candidate(
                        f"h{number}", True, False, 0.1, isolated=number < isolated
                    )
                    for number in range(8)
                ]
                self.assertEqual(len(choose_addresses(candidates)), returned)


if __name__ == "__main__":
    unittest.main()
