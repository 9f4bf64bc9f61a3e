"""Heartbeats between the hosts of a deployment, as datagrams.

Active entry hosts send each heartbeat to all others, and some of them to the copies
of histories. Standby hosts exchange one heartbeat a second with two active hosts of
their failure domain. Counts are totals, so that the next heartbeat makes up for a lost
one; most heartbeats have only those totals that changed in the last second or so.
"""

import asyncio
import contextlib
import logging
from collections import OrderedDict

import mode

from sapphireyard.addresses import parse_port
from sapphireyard.exceptions import PeerError
from sapphireyard.fleet.datagrams import HeartbeatEncoder, decode_heartbeat
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, HISTORY, Membership
from sapphireyard.fleet.rotation import list_expected

logger = logging.getLogger(__name__)

HEARTBEAT_SECONDS = 0.1
"""Interval of active hosts in a small fleet. Bounds the age of other hosts' load."""
HOSTS_AT_SHORTEST_INTERVAL = 8
"""Active hosts from which the interval grows with their number, so that the heartbeats
that a host receives do not."""
MAX_HEARTBEAT_SECONDS = 0.4
STANDBY_SECONDS = 1.0
"""Interval of the heartbeats between a standby host and active ones."""
HISTORY_BEATS = 3
"""Copies send and receive every third heartbeat: they share no load, and their
silence matters only from one second on."""
FULL_BEATS = 20
"""Every twentieth heartbeat to a host has all totals."""
FIRST_FULL_BEATS = 3
"""So have the first ones to a host that has started or become active, as one of them
may be lost."""
EFFORT_SMOOTHING = 0.15
"""Weight of the newest heartbeat in the effort: the average reflects about 1 s."""
REMEMBERED_BEATS = 100
"""Heartbeats whose send time is remembered: ten seconds or more, longer than any bound
that they are used to prove."""


