"""The entry hosts' side of histories: reads, reservations and commits."""

import asyncio
import contextlib
import logging
from collections import OrderedDict
from dataclasses import dataclass

from sapphireyard import generated_history
from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.generated_fleet import CopySet
from sapphireyard.generated_history import (
    ChainQuery,
    Reservation,
    ReservationSynced,
    Settlement,
    TurnCommit,
)
from sapphireyard.history.copies import majority, write_quorum
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

READ_SECONDS = 0.25
"""Longest wait for the nearest copy before the others are asked too."""
ANSWER_SECONDS = 1.0
"""Longest wait for enough copies; a disk sync takes 1 to 5 ms."""
RETRY_SECONDS = 0.5
"""When to come back while too few copies answer."""
CACHE_BYTES = 12 * 1024 * 1024
"""Texts of recent chains kept in memory; a twelfth of the smallest host."""


@dataclass(frozen=True)
class ChainText:
    """The texts of a chain of turns.

    Parameters
    ----------
    customer : str
        Whose chain it is.
    text : bytes
        Inputs and outputs in order, the oldest first.
    upstream : str, optional
        Engine that served the last turn.
    tokens : int, optional
        Tokens of the whole chain as an engine reads it.
    """

    customer: str = ""
    text: bytes = b""
    upstream: str = ""
    tokens: int = 0


