"""Journal tails in the memory of peers, for outages of the store.

A tail is a write-behind buffer: the segments of a journal that are not yet in
the store, byte for byte. A host that is about to seal a journal collects its
tails first. A holder that was asked for them accepts no further segments of
that journal, so that the writer can acknowledge nothing that the sealer does
not see.
"""

import asyncio

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.journal.generated_replication import TailFlushed, TailSegment

TAIL_COPIES = 2
"""Number of peers that must hold a segment; all peers if there are fewer."""

HELD_BYTES = 64_000_000
"""Limit on the bytes of other hosts' tails held in memory."""

COLLECTED_BYTES = 1_000_000
"""Limit on the bytes of segments in one answer; the first is always included."""

SEND_SECONDS = 1.0
"""Timeout of sending a segment to a peer."""


class TailHolder:
    """Tails of other hosts held by this host."""

    def __init__(self):
        self._tails = {}
        self._fenced = set()
        self._bytes = 0

    @property
    def held_bytes(self):
        """int: Total size of all segments held in bytes."""
        return self._bytes

    def hold(self, segment):
        """Hold a `TailSegment`; return the reason if refused, or an empty string."""
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
        for held_number in [held for held in tail if held <= number]:
            self._bytes -= len(tail.pop(held_number))
        if not tail:
            self._tails.pop((host, incarnation), None)

    def collect(self, host, incarnation, *, after=0):
        """Fence a journal; return its segments after number `after`.

        Returns
        -------
        list of TailSegment, bool
            The segments, and whether there are more.
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

        The caller must refuse further tails of the dropped journals.
        """
        for host, incarnation in set(self._tails) - set(journals):
            tail = self._tails.pop((host, incarnation))
            self._bytes -= sum(map(len, tail.values()))
        self._fenced &= set(journals)


class TailSender:
    """Sends this host's staged segments to peers.

    Parameters
    ----------
    runtime : Runtime
        Provides peers and ownership.
    """

    def __init__(self, runtime):
        self.runtime = runtime
        self._last_held = {}
        self._fully_replicated = True

    @property
    def fully_replicated(self):
        """bool: Whether enough peers held all segments at the last `send`."""
        return self._fully_replicated

    async def send(self, segments, *, incarnation):
        """Send segments to peers; return the number up to which they are held.

        Returns 0 unless enough peers hold all segments.

        Parameters
        ----------
        incarnation : int
            Incarnation that writes the journal.
        segments : list of StagedSegment
            All segments not known to be stored, in order.
        """
        candidates = self._rank_peers()
        copies = min(TAIL_COPIES, len(candidates))
        if not segments or not copies:
            self._fully_replicated = not segments
            return 0
        holders = [host for host in candidates if host in self._last_held]
        holders += [host for host in candidates if host not in self._last_held]
        last_numbers = []
        while holders and len(last_numbers) < copies:
            batch = holders[: copies - len(last_numbers)]
            holders = holders[len(batch) :]
            numbers = await asyncio.gather(
                *(self._send_to(host, segments, incarnation) for host in batch)
            )
            last_numbers += [number for number in numbers if number]
        self._fully_replicated = len(last_numbers) == copies
        return min(last_numbers) if self._fully_replicated else 0

    def release(self, number, *, incarnation):
        """Notify the holders that all segments up to `number` are stored."""
        message = TailFlushed(self.runtime.host, incarnation, number)
        for host in self._last_held:
            self.runtime.peers.tell(host, message)
        self._last_held.clear()

    def _rank_peers(self):
        if self.runtime.peers is None or self.runtime.ownership is None:
            return []
        return self.runtime.ownership.rank_tail_holders()

    async def _send_to(self, host, segments, incarnation):
        """Send the segments a peer lacks; return the last number it holds, or 0."""
        for segment in segments:
            if segment.number <= self._last_held.get(host, 0):
                continue
            message = TailSegment(
                self.runtime.host,
                incarnation,
                segment.number,
                segment.value,
                first=segments[0].number,
            )
            if not await self._send_segment(host, message):
                self._last_held.pop(host, None)
                return 0
            self._last_held[host] = segment.number
        return segments[-1].number

    async def _send_segment(self, host, message):
        """Send a `TailSegment`; return whether the peer accepted it."""
        try:
            answer = await self.runtime.peers.ask(host, message, timeout=SEND_SECONDS)
        except (PeerError, CallError):
            return False
        return answer.accepted
