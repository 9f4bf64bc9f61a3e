"""Tests of the number of heartbeats in a fleet, and of who watches whom."""

import unittest

from sapphireyard.ownership.failure_detector import WATCHED_HOSTS, FailureDetector

HEARTBEAT_SECONDS = 0.5
ROUNDS = 20


class Ring:
    """Failure detectors of a fleet; heartbeats arrive without delay."""

    def __init__(self, count):
        names = [f"host-{number}" for number in range(count)]
        self.now = 0.0
        self.dead = set()
        self.detectors = {
            name: FailureDetector(name, renewal_seconds=2.0, expiry_seconds=6.0)
            for name in names
        }
        for detector in self.detectors.values():
            detector.update_members(dict.fromkeys(names, 1), self.now)

    def run(self, rounds):
        """Exchange heartbeats; return the most sent by one host in the last round."""
        for _ in range(rounds):
            self.now += HEARTBEAT_SECONDS
            receivers = {
                name: detector.receivers(self.now)
                for name, detector in self.detectors.items()
                if name not in self.dead
            }
            for name, hosts in receivers.items():
                for host in set(hosts) - self.dead:
                    self.detectors[host].record_heartbeat(name, 1, self.now)
        return max(len(hosts) for hosts in receivers.values())

    def watchers_of(self, host):
        """Return the live hosts that watch `host`."""
        return {
            name
            for name, detector in self.detectors.items()
            if name not in self.dead and host in detector.watched(self.now)
        }


class HeartbeatTest(unittest.TestCase):
    def test_heartbeats_per_host_do_not_grow_with_the_fleet(self):
        for count in (8, 40, 410):
            with self.subTest(count=count):
                self.assertLessEqual(Ring(count).run(ROUNDS), 2 * WATCHED_HOSTS)

    def test_dead_hosts_are_watched_by_live_ones(self):
        ring = Ring(40)
        ring.run(ROUNDS)
        ordered = ring.detectors["host-0"]._ring
        ring.dead = set(ordered[5:15])
        ring.run(ROUNDS)
        for host in ring.dead:
            with self.subTest(host=host):
                self.assertTrue(ring.watchers_of(host))
                for watcher in ring.watchers_of(host):
                    detector = ring.detectors[watcher]
                    self.assertTrue(detector.is_silent(host, ring.now))