class HistoryClient:
    """Reads chains from one copy and writes to all of them.

    Parameters
    ----------
    yard : Yard
        Gives settings, peers, gossip and clock.
    """

    def __init__(self, yard):
        self._yard = yard
        self._copies = CopySet()
        self._cache = OrderedDict()
        self._cached_bytes = 0
        yard.peers.codec.register_module(generated_history)

    @property
    def copies(self):
        """CopySet: The newest set heard of."""
        return self._copies

    def hear_copies(self, copies):
        """Take in a set that some host acts by."""
        if copies is None or copies.version <= self._copies.version:
            return
        self._copies = copies
        logger.info(
            "set of copies",
            extra={
                "decision": "copies",
                "set_version": copies.version,
                "members": sorted(copies.members),
            },
        )

    async def read_chain(self, turn):
        """Return the `ChainText` of a turn and all before it.

        Raises
        ------
        CallError
            ``turn_unknown`` when enough copies say that there is none, else
            ``history_unavailable``.
        """
        cached = self._cache.get(turn)
        if cached is not None:
            self._cache.move_to_end(turn)
            return cached
        nearest, others = self._order_copies()
        answer = None
        if nearest is not None:
            answer = await self._try_read(nearest, turn, READ_SECONDS)
        if answer is None or not answer.found:
            answer = await self._read_widely(turn, [nearest, *others])
        chain = ChainText(answer.customer, answer.text, answer.upstream, answer.tokens)
        self.cache(turn, chain)
        return chain

    def cache(self, turn, chain):
        """Keep the text of a chain for its next turn."""
        if turn in self._cache:
            return
        self._cache[turn] = chain
        self._cached_bytes += len(chain.text)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            _, oldest = self._cache.popitem(last=False)
            self._cached_bytes -= len(oldest.text)

    async def reserve(self, program, turn, tokens, budget, *, expires_at):
        """Set tokens aside for a turn.

        Returns
        -------
        asyncio.Task
            Ends once the reservation is durable; raises `CallError` when it
            cannot be made so.

        Raises
        ------
        CallError
            ``budget_exceeded``, or ``history_unavailable`` when too few copies
            answer. Nothing may be sent to an engine then.
        """
        copies = self._copies
        needed = self._quorum(copies)
        message = Reservation(copies.version, program, turn, tokens, expires_at)
        counted = [asyncio.get_running_loop().create_future() for _ in copies.members]
        synced = [
            start_task(self._reserve_at(host, message, future), name="reservation")
            for host, future in zip(copies.members, counted)
        ]
        answers = await gather_quorum(counted, needed, ANSWER_SECONDS)
        spent = _sum_others(answers, turn)
        if spent + tokens > budget:
            self.settle(program, turn, 0, expires_at=expires_at)
            raise CallError(
                "budget_exceeded",
                f"{spent} of {budget} tokens are spent or reserved",
            )
        return start_task(
            gather_quorum(synced, needed, ANSWER_SECONDS), name="reservation"
        )

    def settle(self, program, turn, tokens, *, expires_at):
        """Replace a reservation by what the turn took, without waiting."""
        message = Settlement(program, turn, tokens, expires_at)
        for host in self._copies.members:
            start_task(
                self._yard.peers.ask(host, message, timeout=ANSWER_SECONDS),
                name="settlement",
            )

    async def commit(self, turn):
        """Return once a turn is durable.

        Raises
        ------
        CallError
            ``history_unavailable``: too few copies have it.
        """
        for _ in range(2):
            copies = self._copies
            message = TurnCommit(copies.version, turn)
            tasks = [
                start_task(
                    self._yard.peers.ask(host, message, timeout=ANSWER_SECONDS),
                    name="turn",
                )
                for host in copies.members
            ]
            try:
                await gather_quorum(tasks, self._quorum(copies), ANSWER_SECONDS)
                return
            except CallError:
                if copies.version == self._copies.version:
                    raise

    async def _reserve_at(self, host, message, counted):
        """Reserve at one copy; tell `counted` when the copy has counted it."""
        stream = self._yard.peers.stream(host, message, timeout=ANSWER_SECONDS)
        try:
            async with contextlib.aclosing(stream) as answers:
                async for answer in answers:
                    if isinstance(answer, ReservationSynced):
                        return answer
                    if not counted.done():
                        counted.set_result(answer)
        except (PeerError, CallError) as error:
            if not counted.done():
                counted.set_exception(error)
            raise
        raise PeerError(f"{host} did not say that the reservation is durable")

    async def _read_widely(self, turn, hosts):
        """Ask all copies; one that has the turn is enough, or enough that lack it."""
        hosts = [host for host in hosts if host is not None]
        tasks = [
            start_task(self._try_read(host, turn, ANSWER_SECONDS), name="read")
            for host in hosts
        ]
        absent = 0
        try:
            for next_answer in asyncio.as_completed(tasks):
                answer = await next_answer
                if answer is None:
                    continue
                if answer.found:
                    return answer
                absent += answer.absent
        finally:
            for task in tasks:
                task.cancel()
        members = len(self._copies.members)
        if members and absent > members - majority(members):
            raise CallError("turn_unknown", f"there is no turn {turn!r}")
        raise CallError(
            "history_unavailable",
            f"turn {turn!r} was not found; {absent} of {members} copies lack it",
            retry_after=RETRY_SECONDS,
        )

    async def _try_read(self, host, turn, timeout):
        query = ChainQuery(self._copies.version, turn)
        try:
            return await self._yard.peers.ask(host, query, timeout=timeout)
        except (PeerError, CallError) as error:
            logger.info("no chain from %s: %s", host, error, extra={"turn": turn})
            return None

    def _order_copies(self):
        """Return the copy to ask first, and the others."""
        membership = self._yard.gossip.membership
        now = self._yard.clock.monotonic()
        domain = self._yard.settings.failure_domain

        def distance(host):
            member = membership.find(host)
            near = member is not None and member.heartbeat.failure_domain == domain
            return membership.silent_for(host, now) > READ_SECONDS, not near, host

        ordered = sorted(self._copies.members, key=distance)
        if not ordered:
            return None, []
        return ordered[0], ordered[1:]

    def _quorum(self, copies):
        return write_quorum(
            len(copies.members), tolerated=self._yard.settings.tolerated_losses
        )


async def gather_quorum(futures, needed, timeout):
    """Return the results of the first `needed` futures that succeed.

    Raises
    ------
    CallError
        ``history_unavailable``: too many failed, or none answered in time.
    """
    waiting = set(futures)
    results = []
    deadline = asyncio.get_running_loop().time() + timeout
    while len(results) < needed:
        left = deadline - asyncio.get_running_loop().time()
        if len(results) + len(waiting) < needed or left <= 0:
            break
        done, waiting = await asyncio.wait(
            waiting, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        results += [each.result() for each in done if each.exception() is None]
    for future in waiting:
        future.add_done_callback(_retrieve)
    if len(results) >= needed:
        return results
    raise CallError(
        "history_unavailable",
        f"{len(results)} of {needed} copies have answered",
        retry_after=RETRY_SECONDS,
    )


def _retrieve(future):
    """Look at the error of a future that nobody waits for."""
    if not future.cancelled():
        future.exception()


def _sum_others(answers, turn):
    """Return the tokens of a program's other turns, over what all copies know."""
    known = {}
    for answer in answers:
        for spending in answer.spendings:
            before = known.get(spending.turn)
            if before is None or (spending.settled and not before.settled):
                known[spending.turn] = spending
    return sum(each.tokens for name, each in known.items() if name != turn)
