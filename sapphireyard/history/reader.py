"""Reads the text of a chain from one copy, or from several together."""

import contextlib
import logging
from dataclasses import dataclass, replace

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.fleet.membership import SILENCE_SECONDS
from sapphireyard.history.assembly import ChainAssembly
from sapphireyard.history.chains import ChainStream, LongText, open_any
from sapphireyard.history.copies import fence_quorum
from sapphireyard.history.quorums import build_unavailable

logger = logging.getLogger(__name__)

NEAREST_TIMEOUT_SECONDS = 0.25
"""Longest wait for the nearest copy before the others are asked too."""
ANSWER_TIMEOUT_SECONDS = 1.0
"""Longest wait for the others."""


@dataclass(frozen=True)
class ChainText:
    """The texts of a chain of turns.

    Parameters
    ----------
    customer : str
        Customer that owns the chain.
    text : bytes
        Inputs and outputs in order, the oldest first; empty if `long` has them.
    upstream : str, optional
        Engine that served the last turn.
    tokens : int, optional
        Tokens of the whole chain as an engine reads it.
    long : LongText, optional
        The text if it is not kept in memory.
    kept_seconds : float, optional
        Seconds for which copies keep all its turns; 0 if they do not tell.
    """

    customer: str = ""
    text: bytes = b""
    upstream: str = ""
    tokens: int = 0
    long: LongText | None = None
    kept_seconds: float = 0.0

    def extend(self, turn):
        """Return the `ChainText` after a `Turn`; None if it is not kept in memory."""
        if self.long is not None:
            return None
        return ChainText(
            self.customer,
            self.text + turn.input + turn.output,
            turn.upstream,
            turn.context_tokens,
            kept_seconds=turn.keep_seconds,
        )


class ChainReader:
    """Reads chains from the nearest copy, or else from any, or from several.

    Parameters
    ----------
    runtime : Runtime
        Provides settings, peers, gossip and clock.
    build_long : callable
        Returns the `LongText` of a turn for a size.
    """

    def __init__(self, runtime, build_long):
        self._runtime = runtime
        self._build_long = build_long

    async def read(self, copies, turn, admit, *, start=0, length=0):
        """Return the `ChainText` of a turn.

        `start` and `length` restrict it to a range of the text.
        """
        hosts = self._order_copies(copies)
        failed = []
        nearest = hosts[:1]
        while len(failed) <= len(hosts):
            asked = [host for host in nearest or hosts if host not in failed]
            streams = [
                ChainStream(
                    self._runtime.peers, host, copies.version, turn, start, length
                )
                for host in asked
            ]
            is_last = not nearest
            stream = await self._open(copies, streams, turn, is_last=is_last)
            nearest = ()
            if stream is None and is_last:
                return await self._assemble(copies, turn, admit, start, length)
            if stream is None:
                continue
            async with contextlib.aclosing(stream):
                head = stream.head
                if not admit(stream.size):
                    return self._describe_long(turn, head, stream.size)
                try:
                    text = await stream.read_text()
                except (PeerError, CallError) as error:
                    logger.info("chain not read from %s: %s", stream.host, error)
                    failed.append(stream.host)
                    continue
            return _build_chain(head, text, head.kept_seconds)
        raise build_unavailable(f"turn {turn!r} was not read whole", ())

    async def _open(self, copies, streams, turn, *, is_last):
        """Open the `ChainStream` of one of several copies, and return it.

        Returns None if none has the whole chain and not all that are left were asked,
        or one of them has the turn.
        """
        timeout = ANSWER_TIMEOUT_SECONDS if is_last else NEAREST_TIMEOUT_SECONDS
        stream, absent, errors = await open_any(streams, timeout)
        if stream is not None or not is_last:
            return stream
        if absent + len(errors) < len(streams):
            return None
        members = len(copies.members)
        tolerated = self._runtime.settings.tolerated_losses
        if members and absent >= fence_quorum(members, tolerated=tolerated):
            if copies.lost_before:
                raise CallError(
                    "history_unavailable", f"turn {turn!r} may be among those lost"
                )
            raise CallError("turn_unknown", f"there is no turn {turn!r}")
        raise build_unavailable(
            f"turn {turn!r} was not found, but only {absent} of {members} copies"
            " reported that they lack it",
            errors,
        )

    async def _assemble(self, copies, turn, admit, start, length):
        """Return the `ChainText` of a turn from the parts that several copies have."""
        assembly = ChainAssembly(
            self._runtime.peers,
            self._order_copies(copies),
            copies,
            tolerated=self._runtime.settings.tolerated_losses,
        )
        await assembly.locate(turn)
        if not admit(assembly.size):
            return self._describe_long(turn, assembly.head, assembly.size)
        text = await assembly.read_text(start, length)
        return _build_chain(assembly.head, text, assembly.kept_seconds)

    def _describe_long(self, turn, head, size):
        """Return the `ChainText` of a chain that is not kept in memory."""
        return replace(_build_chain(head, b"", 0.0), long=self._build_long(turn, size))

    def _order_copies(self, copies):
        """Return the members in the order in which to ask them."""
        membership = self._runtime.gossip.membership
        now = self._runtime.clock.monotonic()
        domain = self._runtime.settings.failure_domain

        def distance(host):
            member = membership.find(host)
            near = member is not None and member.heartbeat.failure_domain == domain
            return membership.silent_for(host, now) > SILENCE_SECONDS, not near, host

        return sorted(copies.members, key=distance)


def _build_chain(head, text, kept_seconds):
    """Return the `ChainText` that a copy has described by a `Chain`."""
    return ChainText(
        head.customer, text, head.upstream, head.tokens, kept_seconds=kept_seconds
    )
