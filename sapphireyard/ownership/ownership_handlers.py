"""Handles other hosts' messages on ownership and journal tails."""

from sapphireyard.journal import generated_replication
from sapphireyard.journal.generated_replication import (
    AssignmentCopy,
    CollectTails,
    FetchAssignment,
    Heartbeat,
    OfferAnswer,
    OfferPartitions,
    TailFlushed,
    TailHeld,
    Tails,
    TailSegment,
)
from sapphireyard.ownership.assignment import quota_of
from sapphireyard.ownership.assignment_codec import encode_assignment
from sapphireyard.streams.generated_messages import Done

PENDING_OFFER_SECONDS = 5.0
"""Time for which accepted partitions count towards this host's quota."""


class OwnershipHandlers:
    """Message handlers of an `OwnershipService`.

    Parameters
    ----------
    runtime : Runtime
        Provides peers and the journal.
    ownership : OwnershipService
        The service that the messages address.
    holder : TailHolder
        Tails of other hosts held by this host.
    """

    def __init__(self, runtime, ownership, holder):
        self.runtime = runtime
        self._ownership = ownership
        self._holder = holder
        self._encoded = (0, b"")
        self._offered = {}

    @property
    def held_bytes(self):
        """int: Bytes of other hosts' tails held by this host."""
        return self._holder.held_bytes

    def register(self):
        """Register the handlers with `Runtime.peers`, if that is set."""
        peers = self.runtime.peers
        if peers is None:
            return
        peers.codec.register_module(generated_replication)
        peers.on_hello(
            lambda host, hello: self._ownership.fetch_if_newer(host, hello.assignment)
        )
        peers.register(Heartbeat, self._receive_heartbeat)
        peers.register(FetchAssignment, self._serve_assignment)
        peers.register(OfferPartitions, self._answer_offer)
        peers.register(TailSegment, self._hold_tail)
        peers.register(TailFlushed, self._release_tail)
        peers.register(CollectTails, self._serve_tails)

    async def _receive_heartbeat(self, message, context):
        self._ownership.membership.record_heartbeat(message)
        self._ownership.fetch_if_newer(message.host, message.assignment)
        return Done()

    async def _serve_assignment(self, message, context):
        if self._ownership.assignment is None:
            return AssignmentCopy(0, b"")
        if self._encoded[0] != self._ownership.version:
            self._encoded = (
                self._ownership.version,
                encode_assignment(self._ownership.assignment),
            )
        return AssignmentCopy(*self._encoded)

    async def _answer_offer(self, message, context):
        accepted = self._ownership.may_move() and self._has_capacity(message.partitions)
        if accepted:
            now = self.runtime.clock.monotonic()
            entries = self._ownership.assignment.entries
            self._offered |= {p: (now, entries[p].epoch) for p in message.partitions}
        return OfferAnswer(
            accepted, self.runtime.incarnation, self.runtime.journal.next_number
        )

    def _has_capacity(self, partitions):
        """Return whether the quota allows the partitions, pending offers included."""
        oldest = self.runtime.clock.monotonic() - PENDING_OFFER_SECONDS
        entries = self._ownership.assignment.entries
        self._offered = {
            partition: (at, epoch)
            for partition, (at, epoch) in self._offered.items()
            if at >= oldest and entries[partition].epoch == epoch
        }
        expected = {*self._ownership.owned, *self._offered, *partitions}
        return len(expected) <= quota_of(self._ownership.assignment, self.runtime.host)

    async def _hold_tail(self, message, context):
        known = self._ownership.assignment is not None
        if not known or not self._ownership.assignment.has_member(
            message.host, message.incarnation
        ):
            return TailHeld(False, "not a member")
        reason = self._holder.hold(message)
        return TailHeld(not reason, reason)

    async def _release_tail(self, message, context):
        self._holder.release(message.host, message.incarnation, message.number)
        return Done()

    async def _serve_tails(self, message, context):
        segments, more = self._holder.collect(
            message.host, message.incarnation, after=message.after
        )
        return Tails(segments, more)
