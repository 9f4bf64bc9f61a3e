"""This host's role in the assignment: joining, serving, recovering, leaving."""

import asyncio
import contextlib
from dataclasses import dataclass

from mode import Service

from sapphireyard._hashing import hash_text
from sapphireyard.exceptions import (
    CallError,
    JournalSealed,
    NotOwner,
    PeerError,
    PeerUnavailable,
    RecordError,
    StoreConflict,
    StoreUnavailable,
)
from sapphireyard.journal.generated_replication import FetchAssignment
from sapphireyard.journal.tails import TailHolder
from sapphireyard.ownership.assignment import rank_tail_holders
from sapphireyard.ownership.assignment_codec import decode_assignment
from sapphireyard.ownership.assignment_store import AssignmentStore
from sapphireyard.ownership.membership import MembershipService
from sapphireyard.ownership.moves import QUIESCE_SECONDS, PartitionMover
from sapphireyard.ownership.ownership_handlers import OwnershipHandlers
from sapphireyard.ownership.recovery import Recovery
from sapphireyard.ownership.roster import Roster

RETRY_SECONDS = 0.5
"""Wait before a failed step is retried."""

FETCH_SECONDS = 2.0
"""Timeout of fetching the assignment from a peer."""

POLL_FACTOR = 5
"""Interval between reads of the assignment from the store, in expiry times."""

GOSSIP_HOSTS = 2
"""Number of hosts that are notified at once of a new assignment, besides the
receivers of heartbeats."""


@dataclass(frozen=True)
class Location:
    """Where a program is served.

    Parameters
    ----------
    ready : bool
        For this host: whether the partition is recovered and this host is
        certainly still its owner. True for other hosts.
    """

    partition: int
    host: str
    caller_address: str
    peer_address: str
    is_self: bool
    ready: bool


