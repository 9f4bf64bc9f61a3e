"""Reads a chain of which no single copy has all turns.

A turn counts once a quorum of the copies has it, and each turn of a chain may be with
another quorum until the copies have fetched from each other what they missed.
"""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.history.chains import ChainStream
from sapphireyard.history.copies import fence_quorum
from sapphireyard.history.generated_history import Chain, ChainQuery
from sapphireyard.history.quorums import build_unavailable
from sapphireyard.timeouts import AnswerDeadline

logger = logging.getLogger(__name__)

LOCATE_TIMEOUT_SECONDS = 1.0
"""Longest wait for copies to tell which part of a chain they have."""
MAX_PARTS = 100
"""Parts of one chain. A copy that is away misses consecutive turns, which are one."""


@dataclass(frozen=True)
class ChainPiece:
    """Consecutive turns of a chain that one copy has.

    Parameters
    ----------
    host : str
        The copy.
    turn : str
        Last turn of the part.
    head : Chain
        Its description; `missing` is the turn before the part.
    """

    host: str
    turn: str
    head: Chain


class ChainAssembly:
    """The parts of a chain at several copies.

    Parameters
    ----------
    peers : Peers
        Connections to the copies.
    hosts : sequence of str
        The copies, in the order in which to ask them.
    copies : CopySet
        The set of copies.
    tolerated : int
        Disks that may be lost at once.
    """

    def __init__(self, peers, hosts, copies, *, tolerated):
        self._peers = peers
        self._hosts = hosts
        self._set_version = copies.version
        # As many answers include one of each quorum that may have stored a turn.
        self._enough = fence_quorum(len(copies.members), tolerated=tolerated)
        self._pieces = []

    @property
    def head(self):
        """Chain: Description of the last part."""
        return self._pieces[-1].head

    @property
    def size(self):
        """int: Bytes of the whole text."""
        return sum(piece.head.size for piece in self._pieces)

    @property
    def kept_seconds(self):
        """float: Seconds for which the copies keep all parts."""
        return min(piece.head.kept_seconds for piece in self._pieces)

    async def locate(self, turn):
        """Find the parts of the chain of a turn, the newest first.

        Raises
        ------
        CallError
            ``history_unavailable``: too few copies answer, or one of the turns was
            not found.
        """
        wanted = turn
        seen = set()
        while wanted:
            if wanted in seen or len(seen) == MAX_PARTS:
                raise build_unavailable(f"the chain of turn {turn!r} is not whole", ())
            seen.add(wanted)
            piece = await self._locate_piece(wanted)
            self._pieces.insert(0, piece)
            wanted = piece.head.missing
        logger.info(
            "chain is read from several copies",
            extra={
                "decision": "chain",
                "turn": turn,
                "parts": [(piece.host, piece.turn) for piece in self._pieces],
            },
        )

    async def _locate_piece(self, turn):
        """Return the longest part that ends with a turn, of those that are told."""
        query = ChainQuery(self._set_version, turn, partial=True, head_only=True)
        tasks = {
            asyncio.ensure_future(
                self._peers.ask(host, query, timeout=LOCATE_TIMEOUT_SECONDS)
            ): host
            for host in self._hosts
        }
        waiting = set(tasks)
        deadline = AnswerDeadline(LOCATE_TIMEOUT_SECONDS)
        best, answered, errors = None, 0, []
        try:
            while waiting and deadline.remaining():
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=deadline.remaining(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    error = task.exception()
                    if isinstance(error, (PeerError, CallError)):
                        errors.append(error)
                        continue
                    head = task.result()
                    answered += 1
                    if head.found and (best is None or _is_longer(head, best.head)):
                        best = ChainPiece(tasks[task], turn, head)
                is_whole = best is not None and not best.head.missing
                if is_whole or (best is not None and answered >= self._enough):
                    return best
        finally:
            for task in waiting:
                task.cancel()
        if best is not None:
            return best
        raise build_unavailable(f"turn {turn!r} of a chain was not found", errors)

    async def read_text(self, start, length):
        """Return a range of the text; a length of 0 means all from there on.

        Raises
        ------
        CallError
            ``history_unavailable``: a part cannot be read from any copy.
        """
        end = min(self.size, start + (length or self.size))
        offset = 0
        texts = []
        for piece in self._pieces:
            first = max(start - offset, 0)
            last = min(end - offset, piece.head.size)
            if first < last:
                texts.append(await self._read_piece(piece, first, last - first))
            offset += piece.head.size
        return b"".join(texts)

    async def _read_piece(self, piece, start, length):
        """Read a range of a part, from the copy that told of it or from another."""
        errors = []
        for host in sorted(self._hosts, key=lambda host: host != piece.host):
            stream = ChainStream(
                self._peers,
                host,
                self._set_version,
                piece.turn,
                start,
                length,
                piece.head.missing,
            )
            try:
                async with contextlib.aclosing(stream):
                    head = (await stream.open(LOCATE_TIMEOUT_SECONDS)).head
                    if head.found and head.size == piece.head.size:
                        return await stream.read_text()
            except (PeerError, CallError) as error:
                logger.info("part of a chain not read from %s: %s", host, error)
                errors.append(error)
        raise build_unavailable(f"turn {piece.turn!r} was not read whole", errors)


def _is_longer(head, other):
    """Return whether a part is whole, or else longer than another one."""
    return (not head.missing, head.size) > (not other.missing, other.size)
