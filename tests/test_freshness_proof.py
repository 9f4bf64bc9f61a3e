"""Freshness of a host's configuration, and the hosts to which callers are directed."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.configuration import Configuration
from sapphireyard.exchange.routes import RouteTable
from sapphireyard.fleet.datagrams import HeartbeatEncoder, decode_heartbeat
from sapphireyard.fleet.directory import Candidate, choose_addresses
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.gossip import Gossip
from sapphireyard.fleet.membership import ENTRY, HISTORY, Membership


class VirtualClock:
    """A clock that is set by the test."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


def build_heartbeat(**fields):
    """Return a heartbeat of host ``b``."""
    values = {
        "host": "b",
        "incarnation": 1,
        "number": 1,
        "address": "127.0.0.1:1",
        "role": ENTRY,
        "failure_domain": "a",
    }
    return Heartbeat(**{**values, **fields})


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock()
        self.configuration = Configuration(self.clock, withdrawal_seconds=5.0)

    def test_keys_are_refused_without_a_confirmation_in_time(self):
        self.configuration.apply(RouteTable(version=3))
        self.configuration.confirm(sent_at=100.0)
        for now, fresh in ((100.0, True), (104.8, True), (104.95, False), (130, False)):
            with self.subTest(now):
                self.clock.now = now
                self.assertEqual(self.configuration.fresh, fresh)

    def test_nothing_is_served_before_the_first_version(self):
        with self.assertRaises(CallError) as caught:
            self.configuration.check()
        self.assertEqual(caught.exception.status, 503)

    def test_older_version_is_not_taken(self):
        self.configuration.apply(RouteTable(version=3))
        self.configuration.apply(RouteTable(version=2))
        self.assertEqual(self.configuration.table.version, 3)

    def test_unknown_things_are_refused_for_good_only_while_sure(self):
        self.configuration.apply(RouteTable(version=3))
        self.configuration.confirm(sent_at=100.0)
        for now, status in ((101.0, 401), (103.0, 503)):
            with self.subTest(now):
                self.clock.now = now
                error = self.configuration.build_refusal("key_unknown", "no such key")
                self.assertEqual(error.status, status)

    def test_confirmations_of_other_hosts(self):
        cases = [
            ("the same version", 3, 0.5, 103.0, 102.5),
            ("no read there", 3, -1.0, 103.0, 100.0),
            ("no proof of its time", 3, 0.5, None, 100.0),
            ("newer than here", 4, 0.1, 103.0, 100.0),
            ("older than here", 2, 0.1, 103.0, 100.0),
            ("older read than ours", 3, 4.0, 103.0, 100.0),
        ]
        for name, version, age, answered_at, confirmed_at in cases:
            with self.subTest(name):
                self.setUp()
                self.configuration.apply(RouteTable(version=3))
                self.configuration.confirm(sent_at=100.0)
                self.clock.now = 104.0
                self.configuration.confirm_by_peer(version, age, answered_at)
                self.assertAlmostEqual(self.configuration.age, 104.0 - confirmed_at)

    def test_what_other_hosts_are_told(self):
        """A version that no heartbeat can carry must not be told as another one."""
        for version, told in (
            (3, 3),
            (2**63 - 1, 2**63 - 1),
            (2**63, 0),
            (10**400, 0),
        ):
            with self.subTest(version):
                self.setUp()
                self.configuration.apply(RouteTable(version=version))
                self.configuration.confirm(sent_at=99.0)
                fields = self.configuration.describe()
                age = 1.0 if told else -1.0
                self.assertEqual(list(fields.values()), [told, age])
                payload = HeartbeatEncoder(build_heartbeat(**fields)).encode([])
                heartbeat = decode_heartbeat(payload)
                self.assertEqual(heartbeat.configuration_version, told)

    def test_newer_version_of_another_host_is_noticed(self):
        self.configuration.apply(RouteTable(version=3))
        for version, outdated in ((2, False), (3, False), (4, True)):
            with self.subTest(version):
                self.configuration.confirm_by_peer(version, 0.1, 99.0)
                self.assertEqual(self.configuration.outdated, outdated)
        self.configuration.apply(RouteTable(version=4))
        self.assertFalse(self.configuration.outdated)


class GossipProofTest(unittest.TestCase):
    def test_heartbeat_was_written_after_the_one_that_it_names(self):
        clock = VirtualClock()
        sent = []
        settings = SimpleNamespace(
            peer_address="127.0.0.1:1", role=ENTRY, failure_domain="a"
        )
        runtime = SimpleNamespace(
            host="a", incarnation=7, settings=settings, clock=clock
        )
        gossip = Gossip(runtime, describe=lambda now, full: {})
        gossip._transport = SimpleNamespace(sendto=lambda *parts: sent.append(parts))
        for _ in range(150):
            gossip.send()
            clock.now += 0.1
        cases = [
            ("answers the 120th", [7, 120], 111.9),
            ("answers an earlier run", [6, 120], None),
            ("answers one that is forgotten", [7, 2], None),
            ("answers nothing", [], None),
        ]
        for number, (name, answer, expected) in enumerate(cases, 1):
            with self.subTest(name):
                heartbeat = build_heartbeat(number=number, answer=answer)
                member = gossip.membership.record_heartbeat(heartbeat, clock.now)
                answered_at = gossip.answered_since(member)
                if expected is None:
                    self.assertIsNone(answered_at)
                else:
                    self.assertAlmostEqual(answered_at, expected)