class OwnershipService(Service):
    """Owners of partitions, and this host's own partitions.

    Parameters
    ----------
    runtime : Runtime
        Provides store, settings, clock, journal, programs and peers.
    retry_seconds : float, optional
        Wait before a failed step is retried.

    Attributes
    ----------
    assignment : Assignment or None
        The newest assignment known.
    assignments : AssignmentStore
        The assignment in the store.
    handlers : OwnershipHandlers
        Handlers of other hosts' messages.
    recovery : Recovery
        Takes over from other hosts.
    membership : MembershipService
        This host's member object and its observations of other hosts.
    """

    def __init__(self, runtime, *, retry_seconds=RETRY_SECONDS):
        super().__init__()
        self.runtime = runtime
        self._retry_seconds = retry_seconds
        self.assignment = None
        self.membership = MembershipService(runtime)
        self._holder = TailHolder()
        self.assignments = AssignmentStore(runtime.store, retry_seconds=retry_seconds)
        self.recovery = Recovery(runtime, self._holder, self.assignments)
        self._roster = Roster(runtime, self.assignments)
        self._mover = PartitionMover(runtime, self.assignments)
        self._ready_epochs = {}
        self._leaving = False
        self._sealed = asyncio.Event()
        self._changed = asyncio.Event()
        self._fetching = False
        self._joined_incarnation = 0
        self.handlers = OwnershipHandlers(runtime, self, self._holder)

    @property
    def version(self):
        """int: Version of the newest assignment known; 0 if none is."""
        return self.assignment.version if self.assignment is not None else 0

    @property
    def owned(self):
        """list of int: Partitions owned by this incarnation."""
        if self.assignment is None:
            return []
        return self.assignment.owned_by(self.runtime.host, self.runtime.incarnation)

    def is_valid(self, now):
        """Return whether this host certainly still owns its partitions at `now`."""
        return not self.runtime.journal.sealed and self.membership.is_valid(now)

    def is_ready(self, partition):
        """Return whether this host owns a partition and has recovered it."""
        entry = self.assignment.entries[partition]
        return self._is_own(entry) and self._ready_epochs.get(partition) == entry.epoch

    def may_move(self):
        """Return whether this host may hand over and accept partitions now."""
        if self.assignment is None or self.membership.store_out:
            return False
        if not self.assignment.has_member(self.runtime.host, self.runtime.incarnation):
            return False
        return not self.runtime.journal.store_out and self._is_valid_now()

    def locate(self, root_key):
        """Return the `Location` of a program's root, ``customer/id``.

        Raises
        ------
        CallError
            No assignment is known yet.
        """
        self._check_known()
        partition = self.assignment.partition_of(root_key)
        entry = self.assignment.entries[partition]
        member = self.assignment.members[entry.host]
        own = self._is_own(entry)
        return Location(
            partition=partition,
            host=member.host,
            caller_address=member.caller_address,
            peer_address=member.peer_address,
            is_self=own,
            ready=not own or (self.is_ready(partition) and self._is_valid_now()),
        )

    def owner_and_successors(self, root_key):
        """Return the members to ask for a program: its owner, then its successors."""
        self._check_known()
        owner = self.assignment.owner_of(root_key)
        return [owner, *self.assignment.successors(root_key)]

    def rank_tail_holders(self):
        """Return the hosts that may hold this host's journal tail, best first."""
        if self.assignment is None or self.runtime.host not in self.assignment.members:
            return []
        return rank_tail_holders(self.assignment, self.runtime.host)

    def check_owned(self, partition):
        """Return the epoch of a partition that this host owns.

        Raises
        ------
        JournalSealed
            This incarnation no longer owns anything.
        NotOwner
            Another host owns the partition, or soon will.
        """
        if self.runtime.journal.sealed:
            raise JournalSealed(f"the journal of {self.runtime.host} is sealed")
        self._check_known()
        entry = self.assignment.entries[partition]
        if not self._is_own(entry) or partition in self._mover.moving:
            raise NotOwner(entry.host)
        return entry.epoch

    async def wait_ready(self, partition, timeout):
        """Wait until a partition owned by this host can be served.

        Raises
        ------
        NotOwner
            Another host owns the partition.
        CallError
            The partition is not recovered after `timeout` seconds.
        """
        try:
            async with asyncio.timeout(timeout):
                while not (self.is_ready(partition) and self._is_valid_now()):
                    self.check_owned(partition)
                    await self._wait_change(self.runtime.settings.renewal_seconds)
        except TimeoutError as error:
            raise CallError(
                "history_unavailable",
                "the program is being recovered",
                retry_after=self._retry_seconds,
            ) from error

    def record_compaction(self, partition, assignment):
        """Keep a partition ready after its sources were replaced by a snapshot."""
        entry = assignment.entries[partition]
        if self._is_own(entry) and partition in self._ready_epochs:
            self._ready_epochs[partition] = entry.epoch

    def handle_seal(self):
        """Give up all ownership until this host has joined again."""
        self.runtime.journal.seal()
        self._sealed.set()
        self._notify_change()

    def adopt(self, assignment):
        """Switch to a newer assignment; drop partitions that are no longer owned."""
        if assignment is None or assignment.version <= self.version:
            return
        self.assignment = assignment
        self._check_member()
        for partition in list(self._ready_epochs):
            if not self.is_ready(partition):
                self.log.info(
                    "partition given up",
                    extra={
                        "decision": "adopt",
                        "partition": partition,
                        "epoch": self._ready_epochs.pop(partition),
                        "owner": assignment.entries[partition].host,
                        "version": assignment.version,
                    },
                )
                self.runtime.programs.drop(partition)
        members = assignment.members.values()
        self._holder.keep_only({(m.host, m.incarnation) for m in members})
        self.membership.detector.update_members(
            {m.host: m.incarnation for m in members}, self.runtime.clock.monotonic()
        )
        self._notify_change()
        self.membership.send_heartbeats(self._choose_gossip_hosts())

    def fetch_if_newer(self, host, version):
        """Fetch the assignment from `host` if its `version` is newer."""
        if version > self.version and not self._fetching:
            self._fetching = True
            self.add_future(self.fetch(host))

    async def fetch(self, host):
        """Adopt the assignment known to a peer.

        Falls back to the store if the peer is unreachable, for example
        because only the newer assignment contains its address.
        """
        try:
            answer = await self.runtime.peers.ask(
                host, FetchAssignment(), timeout=FETCH_SECONDS
            )
            if answer.version > self.version:
                self.adopt(decode_assignment(answer.value))
        except PeerUnavailable:
            await self._read_assignment()
        except (PeerError, CallError, RecordError) as error:
            self.log.info("assignment not fetched from %s: %s", host, error)
        finally:
            self._fetching = False

    async def _read_assignment(self):
        with contextlib.suppress(StoreUnavailable):
            self.adopt(await self.assignments.read())

    async def join(self):
        """Become a member under the next incarnation.

        This host keeps the partitions of its earlier incarnation that no
        other host has taken over. The first host of a fleet owns all
        partitions.

        Raises
        ------
        StoreUnavailable
            The store did not answer; the call can be repeated.
        """
        self._sealed.clear()
        self.runtime.journal.seal()
        for partition in list(self._ready_epochs):
            del self._ready_epochs[partition]
            self.runtime.programs.drop(partition)
        self.runtime.incarnation = await self.membership.start_incarnation()
        self.runtime.journal.open(self.runtime.incarnation)
        assignment = await self._roster.join()
        self._joined_incarnation = self.runtime.incarnation
        self.adopt(assignment)
        self._check_member()

    def _check_member(self):
        """Give up all ownership if this incarnation is no longer a member."""
        if self._joined_incarnation != self.runtime.incarnation:
            return
        if not self.assignment.has_member(self.runtime.host, self.runtime.incarnation):
            self.handle_seal()

    async def take_over(self, expired):
        """Take over from hosts found by `MembershipService.find_expired`."""
        for host, incarnation, version in expired:
            if not self._is_valid_now():
                return
            if not self.assignment.has_member(host, incarnation):
                continue
            self.log.warning("host %s/%s expired", host, incarnation)
            try:
                self.adopt(
                    await self.recovery.take_over(host, incarnation, version=version)
                )
            except (StoreConflict, StoreUnavailable, JournalSealed) as error:
                self.log.info("takeover of %s abandoned: %s", host, error)

    async def recover(self):
        """Replay the journals of owned partitions that are not ready."""
        assignment = self.assignment
        partitions = [p for p in self.owned if not self.is_ready(p)]
        if not partitions or self.runtime.journal.sealed:
            return
        recovery = self.recovery.replay(assignment, partitions)
        async with contextlib.aclosing(recovery) as finished:
            async for partition in finished:
                entry = assignment.entries[partition]
                if self.assignment.entries[partition] != entry:
                    self.runtime.programs.drop(partition)
                    continue
                self._ready_epochs[partition] = entry.epoch
                self.log.info(
                    "partition recovered",
                    extra={
                        "decision": "recover",
                        "partition": partition,
                        "epoch": entry.epoch,
                        "sources": entry.sources,
                        "programs": len(self.runtime.programs.list_programs(partition)),
                    },
                )
                self._notify_change()

    async def balance(self):
        """Move partitions to even out the load, or else compact sources.

        Returns the number of partitions moved or compacted.
        """
        if not self.may_move():
            return 0
        return await self._mover.balance() or await self._mover.compact()

    async def leave(self, *, timeout):
        """Hand over all partitions and leave the membership.

        Returns
        -------
        bool
            False if partitions remain, because no other host took them or
            time ran out.
        """
        self._leaving = True
        deadline = self.runtime.clock.monotonic() + timeout
        quiesce_seconds = QUIESCE_SECONDS
        while not await self._try_leave(quiesce_seconds):
            left = deadline - self.runtime.clock.monotonic()
            if left <= 0 or self.runtime.journal.sealed or not self.assignment.active:
                return False
            quiesce_seconds = min(2 * quiesce_seconds, left)
            await self._wait_change(min(self._retry_seconds, left))
        return True

    async def _try_leave(self, quiesce_seconds):
        try:
            self.adopt(await self._roster.begin_leaving())
            while self.owned:
                if not await self._mover.balance(
                    limit=len(self.owned), quiesce_seconds=quiesce_seconds
                ):
                    return False
            self.adopt(await self._roster.remove())
        except (StoreUnavailable, JournalSealed) as error:
            self.log.info("leave attempt failed: %s", error)
            return False
        return not self.assignment.has_member(
            self.runtime.host, self.runtime.incarnation
        )

    async def on_start(self):
        """Register the message handlers and join."""
        self.handlers.register()
        await self._join_with_retries()
        await self.add_runtime_dependency(self.membership)

    async def _join_with_retries(self):
        while not self.should_stop:
            try:
                await self.join()
                return
            except (StoreUnavailable, StoreConflict) as error:
                self.log.warning("joining failed, will be retried: %s", error)
                await self.sleep(self._retry_seconds)

    @Service.task
    async def _recover_periodically(self):
        while not self.should_stop:
            try:
                await self.recover()
            except (StoreUnavailable, RecordError, JournalSealed, CallError) as error:
                self.log.warning("recovery failed, will be retried: %s", error)
                await self.sleep(self._retry_seconds)
                continue
            if all(map(self.is_ready, self.owned)) or self.runtime.journal.sealed:
                await self._wait_change(None)

    @Service.task
    async def _balance_periodically(self):
        while not self.should_stop:
            moved = 0 if self._leaving else await self.balance()
            if not moved:
                await self.sleep(self.runtime.settings.renewal_seconds)

    @Service.task
    async def _poll_periodically(self):
        while not self.should_stop:
            await self.sleep(POLL_FACTOR * self.runtime.settings.expiry_seconds)
            await self._read_assignment()

    @Service.task
    async def _rejoin_when_sealed(self):
        while not self.should_stop:
            await self._sealed.wait()
            if self._leaving:
                return
            self.log.warning(
                "incarnation %s was sealed; joining again", self.runtime.incarnation
            )
            await self._join_with_retries()

    def _check_known(self):
        if self.assignment is None:
            raise CallError("draining", "the host has not joined yet", retry_after=1)

    def _is_own(self, entry):
        own = (self.runtime.host, self.runtime.incarnation)
        return (entry.host, entry.incarnation) == own

    def _is_valid_now(self):
        return self.is_valid(self.runtime.clock.monotonic())

    def _choose_gossip_hosts(self):
        """Return a few other hosts, varying with this host and the version."""
        hosts = [host for host in self.assignment.members if host != self.runtime.host]
        seed = f"{self.runtime.host}/{self.version}/"
        hosts.sort(key=lambda host: hash_text(seed + host))
        return hosts[:GOSSIP_HOSTS]

    def _notify_change(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _wait_change(self, seconds):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), seconds)
