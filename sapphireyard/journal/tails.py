"""Journal tails in the memory of peers, for the time that the store is out.

A tail is a write-behind buffer: the segments of a journal that are not yet in
the store, byte for byte. A host that is about to seal a journal collects its
tails first; a holder that was asked accepts no more of them, so that nothing
can be acknowledged behind the sealer's back.
"""

import asyncio

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.journal.generated_replication import TailFlushed, TailSegment

TAIL_COPIES = 2
"""Peers that must hold a segment."""

HELD_BYTES = 64_000_000
"""Most bytes of other hosts' tails held in memory."""

COLLECTED_BYTES = 1_000_000
"""Bytes of segments beyond which an answer to a sealer ends."""

SEND_SECONDS = 1.0
"""Time for a peer to accept a segment."""


class TailHolder:
    """The tails of other hosts held here."""

    def __init__(self):
        self._tails = {}
        self._fenced = set()
        self._bytes = 0

    @property
    def held_bytes(self):
        """int: Bytes of all segments held."""
        return self._bytes

    def hold(self, segment):
        """Take a `TailSegment`; return why it is refused, or an empty string."""
        journal = (segment.host, segment.incarnation)
        if journal in self._fenced:
            return "the journal is being sealed"
        if self._bytes + len(segment.value) > HELD_BYTES:
            return "too many bytes held"
        self.release(segment.host, segment.incarnation, segment.first - 1)
        held = self._tails.get(journal, {})
        if any(n not in held for n in range(segment.first, segment.number)):
            return "an earlier segment is missing"
        tail = self._tails.setdefault(journal, {})
        if segment.number not in tail:
            tail[segment.number] = segment.value
            self._bytes += len(segment.value)
        return ""

    def release(self, host, incarnation, number):
        """Drop the segments of a journal up to `number`."""
        tail = self._tails.get((host, incarnation), {})
        for stored in [held for held in tail if held <= number]:
            self._bytes -= len(tail.pop(stored))
        if not tail:
            self._tails.pop((host, incarnation), None)

    def collect(self, host, incarnation, *, after=0):
        """Fence a journal; return its segments beyond `after` and whether more.

        Returns
        -------
        list of TailSegment, bool
        """
        self._fenced.add((host, incarnation))
        tail = self._tails.get((host, incarnation), {})
        numbers = sorted(number for number in tail if number > after)
        segments, size = [], 0
        for number in numbers:
            if segments and size + len(tail[number]) > COLLECTED_BYTES:
                break
            segments.append(TailSegment(host, incarnation, number, tail[number]))
            size += len(tail[number])
        return segments, len(segments) < len(numbers)

    def keep_only(self, journals):
        """Drop the tails and fences of all but the given (host, incarnation).

        Only for a holder that refuses tails of these others from now on.
        """
        for host, incarnation in set(self._tails) - set(journals):
            tail = self._tails.pop((host, incarnation))
            self._bytes -= sum(map(len, tail.values()))
        self._fenced &= set(journals)


class TailSender:
    """Sends the unflushed segments of this host to peers.

    Parameters
    ----------
    yard : Yard
        Gives peers and ownership.
    """

    def __init__(self, yard):
        self.yard = yard
        self._held = {}
        self._whole = True

    @property
    def whole(self):
        """bool: Whether enough peers held everything at the last `send`."""
        return self._whole

    async def send(self, segments, *, incarnation):
        """Let peers hold the segments; return the last number that is safe.

        Parameters
        ----------
        incarnation : int
            Incarnation whose journal it is.
        segments : list of StagedSegment
            All segments not known to be stored, in order.
        """
        candidates = self._rank_peers()
        copies = min(TAIL_COPIES, len(candidates))
        if not segments or not copies:
            self._whole = not segments
            return 0
        holders = [host for host in candidates if host in self._held]
        holders += [host for host in candidates if host not in self._held]
        reached = []
        while holders and len(reached) < copies:
            batch = holders[: copies - len(reached)]
            holders = holders[len(batch) :]
            numbers = await asyncio.gather(
                *(self._send_to(host, segments, incarnation) for host in batch)
            )
            reached += [number for number in numbers if number]
        self._whole = len(reached) == copies
        return min(reached) if self._whole else 0

    def release(self, number, *, incarnation):
        """Tell the holders that all segments up to `number` are stored."""
        message = TailFlushed(self.yard.host, incarnation, number)
        for host in self._held:
            self.yard.peers.tell(host, message)
        self._held.clear()

    def _rank_peers(self):
        if self.yard.peers is None or self.yard.ownership is None:
            return []
        return self.yard.ownership.rank_tail_holders()

    async def _send_to(self, host, segments, incarnation):
        """Send what a peer lacks; return the last number it holds, or 0."""
        for segment in segments:
            if segment.number <= self._held.get(host, 0):
                continue
            message = TailSegment(
                self.yard.host,
                incarnation,
                segment.number,
                segment.value,
                first=segments[0].number,
            )
            if not await self._accepts(host, message):
                self._held.pop(host, None)
                return 0
            self._held[host] = segment.number
        return segments[-1].number

    async def _accepts(self, host, message):
        try:
            answer = await self.yard.peers.ask(host, message, timeout=SEND_SECONDS)
        except (PeerError, CallError):
            return False
        return answer.accepted
