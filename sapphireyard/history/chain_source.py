"""Serves the texts of chains from the log of a copy."""

import asyncio
from dataclasses import replace

from sapphireyard.exceptions import CallError
from sapphireyard.history.generated_history import Chain, ChainPart

LONG_READS = 4
"""Chains of several messages that are sent at a time; other answers go between them."""


class ChainSource:
    """Reads chains from the log of a copy.

    Parameters
    ----------
    log : RecordLog
        The records of this copy.
    state : HistoryState
        What they amount to.
    unpack : callable
        Returns the record in a payload.
    clock : Clock
        Clock of this host.
    """

    def __init__(self, log, state, unpack, clock):
        self._log = log
        self._state = state
        self._unpack = unpack
        self._clock = clock
        self._long_reads = asyncio.Semaphore(LONG_READS)

    async def serve(self, message):
        """Yield the messages that answer a `ChainQuery`."""
        chain, missing = self._state.find_part(message.turn, message.until)
        if not chain or (missing and not message.partial):
            yield Chain(absent=self._state.find_turn(message.turn) is None)
            return
        last = chain[-1]
        size = sum(turn.size for turn in chain)
        expires_at = min(turn.expires_at for turn in chain)
        begin = max(0, message.start)
        end = min(size, begin + message.length) if message.length > 0 else size
        head = Chain(
            found=True,
            missing=missing,
            customer=last.customer,
            upstream=last.upstream,
            tokens=last.tokens,
            size=size,
            start=begin,
            kept_seconds=max(0.0, expires_at - self._clock.monotonic()),
        )
        if message.head_only:
            yield head
            return
        wanted = end - begin
        if not message.part_bytes or wanted <= message.part_bytes:
            parts = self._read_parts(chain, begin, end, max(wanted, 1))
            yield replace(head, text=b"".join(parts))
            return
        yield head
        async with self._long_reads:
            for part in self._read_parts(chain, begin, end, message.part_bytes):
                yield ChainPart(part)

    def _read_parts(self, chain, begin, end, part_bytes):
        """Yield a range of the text of a chain in parts; one is kept at a time."""
        part = b""
        for position, start, size in self._list_ranges(chain, begin, end):
            stop = start + size
            while start < stop:
                wanted = min(part_bytes - len(part), stop - start)
                part += self._read_record(position, start, wanted)
                start += wanted
                if len(part) == part_bytes:
                    yield part
                    part = b""
        if part:
            yield part

    def _list_ranges(self, chain, begin, end):
        """Yield position, start and size of what records hold of a range of a text."""
        offset = 0
        for turn in chain:
            if offset >= end:
                return
            if offset + turn.size <= begin:
                offset += turn.size
                continue
            for start, size in self._locate_texts(turn.position):
                first = max(begin, offset)
                last = min(end, offset + size)
                if first < last:
                    yield turn.position, start + first - offset, last - first
                offset += size

    def _locate_texts(self, position):
        """Return where a record has the input and the output of its turn, with sizes.

        The same bytes elsewhere in the record serve as well.
        """
        payload = self._read_record(position)
        turn = self._unpack(payload)
        return [(payload.find(text), len(text)) for text in (turn.input, turn.output)]

    def _read_record(self, position, start=0, size=None):
        payload = self._log.read(position, start, size)
        if payload is None:
            raise CallError("history_unavailable", "a turn expires while it is read")
        return payload