class HeartbeatTest(unittest.TestCase):
    def test_heartbeats_to_entry_hosts_and_copies(self):
        """Entry hosts send each third beat to copies too; copies send each to all."""
        for role, beats in (
            (ENTRY, {"entry": 12, "copy": 4}),
            (HISTORY, {"entry": 12, "copy": 12}),
        ):
            with self.subTest(role):
                sent = []
                settings = SimpleNamespace(
                    peer_address="127.0.0.1:1", role=role, failure_domain="a"
                )
                runtime = SimpleNamespace(
                    host="a", incarnation=1, settings=settings, clock=VirtualClock()
                )
                gossip = Gossip(runtime, describe=lambda now, full: {})
                gossip._transport = SimpleNamespace(
                    sendto=lambda data, address: sent.append(address[0])
                )
                for name, kind in (("entry", ENTRY), ("copy", HISTORY)):
                    heartbeat = build_heartbeat(
                        host=name, role=kind, address=f"{name}:1"
                    )
                    gossip.membership.record_heartbeat(heartbeat, runtime.clock.now)
                for _ in range(12):
                    gossip.send()
                self.assertEqual({n: sent.count(n) for n in beats}, beats)


class MembershipTest(unittest.TestCase):
    def test_outdated_heartbeats_are_ignored(self):
        cases = [
            ("next", (1, 2), 0.1, True),
            ("repeated", (1, 1), 0.1, False),
            ("overtaken", (1, 0), 0.1, False),
            ("new run", (2, 1), 0.1, True),
            ("late one of an earlier run", (0, 9), 0.1, False),
            ("new run after the time of day was set back", (0, 1), 3.0, True),
        ]
        for name, (incarnation, number), later, counts in cases:
            with self.subTest(name):
                membership = Membership("a")
                membership.record_heartbeat(build_heartbeat(), 10.0)
                heartbeat = build_heartbeat(incarnation=incarnation, number=number)
                member = membership.record_heartbeat(heartbeat, 10.0 + later)
                self.assertEqual(member is not None, counts)

    def test_absence_begins_once_a_host_counts_as_out_of_touch(self):
        for later, absence in ((0.1, 0.0), (0.7, 0.0), (2.7, 2.0)):
            with self.subTest(later):
                membership = Membership("a")
                membership.record_heartbeat(build_heartbeat(), 10.0)
                member = membership.record_heartbeat(
                    build_heartbeat(number=2), 10.0 + later
                )
                self.assertAlmostEqual(member.absence, absence)


class DirectoryTest(unittest.TestCase):
    def test_best_available_hosts_are_chosen(self):
        good = Candidate("good", True, False, 0.5)
        alone = Candidate("alone", True, False, 4.0)
        stale = Candidate("stale", False, False, 9.0)
        fresh_start = Candidate("new", False, False, -1.0)
        leaving = Candidate("leaving", True, True, 0.5)
        cut = Candidate("cut", True, False, 0.5, False)
        cases = [
            ([good, cut], ["good"]),
            ([cut, alone], ["cut", "alone"]),
            ([good, alone, stale, leaving], ["good"]),
            ([alone, stale, leaving], ["alone"]),
            ([stale, fresh_start, leaving], ["stale", "new"]),
            ([leaving], []),
        ]
        for candidates, expected in cases:
            with self.subTest(expected):
                self.assertEqual(choose_addresses(candidates), expected)

    def test_slow_hosts_are_left_out(self):
        cases = [
            ([1.0, 1.2, 0.8, 5.0], [0, 1, 2]),
            ([1.0, 1.2, 0.8, 2.0], [0, 1, 2, 3]),
            ([1.0, 5.0, 5.0, 5.0], [0, 1, 2, 3]),
            ([5.0], [0]),
            ([0.0, 0.0, 0.0], [0, 1, 2]),
        ]
        for efforts, expected in cases:
            with self.subTest(efforts):
                candidates = [
                    Candidate(number, True, False, 0.5, True, effort / 1000)
                    for number, effort in enumerate(efforts)
                ]
                candidates = [
                    replace(each, address=f"host-{each.address}") for each in candidates
                ]
                names = [f"host-{number}" for number in expected]
                self.assertEqual(choose_addresses(candidates), names)


if __name__ == "__main__":
    unittest.main()