class Gossip(mode.Service):
    """Sends this host's heartbeats to the other hosts and receives theirs.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process that this belongs to.
    describe : callable
        ``describe(now, full)`` returns a dict of the heartbeat fields that this
        process sets; with all totals, or only those that changed recently.
    describe_directory : callable, optional
        Returns the IP:PORT of the hosts to which callers are to be sent.
    rotation : Rotation, optional
        Decides whether this host is active; None on hosts that are no entry hosts.
    """

    def __init__(self, runtime, *, describe, describe_directory=list, rotation=None):
        super().__init__()
        self._runtime = runtime
        self._describe = describe
        self._describe_directory = describe_directory
        self._transport = None
        self._number = 0
        self._listeners = []
        self._beat_listeners = []
        self._silent_hosts = set()
        self._sent_at = OrderedDict()
        self._full_counts = {}
        self._advertised_at = float("-inf")
        self._advertised = []
        self._effort = 0.0
        self._contacts = []
        self._due = asyncio.Event()
        self.rotation = rotation
        self.membership = Membership(runtime.host, runtime.settings.failure_domain)
        self.membership.active = runtime.settings.role != HISTORY
        self._was_active = self.membership.active

    @property
    def interval(self):
        """float: Seconds between this host's heartbeats."""
        if self._runtime.settings.role == HISTORY:
            return HISTORY_BEATS * HEARTBEAT_SECONDS
        if not self.membership.active:
            return STANDBY_SECONDS
        return self.membership.heartbeat_seconds

    @property
    def effort(self):
        """float: Smoothed seconds that it takes to build a heartbeat."""
        return self._effort

    def on_heartbeat(self, listener):
        """Call ``listener(member, now)`` for each new heartbeat."""
        self._listeners.append(listener)

    def on_beat(self, listener):
        """Call ``listener(now)`` before each heartbeat of this host."""
        self._beat_listeners.append(listener)

    def answered_since(self, member):
        """Return a time before which a member cannot have written its heartbeat.

        The heartbeat names one of this host's heartbeats, which the member had
        received: however late it arrives, it was written after that one was sent.

        Returns
        -------
        float or None
            Monotonic seconds of this host; None if there is no such proof.
        """
        answer = member.heartbeat.answer
        if len(answer) != 2 or answer[0] != self._runtime.incarnation:
            return None
        return self._sent_at.get(answer[1])

    async def on_start(self):
        ip, port = self._runtime.settings.peer_address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._receive), local_addr=(ip, int(port))
        )

    async def on_stop(self):
        if self._transport is not None:
            self._transport.close()

    @mode.Service.task
    async def _beat(self):
        while not self.should_stop:
            self._due.clear()
            self.send()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.interval):
                    await self._due.wait()

    def beat_now(self):
        """Send the next heartbeat without waiting for its time."""
        self._due.set()

    def send(self):
        """Send one heartbeat to the hosts whose turn it is."""
        now = self._now()
        self._note_silence(now)
        for listener in self._beat_listeners:
            listener(now)
        if self.membership.active and not self._was_active:
            self.beat_now()  # from now on at the interval of active hosts
        self._was_active = self.membership.active
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > REMEMBERED_BEATS:
            self._sent_at.popitem(last=False)
        receivers = self._choose_receivers(now)
        encoders = {}
        for host in receivers:
            full = self._is_full(host)
            if full not in encoders:
                encoders[full] = HeartbeatEncoder(self._build_heartbeat(now, full))
            self._send_to(host, encoders[full])
        for address in self.membership.list_seeds():
            encoder = HeartbeatEncoder(self._build_heartbeat(now, True))
            self._send_payload(address, encoder.encode([]))
        self._note_effort(self._now() - now)
        self._advertise(now)

    def _build_heartbeat(self, now, full):
        settings = self._runtime.settings
        return Heartbeat(
            host=self._runtime.host,
            incarnation=self._runtime.incarnation,
            number=self._number,
            address=settings.peer_address,
            role=settings.role,
            failure_domain=settings.failure_domain,
            effort=self._effort,
            full=full,
            activation=self.rotation.activation if self.rotation else 0,
            outgoing=self.rotation.outgoing if self.rotation else [],
            **self._describe(now, full),
        )

    def _send_to(self, host, encoder):
        payload = encoder.encode(self.membership.heard_number(host))
        self._send_payload(self.membership.find_address(host), payload)

    def _send_payload(self, address, payload):
        ip, _, port = address.rpartition(":")
        try:
            self._transport.sendto(payload, (ip, parse_port(port)))
        except ValueError as error:
            logger.warning("no heartbeat to %.40s: %s", address, error)

    def _is_full(self, host):
        """Return whether the next heartbeat to a host has all totals."""
        member = self.membership.find(host)
        run = None
        if member is not None:
            heartbeat = member.heartbeat
            run = heartbeat.incarnation, heartbeat.active, heartbeat.activation
        known, count = self._full_counts.get(host, (None, 0))
        if run != known:
            count = 0
        self._full_counts[host] = run, count + 1
        return count < FIRST_FULL_BEATS or count % FULL_BEATS == 0

    def _note_effort(self, seconds):
        weight = EFFORT_SMOOTHING if self._number > 1 else 1.0
        self._effort += weight * (seconds - self._effort)

    def _choose_receivers(self, now):
        """Return the hosts that get the next heartbeat, without standby hosts."""
        if self._runtime.settings.role == HISTORY:
            return self._list_active(now) | self._list_hosts(HISTORY)
        if not self.membership.active:
            return set(self.rotation.list_contacts(now)) - {self._runtime.host}
        receivers = self._list_active(now)
        longer = (len(receivers) + 1) / HOSTS_AT_SHORTEST_INTERVAL
        self.membership.heartbeat_seconds = min(
            MAX_HEARTBEAT_SECONDS, HEARTBEAT_SECONDS * max(1.0, longer)
        )
        if self._number % HISTORY_BEATS == 0:
            receivers |= self._list_hosts(HISTORY)
        return receivers

    def _list_active(self, now):
        """Return the other entry hosts that are active, or are to be.

        Hosts that join in several domains at once, or on both sides of a partition,
        are neither expected by the registered order nor heard by each other; other
        hosts of their domains are, and name them.
        """
        known = self.membership.list_known(ENTRY)
        active = {m.heartbeat.host for m in known if m.heartbeat.active}
        named = {
            host
            for member in known
            if member.heartbeat.active and self.membership.is_live(member, now)
            for host in (*member.heartbeat.rotation, *member.heartbeat.outgoing)
            if self.membership.find_address(host) is not None
        }
        expected = set(list_expected(self.membership))
        return (active | named | expected) - {self._runtime.host}

    def _list_hosts(self, role):
        """Return the other hosts with a role, registered or heard."""
        registered = {
            host for host, p in self.membership.profiles.items() if p.role == role
        }
        return registered | {m.heartbeat.host for m in self.membership.list_known(role)}

    def _list_standby(self):
        """Return the standby hosts of the own domain, registered or heard."""
        domain = self._runtime.settings.failure_domain
        known = self.membership.list_known(ENTRY, domain=domain)
        registered = {p.host for p in self.membership.list_registered(domain)}
        active = {m.heartbeat.host for m in known if m.heartbeat.active}
        heard = {m.heartbeat.host for m in known}
        return (registered | heard) - active - {self._runtime.host}

    def _advertise(self, now):
        """Send a heartbeat to the standby hosts of the own domain."""
        if self.rotation is None or not self.rotation.advertises(now):
            return
        due = now - self._advertised_at >= STANDBY_SECONDS - self.interval / 2
        if not due and self._advertised == self.rotation.names:
            return
        standby = self._list_standby()
        self._advertised_at = now
        self._advertised = self.rotation.names
        if not standby:
            return
        heartbeat = self._build_heartbeat(now, True)
        heartbeat.admitted = heartbeat.running = {}
        heartbeat.kept_parts = heartbeat.reserved = {}
        heartbeat.granted = heartbeat.granted_tokens = {}
        heartbeat.full = False
        heartbeat.directory = self._describe_directory()
        encoder = HeartbeatEncoder(heartbeat)
        for host in standby:
            self._send_to(host, encoder)

    def _receive(self, payload):
        try:
            heartbeat = decode_heartbeat(payload)
        except PeerError as error:
            logger.warning("datagram rejected: %s", error)
            return
        now = self._now()
        member = self.membership.record_heartbeat(heartbeat, now)
        if member is None:
            return
        if heartbeat.host in self._silent_hosts:
            self._silent_hosts.discard(heartbeat.host)
            logger.info("host is back in touch", extra={"peer": heartbeat.host})
        for listener in self._listeners:
            listener(member, now)
        if self.rotation is not None and not self.membership.active:
            self._answer_at_once(now)

    def _answer_at_once(self, now):
        """Send a heartbeat if other hosts than before are to hear this one."""
        contacts = self.rotation.list_contacts(now)
        if self.rotation.is_named(now) or contacts != self._contacts:
            self._contacts = contacts
            self.send()

    def _note_silence(self, now):
        for host in self.membership.remove_silent(now):
            self._silent_hosts.discard(host)
            logger.info("host is forgotten", extra={"peer": host})
            self._full_counts.pop(host, None)
        for role in (ENTRY, HISTORY):
            for member in self.membership.list_known(role):
                if not (self.membership.active or member.heartbeat.active):
                    continue  # standby hosts do not hear each other
                host = member.heartbeat.host
                if host in self._silent_hosts or self.membership.is_live(member, now):
                    continue
                self._silent_hosts.add(host)
                logger.info("host is out of touch", extra={"peer": host})

    def _now(self):
        return self._runtime.clock.monotonic()


class _Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams to `receive`; failed sends show as silence of this host."""

    def __init__(self, receive):
        self._receive = receive

    def datagram_received(self, data, address):
        self._receive(data)
