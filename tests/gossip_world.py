"""Entry and history hosts that exchange heartbeats in virtual time."""

import heapq
import itertools
import random
from types import SimpleNamespace

from sapphireyard.fleet.generated_fleet import HostProfile
from sapphireyard.fleet.gossip import Gossip
from sapphireyard.fleet.membership import ENTRY, HISTORY
from sapphireyard.fleet.quotas import FleetQuotas
from sapphireyard.fleet.rotation import Rotation

DELAY_SECONDS = 0.002
LOSS = 0.01
"""Share of datagrams that are lost."""
RECENT_SECONDS = 1.5
NEW_RUN_HEARTBEATS = 30


class VirtualClock:
    """A clock that the world sets."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class World:
    """Hosts and the datagrams in transit.

    Parameters
    ----------
    sizes : list of (str, float)
        Failure domain and cores of each entry host.
    copies : int, optional
        Number of history hosts.
    seed : int, optional
        Seed of losses and start times.
    loss : float, optional
        Share of datagrams that are lost.

    Attributes
    ----------
    cut : callable
        ``cut(a, b)`` returns whether datagrams from host a to host b are lost.
    find_quota : callable
        Returns the `QuotaRule` of a customer; None without customers.
    sent : list of (str, str, int)
        Sender, receiver and bytes of each datagram.
    """

    def __init__(self, sizes, *, copies=0, seed=1, loss=LOSS):
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.loss = loss
        self.cut = lambda a, b: False
        self.find_quota = None
        self.sent = []
        self.hosts = {}
        self._events = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self.profiles = []
        for number, (domain, cores) in enumerate(sizes):
            name = f"entry-{number:03}"
            self.profiles.append(
                HostProfile(name, f"{name}:1", ENTRY, domain, f"{name}:80", cores)
            )
        domains = sorted({domain for domain, _ in sizes})
        for number in range(copies):
            name = f"copy-{number:02}"
            domain = domains[number % len(domains)]
            self.profiles.append(HostProfile(name, f"{name}:1", HISTORY, domain))
        self._by_name = {profile.host: profile for profile in self.profiles}

    def start_all(self, *, registered=True):
        """Start all hosts within 0.3 s."""
        for profile in self.profiles:
            self.schedule(
                self.random.uniform(0.0, 0.3), self.start, profile.host, registered
            )

    def start(self, name, registered=True):
        """Start or restart a host."""
        self.hosts[name] = Host(
            self, self._by_name[name], next(self._incarnations), registered
        )

    def kill(self, *names):
        """Stop hosts without notice."""
        for name in names:
            self.hosts.pop(name).stopped = True

    def schedule(self, seconds, action, *arguments):
        """Call `action` after some seconds."""
        item = (self.clock.now + seconds, next(self._order), action, arguments)
        heapq.heappush(self._events, item)

    def run(self, seconds):
        """Run the world for some seconds."""
        end = self.clock.now + seconds
        while self._events and self._events[0][0] < end:
            at, _, action, arguments = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, at)
            action(*arguments)
        self.clock.now = end

    def transmit(self, sender, address, payload):
        """Carry a datagram."""
        receiver = address[0]
        self.sent.append((sender, receiver, len(payload)))
        if self.cut(sender, receiver) or self.random.random() < self.loss:
            return
        self.schedule(DELAY_SECONDS, self._deliver, receiver, payload)

    def list_active(self):
        """Return the names of the running hosts that are active."""
        return {
            name
            for name, host in self.hosts.items()
            if host.rotation is not None and host.rotation.active
        }

    def _deliver(self, receiver, payload):
        host = self.hosts.get(receiver)
        if host is not None:
            host.gossip._receive(payload)


class Host:
    """One host; its call rate and whether it is leaving are set by tests."""

    def __init__(self, world, profile, incarnation, registered):
        self.world = world
        self.profile = profile
        self.registered = registered
        self.stopped = False
        self.leaving = False
        self.call_rate = 0.0
        self.directory = []
        self.quotas = FleetQuotas(started_at=world.clock.now)
        settings = SimpleNamespace(
            peer_address=profile.address,
            role=profile.role,
            failure_domain=profile.failure_domain,
        )
        runtime = SimpleNamespace(
            host=profile.host,
            incarnation=incarnation,
            settings=settings,
            clock=world.clock,
        )
        self.gossip = Gossip(
            runtime, describe=self._describe, describe_directory=self._list_addresses
        )
        self.membership = self.gossip.membership
        self.rotation = None
        if profile.role == ENTRY:
            self.rotation = self.gossip.rotation = Rotation(
                profile, self.membership, world.clock.now
            )
            self.gossip.on_beat(self._update_rotation)
        self.gossip._transport = SimpleNamespace(
            sendto=lambda payload, address: world.transmit(
                profile.host, address, payload
            )
        )
        self.gossip.on_heartbeat(self._handle_heartbeat)
        if registered:
            self.membership.set_profiles(world.profiles)
        self._beat()

    def read_registry(self):
        """Read the registered hosts."""
        self.membership.set_profiles(self.world.profiles)
        self.registered = True

    def _beat(self):
        if self.stopped:
            return
        self.gossip.send()
        self.world.schedule(self.gossip.interval, self._beat)

    def _update_rotation(self, now):
        was_active = self.rotation.active
        self.rotation.update(
            now,
            call_rate=self.call_rate,
            leaving=self.leaving,
            registered=self.registered,
        )
        if self.rotation.active and not was_active:
            self.quotas.restart(now)
        if not self.rotation.active or self.world.find_quota is None:
            return
        known, live = self.membership.count_fleet(now)
        self.quotas.set_fleet(
            known,
            live,
            admitting=len(self.membership.list_active(now)) + 1,
            count_seconds=self.membership.heartbeat_seconds,
            now=now,
        )

    def _describe(self, now, full):
        if self.profile.role == HISTORY:
            return {"ready": True}
        known, live = self.membership.count_domain(now)
        return {
            "cores": self.profile.cores,
            "caller_address": self.profile.caller_address,
            "active": self.rotation.active,
            "rotation": self.rotation.names,
            "call_rate": self.call_rate,
            "domain_known": known,
            "domain_live": live,
            "leaving": self.leaving,
            "ready": True,
            "admitted": (
                self.quotas.counts()
                if full
                else self.quotas.changed_counts(now - RECENT_SECONDS)
            ),
        }

    def _list_addresses(self):
        now = self.world.clock.now
        others = [m.heartbeat.caller_address for m in self.membership.list_active(now)]
        return [self.profile.caller_address, *others]

    def _handle_heartbeat(self, member, now):
        heartbeat = member.heartbeat
        if heartbeat.directory:
            self.directory = heartbeat.directory
        if heartbeat.role != ENTRY or self.world.find_quota is None:
            return
        self.quotas.merge_counts(
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.admitted,
            self.world.find_quota,
            now,
            absence=member.absence,
            new=heartbeat.number <= NEW_RUN_HEARTBEATS,
            full=heartbeat.full,
        )
