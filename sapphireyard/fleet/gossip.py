"""Heartbeats between all hosts of a deployment, as datagrams.

Every heartbeat carries totals, so the next one makes up for a lost datagram. In a
small fleet each heartbeat goes to all hosts, in a large one to some hosts in turn.
"""

import asyncio
import logging
import math
import random
from collections import OrderedDict

import mode
import msgpack

from sapphireyard.exceptions import PeerError
from sapphireyard.fleet import generated_fleet
from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import ENTRY, HISTORY, Membership
from sapphireyard.streams.frames import MessageCodec

logger = logging.getLogger(__name__)

HEARTBEAT_SECONDS = 0.1
"""Bounds the age of other hosts' load; six 0.3 kB datagrams a beat at 7 hosts."""
FANOUT = 16
"""Maximum number of entry hosts that get one heartbeat. A host then receives some
160 a second in a fleet of any size; today's fleets are smaller and not affected."""
HISTORY_BEATS = 3
"""Copies send and receive every third heartbeat: they share no load, and their
silence matters only from one second on."""
INTRODUCTION_BEATS = 10
"""Every tenth heartbeat lists the other hosts."""
EFFORT_SMOOTHING = 0.15
"""Weight of the newest heartbeat in the effort: the average reflects about 1 s."""
REMEMBERED_BEATS = 100
"""Heartbeats whose send time is remembered: ten seconds, longer than any bound that
they are used to prove."""


class Gossip(mode.Service):
    """Sends this host's heartbeats to the other hosts and receives theirs.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process that this belongs to.
    describe : callable
        ``describe(now)`` returns a dict of the heartbeat fields that this process
        sets.
    """

    def __init__(self, runtime, *, describe):
        super().__init__()
        self._runtime = runtime
        self._describe = describe
        self._codec = MessageCodec()
        self._codec.register_module(generated_fleet)
        self._transport = None
        self._number = 0
        beats = HISTORY_BEATS if runtime.settings.role == HISTORY else 1
        self._interval = beats * HEARTBEAT_SECONDS
        self._listeners = []
        self._silent_hosts = set()
        self._sent_at = OrderedDict()
        self._effort = 0.0
        self._rotation = random.random()  # hosts start with different receivers
        self.membership = Membership(runtime.host)

    def on_heartbeat(self, listener):
        """Call ``listener(member, now)`` for each new heartbeat."""
        self._listeners.append(listener)

    def add_peer(self, host, address):
        """Add a host to which heartbeats are sent."""
        self.membership.add_address(host, address, self._now())

    def answered_since(self, member):
        """Return a time before which a member cannot have written its heartbeat.

        The heartbeat names one of this host's heartbeats, which the member had
        received: however late it arrives, it was written after that one was sent.

        Returns
        -------
        float or None
            Monotonic seconds of this host; None if there is no such proof.
        """
        incarnation, number = member.heartbeat.heard.get(self._runtime.host, (0, 0))
        if incarnation != self._runtime.incarnation:
            return None
        return self._sent_at.get(number)

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
            self.send()
            await asyncio.sleep(self._interval)

    def send(self):
        """Send one heartbeat to the hosts whose turn it is."""
        now = self._now()
        self._note_silence(now)
        receivers = self._choose_receivers()
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > REMEMBERED_BEATS:
            self._sent_at.popitem(last=False)
        heartbeat = Heartbeat(
            host=self._runtime.host,
            incarnation=self._runtime.incarnation,
            number=self._number,
            address=self._runtime.settings.peer_address,
            role=self._runtime.settings.role,
            failure_domain=self._runtime.settings.failure_domain,
            heard=self._list_heard(receivers),
            effort=self._effort,
            **self._describe(now),
        )
        if self._number % INTRODUCTION_BEATS == 1:
            heartbeat.known = self.membership.list_addresses()
        payload = msgpack.packb(self._codec.dump(heartbeat))
        for address in set(receivers.values()):
            ip, port = address.rsplit(":", 1)
            self._transport.sendto(payload, (ip, int(port)))
        self._note_effort(self._now() - now)

    @property
    def fanout_rounds(self):
        """int: Beats from one heartbeat to the same entry host to the next."""
        return self.membership.fanout_rounds

    @property
    def effort(self):
        """float: Smoothed seconds that it takes to build a heartbeat."""
        return self._effort

    def _note_effort(self, seconds):
        weight = EFFORT_SMOOTHING if self._number > 1 else 1.0
        self._effort += weight * (seconds - self._effort)

    def _choose_receivers(self):
        """Return the addresses, by host, that get the next heartbeat.

        Handles large fleets, in which heartbeats from every host to every host
        would cost more than the callers' requests.
        """
        addresses = self.membership.list_receivers()
        copies = {m.heartbeat.host for m in self.membership.list_known(HISTORY)}
        others = sorted(addresses.keys() - copies)
        rounds = self.membership.fanout_rounds = max(1, math.ceil(len(others) / FANOUT))
        if self._runtime.settings.role == HISTORY:
            return addresses
        if rounds > 1:
            self._rotation = (self._rotation + FANOUT / len(others)) % 1
            first = int(self._rotation * len(others))
            others = (others + others)[first : first + FANOUT]
        chosen = set(others)
        if self._number % (HISTORY_BEATS * rounds) == 0:
            chosen |= copies
        return {host: addresses[host] for host in chosen if host in addresses}

    def _list_heard(self, receivers):
        """Return the receivers' newest heartbeats, which prove how recent this one is.

        Copies neither send nor get this proof, as they confirm no configuration.
        """
        if self._runtime.settings.role == HISTORY:
            return {}
        entries = {m.heartbeat.host for m in self.membership.list_known(ENTRY)}
        return self.membership.heard_numbers(entries & receivers.keys())

    def _receive(self, payload):
        try:
            heartbeat = self._codec.load(*msgpack.unpackb(payload))
        except (ValueError, TypeError, msgpack.UnpackException, PeerError) as error:
            logger.warning("invalid datagram: %s", error)
            return
        now = self._now()
        for known in heartbeat.known:
            self.membership.add_address(known.host, known.address, now)
        member = self.membership.record_heartbeat(heartbeat, now)
        if member is None:
            return
        if heartbeat.host in self._silent_hosts:
            self._silent_hosts.discard(heartbeat.host)
            logger.info("host is back in touch", extra={"peer": heartbeat.host})
        for listener in self._listeners:
            listener(member, now)

    def _note_silence(self, now):
        for host in self.membership.remove_silent(now):
            self._silent_hosts.discard(host)
            logger.info("host is forgotten", extra={"peer": host})
        for role in (ENTRY, HISTORY):
            for member in self.membership.list_known(role):
                host = member.heartbeat.host
                if host in self._silent_hosts:
                    continue
                if now - member.heard_at > self.membership.silence_limit(role):
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
