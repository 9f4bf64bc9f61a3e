"""Renews this host's member object and watches those of other hosts."""

import asyncio
from collections import defaultdict

from mode import Service

from sapphireyard.exceptions import StoreConflict, StoreUnavailable
from sapphireyard.journal.generated_replication import Heartbeat
from sapphireyard.ownership.failure_detector import FailureDetector
from sapphireyard.ownership.members import MemberObjects, MemberRecord

HEARTBEAT_SECONDS = 0.5
"""Interval between heartbeats."""

CHECK_SECONDS = 0.5
"""Interval between checks for member objects that are due to be read."""


class MembershipService(Service):
    """This host's membership, and its observations of other members.

    Parameters
    ----------
    runtime : Runtime
        Provides store, settings, clock, peers and ownership.
    """

    def __init__(self, runtime):
        super().__init__()
        self.runtime = runtime
        self.detector = FailureDetector(
            runtime.host,
            renewal_seconds=runtime.settings.renewal_seconds,
            expiry_seconds=runtime.settings.expiry_seconds,
        )
        self._members = MemberObjects(runtime.store)
        self._member = None
        self._renewed_at = float("-inf")
        self._attempted_at = float("-inf")
        self._store_out = False
        self._peer_reached_store_at = float("-inf")
        self._request_rounds = 0

    @property
    def store_out(self):
        """bool: Whether the store did not answer the last renewal."""
        return self._store_out

    def is_valid(self, now):
        """Return whether no other host can have sealed this one by `now`.

        This holds for the expiry time after the start of the last successful
        renewal. It also holds during a store outage while this host receives
        heartbeats from more than half of the failure domains (its own
        included) and no sender reaches the store, since sealing needs the
        store. A partitioned minority cannot tell whether others reach the
        store, hence the majority. The last failed renewal must not be older
        than the expiry time either.
        """
        expiry = self.runtime.settings.expiry_seconds
        if now - self._renewed_at < expiry:
            return True
        if not self._store_out or now - self._attempted_at > expiry:
            return False
        if now - self._peer_reached_store_at <= self.detector.silence_seconds:
            return False
        return self._is_majority_live(now)

    def _is_majority_live(self, now):
        """Return whether more than half of the failure domains send heartbeats."""
        assignment = self.runtime.ownership.assignment
        if assignment is None:
            return False
        domains = {member.failure_domain for member in assignment.members.values()}
        live_domains = {self.runtime.settings.failure_domain}
        for member in assignment.members.values():
            known = self.detector.is_known(member.host)
            if known and not self.detector.is_silent(member.host, now):
                live_domains.add(member.failure_domain)
        return 2 * len(live_domains & domains) > len(domains)

    async def start_incarnation(self):
        """Claim and return the next incarnation.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        """
        started = self.runtime.clock.monotonic()
        self._member = await self._members.take_incarnation(self.runtime.host)
        self._renewed_at = self._attempted_at = started
        self._store_out = False
        return self._member.record.incarnation

    async def renew(self):
        """Renew the member object; on a conflict, check whether it was sealed."""
        if self._member is None:
            return
        member = self._member
        started = self.runtime.clock.monotonic()
        record = MemberRecord(
            self.runtime.host,
            member.record.incarnation,
            stored_number=self.runtime.journal.stored_number,
        )
        try:
            async with asyncio.timeout(self.runtime.settings.renewal_seconds):
                renewed = await self._members.write(record, member.version)
        except (StoreUnavailable, TimeoutError):
            self._store_out = True
            self._attempted_at = self.runtime.clock.monotonic()
            return
        except StoreConflict:
            await self._resolve_conflict(member)
            return
        if self._member is not member:
            return
        self._member = renewed
        self._renewed_at = self._attempted_at = started
        self._store_out = False

    async def _resolve_conflict(self, member):
        """Keep the object if an unanswered renewal caused the conflict.

        Otherwise another host is sealing this incarnation, or a later one was
        started: give up all ownership.
        """
        try:
            current = await self._members.read(self.runtime.host)
        except StoreUnavailable:
            return
        if self._member is not member:
            return
        same = current.record.incarnation == member.record.incarnation
        if same and not current.record.sealed_by:
            self._member = current
            return
        self._member = None
        self.runtime.ownership.handle_seal()

    async def find_expired(self):
        """Read the member objects that are due; return the expired hosts.

        Returns
        -------
        list of (host, incarnation, version)
        """
        now = self.runtime.clock.monotonic()
        hosts = self.detector.hosts_to_read(now)
        found = await asyncio.gather(*map(self._read_member, hosts))
        for host, member in zip(hosts, found):
            if member is None:
                self.detector.record_read_failure(host)
            else:
                self.detector.record_version(host, member.version, now)
        return self.detector.expired(self.runtime.clock.monotonic())

    async def _read_member(self, host):
        try:
            async with asyncio.timeout(self.runtime.settings.renewal_seconds):
                return await self._members.read(host)
        except (StoreUnavailable, TimeoutError):
            return None

    def send_heartbeats(self, extra=()):
        """Send heartbeats to the receivers on the ring and to `extra` hosts.

        While the store is unavailable, one host of each other failure domain
        is asked for a heartbeat in return.
        """
        if self.runtime.peers is None:
            return
        receivers = self.detector.receivers(self.runtime.clock.monotonic())
        for host in dict.fromkeys([*receivers, *extra]):
            self.runtime.peers.tell(host, self._build_heartbeat())
        if self._store_out:
            self._request_heartbeats()

    def _build_heartbeat(self, *, reply=False):
        return Heartbeat(
            self.runtime.host,
            self.runtime.incarnation,
            assignment=self.runtime.ownership.version,
            store_out=self._store_out,
            reply=reply,
        )

    def _request_heartbeats(self):
        """Request a heartbeat from one host of each other domain, in rotation."""
        assignment = self.runtime.ownership.assignment
        hosts = defaultdict(list)
        for member in assignment.members.values() if assignment else ():
            hosts[member.failure_domain].append(member.host)
        hosts.pop(self.runtime.settings.failure_domain, None)
        self._request_rounds += 1
        for names in hosts.values():
            host = sorted(names)[self._request_rounds % len(names)]
            self.runtime.peers.tell(host, self._build_heartbeat(reply=True))

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat from another host; reply with one if requested."""
        now = self.runtime.clock.monotonic()
        self.detector.record_heartbeat(heartbeat.host, heartbeat.incarnation, now)
        if not heartbeat.store_out:
            self._peer_reached_store_at = now
        if heartbeat.reply:
            self.runtime.peers.tell(heartbeat.host, self._build_heartbeat())

    @Service.task
    async def _renew_periodically(self):
        while not self.should_stop:
            await self.sleep(self.runtime.settings.renewal_seconds)
            await self.renew()

    @Service.task
    async def _send_heartbeats_periodically(self):
        while not self.should_stop:
            self.send_heartbeats()
            await self.sleep(HEARTBEAT_SECONDS)

    @Service.task
    async def _check_periodically(self):
        while not self.should_stop:
            await self.sleep(CHECK_SECONDS)
            expired = await self.find_expired()
            if expired:
                await self.runtime.ownership.take_over(expired)
