"""Random delays, losses and pauses against the freshness bound of configurations.

Hosts read a store and exchange heartbeats in virtual time. Whatever is delayed, no
host may accept keys of a version for longer than the bound after a newer version was
acknowledged.
"""

import heapq
import itertools
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from sapphireyard.exchange.configuration import Configuration
from sapphireyard.exchange.routes import RouteTable
from sapphireyard.fleet.gossip import Gossip
from sapphireyard.fleet.membership import ENTRY
from tests.test_freshness_proof import VirtualClock

HOSTS = 4
BOUND_SECONDS = 5.0
RUN_SECONDS = 60.0
BEAT_SECONDS = 0.1
READ_SECONDS = 0.9
CHANGE_SECONDS = 4.0
"""Mean time between two versions."""
MAX_DELAY_SECONDS = 9.0
"""Longest delay of a datagram, or of a call to the store."""
SEEDS = range(25)


class World:
    """Hosts, their store, and the messages in transit."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self._events = []
        self._order = itertools.count()
        self.acknowledged = {1: self.clock.now}
        self.version = 1
        self.hosts = {}
        for number in range(HOSTS):
            host = Host(f"h{number}", self)
            self.hosts[host.gossip.address] = host

    def schedule(self, seconds, action, *arguments):
        """Call `action` after some seconds."""
        item = (self.clock.now + seconds, next(self._order), action, arguments)
        heapq.heappush(self._events, item)

    def choose_delay(self):
        """Return the delay of a message: short for most."""
        if self.random.random() < 0.1:
            return self.random.uniform(0.0, MAX_DELAY_SECONDS)
        return 0.002

    def run(self):
        """Run the simulation; return how often keys were accepted."""
        end = self.clock.now + RUN_SECONDS
        self.schedule(self.random.expovariate(1 / CHANGE_SECONDS), self.change)
        for host in self.hosts.values():
            self.schedule(0.0, host.send_heartbeat)
            self.schedule(self.random.random(), host.read)
            self.schedule(self.random.expovariate(0.1), host.pause)
        accepted = 0
        while self._events and self.clock.now < end:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            action(*arguments)
            accepted += sum(self.check(host) for host in self.hosts.values())
        return accepted

    def change(self):
        """The operator withdraws keys by a new version."""
        self.version += 1
        self.acknowledged[self.version] = self.clock.now
        self.schedule(self.random.expovariate(1 / CHANGE_SECONDS), self.change)

    def check(self, host):
        """Return whether a host accepts keys; raise if it must not."""
        if host.paused or not host.configuration.fresh:
            return False
        newer = self.acknowledged.get(host.configuration.table.version + 1)
        if newer is not None and self.clock.now - newer > BOUND_SECONDS:
            age = self.clock.now - newer
            raise AssertionError(f"keys accepted {age:.2f} s after a newer version")
        return True


class Host:
    """One entry host; what arrives while it is paused is handled afterwards."""

    def __init__(self, name, world):
        self.world = world
        self.paused = False
        self._waiting = []
        address = f"{name}:1"
        settings = SimpleNamespace(peer_address=address, role=ENTRY, failure_domain="a")
        runtime = SimpleNamespace(
            host=name, incarnation=1, settings=settings, clock=world.clock
        )
        self.configuration = Configuration(
            world.clock, withdrawal_seconds=BOUND_SECONDS
        )
        self.gossip = Gossip(runtime, describe=self.describe)
        self.gossip.address = address
        self.gossip._transport = SimpleNamespace(sendto=self.send)
        for number in range(HOSTS):
            self.gossip.membership.add_seed(f"h{number}:1")
        self.gossip.on_heartbeat(self.confirm_from_peer)

    def describe(self, now, full):
        configuration = self.configuration
        return {
            "configuration_version": configuration.table.version,
            "configuration_age": configuration.age if configuration.loaded else -1.0,
        }

    def send_heartbeat(self):
        if not self.paused:
            self.gossip.send()
        self.world.schedule(BEAT_SECONDS, self.send_heartbeat)

    def send(self, payload, address):
        if self.world.random.random() < 0.1:
            return
        receiver = self.world.hosts[f"{address[0]}:{address[1]}"]
        action = receiver.gossip._receive
        self.world.schedule(
            self.world.choose_delay(), receiver.receive, action, payload
        )

    def confirm_from_peer(self, member, now):
        self.configuration.confirm_by_peer(
            member.heartbeat.configuration_version,
            member.heartbeat.configuration_age,
            self.gossip.answered_since(member),
        )

    def read(self):
        """Ask the store, unless the last confirmation is recent enough."""
        if not self.paused and self.configuration.age > READ_SECONDS:
            sent_at = self.world.clock.now
            self.world.schedule(self.world.choose_delay(), self.answer, sent_at)
        self.world.schedule(self.world.random.uniform(0.2, 0.6), self.read)

    def answer(self, sent_at):
        """Let the store read its version and send the answer."""
        version = self.world.version
        self.world.schedule(
            self.world.choose_delay(), self.receive, self.confirm, version, sent_at
        )

    def confirm(self, version, sent_at):
        self.configuration.apply(RouteTable(version=version))
        self.configuration.confirm(sent_at)

    def receive(self, action, *arguments):
        """Handle a message that arrives."""
        if self.paused:
            self._waiting.append((action, arguments))
        else:
            action(*arguments)

    def pause(self):
        self.paused = True
        self.world.schedule(self.world.random.uniform(0.5, 8.0), self.resume)

    def resume(self):
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for action, arguments in waiting:
            action(*arguments)
        self.world.schedule(self.world.random.expovariate(0.1), self.pause)


class FreshnessMachineTest(unittest.TestCase):
    def test_no_version_is_used_beyond_the_bound(self):
        for seed in SEEDS:
            with self.subTest(seed):
                self.assertGreater(World(seed).run(), 1000)

    def test_broken_proofs_are_found(self):
        """Ages are counted from arrivals, not from when the request was sent."""

        def confirm_now(configuration, sent_at):
            configuration._confirmed_at = configuration._clock.monotonic()

        def answered_now(gossip, member):
            return gossip._now()

        for place, broken in (
            ("sapphireyard.exchange.configuration.Configuration.confirm", confirm_now),
            ("sapphireyard.fleet.gossip.Gossip.answered_since", answered_now),
        ):
            with self.subTest(place), mock.patch(place, broken):
                with self.assertRaises(AssertionError):
                    for seed in SEEDS:
                        World(seed).run()
