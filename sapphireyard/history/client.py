"""Access of entry hosts to histories: reads, reservations and commits."""

import asyncio
import contextlib
import logging
from collections import OrderedDict
from dataclasses import replace

from sapphireyard.exceptions import CallError, PeerError, PeerUnavailable
from sapphireyard.fleet import generated_fleet
from sapphireyard.fleet.generated_fleet import CopySet
from sapphireyard.history import generated_history
from sapphireyard.history.chains import LongText
from sapphireyard.history.copies import write_quorum
from sapphireyard.history.generated_history import (
    Renewal,
    Reservation,
    ReservationSynced,
    SetQuery,
    Settlement,
    SpendingQuery,
    TurnCommit,
    TurnSynced,
)
from sapphireyard.history.quorums import (
    COPIES_CHANGED,
    build_unavailable,
    gather_quorum,
)
from sapphireyard.history.reader import ChainReader
from sapphireyard.tasks import start_task
from sapphireyard.timeouts import AnswerDeadline, limit_wait

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_SECONDS = 1.0
"""Longest wait for enough copies; a disk sync takes 1 to 5 ms."""
SETTLE_PAUSES_SECONDS = (1.0, 2.0, 4.0)
"""Pauses before a settlement is sent again that too few copies have stored."""
COMMIT_RETRY_SECONDS = 0.05
"""Pause before a turn is sent again to a copy whose connection was lost."""
CHANGE_TIMEOUT_SECONDS = 0.6
"""Longest wait to learn of a set that copies already use. They are asked; those of an
older build tell it in their heartbeats only, every 0.3 s."""
RENEWAL_SECONDS = 5.0
"""Interval in which what a running turn needs is renewed: a third of the margin by
which copies keep it for longer than it counts."""
CACHE_MARGIN_SECONDS = 2 * RENEWAL_SECONDS
"""Time before copies may drop a chain in which its text in memory is not used any more:
a turn that continues it needs the copies to have it at the first renewal."""
MAX_CHANGES = 3
"""Changes of the set that one operation follows."""
REACHABLE_SECONDS = 1.0
"""Silence from which a copy, which sends three heartbeats a second, counts as
unreachable and is not waited for."""
MAX_WHOLE_BYTES = 2 * 1024 * 1024
"""Longest text of a chain that is read into memory as a whole."""
MAX_PARALLEL_BYTES = 256 * 1024
"""Longest turn that is sent to the copies beside others: each of them gets a message of
that size."""
CACHE_BYTES = 12 * 1024 * 1024
"""Texts of recent chains kept in memory; a twelfth of the smallest host's memory."""


class HistoryClient:
    """Reads chains from one copy and writes to all of them.

    Parameters
    ----------
    runtime : Runtime
        Provides settings, peers, gossip and clock.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        self._copies = CopySet()
        self._changed = asyncio.Event()
        self._loss_known_at = 0.0
        self._cache = OrderedDict()
        self._cached_bytes = 0
        self._long_commits = asyncio.Lock()
        self._reader = ChainReader(runtime, self.build_long)
        runtime.peers.codec.register_module(generated_history)
        runtime.peers.codec.register_module(generated_fleet)

    @property
    def copies(self):
        """CopySet: The newest known set."""
        return self._copies

    @property
    def keeps_turns(self):
        """bool: Whether enough copies are reachable to serve turns."""
        return self._count_reachable(self._copies) >= self._quorum(self._copies)

    def update_copies(self, copies):
        """Switch to a set that another host uses if it is newer."""
        if copies is None or copies.version <= self._copies.version:
            return
        if copies.lost_before > self._copies.lost_before:
            self._loss_known_at = self._runtime.clock.monotonic()
            for turn in list(self._cache):
                self._drop_cached(turn)
        self._copies = copies
        self._changed.set()
        self._changed = asyncio.Event()
        logger.info(
            "set of copies",
            extra={
                "decision": "copies",
                "set_version": copies.version,
                "members": sorted(copies.members),
                "lost_before": copies.lost_before,
            },
        )

    async def read_chain(self, turn, *, admit=lambda size: True):
        """Return the `ChainText` of a turn and all turns before it.

        Parameters
        ----------
        turn : str
            The last turn.
        admit : callable, optional
            Called with the bytes of the text before most of it is read; returns
            whether all of it may be kept in memory.

        Raises
        ------
        CallError
            ``turn_unknown`` if enough copies report that there is no such turn,
            else ``history_unavailable``.
        """
        cached = self._find_cached(turn)
        if cached is not None and admit(len(cached.text)):
            return cached
        if cached is not None:
            return replace(
                cached, text=b"", long=self.build_long(turn, len(cached.text))
            )
        chain = await self._retry_on_change(
            lambda copies: self._reader.read(copies, turn, admit)
        )
        self.cache(turn, chain)
        return chain

    def build_long(self, turn, size):
        """Return the `LongText` of a chain of `size` bytes."""

        async def read(start, length):
            chain = await self._retry_on_change(
                lambda copies: self._reader.read(
                    copies, turn, lambda size: True, start=start, length=length
                )
            )
            return chain.text

        return LongText(turn, size, read)

    def cache(self, turn, chain):
        """Cache the text of a chain for its next turn, unless it is long."""
        if chain is None or chain.long is not None or turn in self._cache:
            return
        if len(chain.text) > MAX_WHOLE_BYTES:
            return
        usable_until = (
            self._runtime.clock.monotonic() + chain.kept_seconds - CACHE_MARGIN_SECONDS
        )
        self._cache[turn] = chain, usable_until
        self._cached_bytes += len(chain.text)
        while self._cached_bytes > CACHE_BYTES and len(self._cache) > 1:
            self._drop_cached(next(iter(self._cache)))

    def _find_cached(self, turn):
        """Return the cached `ChainText` of a turn that copies still keep, or None."""
        chain, usable_until = self._cache.get(turn, (None, 0.0))
        if chain is None:
            return None
        if self._runtime.clock.monotonic() > usable_until:
            self._drop_cached(turn)
            return None
        self._cache.move_to_end(turn)
        return chain

    def _drop_cached(self, turn):
        chain, _ = self._cache.pop(turn)
        self._cached_bytes -= len(chain.text)

    async def reserve(self, program, turn, tokens, budget, *, keep_seconds):
        """Reserve tokens for a turn.

        Returns
        -------
        asyncio.Task
            Ends once the reservation is durable; raises `CallError` if it cannot be
            made durable.

        Raises
        ------
        CallError
            ``budget_exceeded``, or ``history_unavailable`` if too few copies answer,
            at once if too few are reachable, or while what the program has spent
            before may be lost. Nothing may be sent to an engine then,
            and the turn must be settled with 0 tokens.
        """
        return await self._retry_on_change(
            lambda copies: self._reserve(
                copies, program, turn, tokens, budget, keep_seconds
            )
        )

    async def _reserve(self, copies, program, turn, tokens, budget, keep_seconds):
        self._check_lost_spending(copies, keep_seconds)
        needed = self._quorum(copies)
        reachable = self._count_reachable(copies)
        if reachable < needed:
            raise build_unavailable(
                f"{reachable} copies are reachable, {needed} are needed", ()
            )
        message = Reservation(
            copies.version, program, turn, tokens, keep_seconds, self._wall()
        )
        counted = [asyncio.get_running_loop().create_future() for _ in copies.members]
        synced = [
            start_task(self._reserve_at(host, message, future), name="reservation")
            for host, future in zip(copies.members, counted)
        ]
        answers = await gather_quorum(counted, needed, ANSWER_TIMEOUT_SECONDS)
        spent = _sum_other_turns(answers, turn)
        if spent + tokens <= budget:
            spent = _sum_other_turns(await self._ask_spending(copies, program), turn)
        if spent + tokens > budget:
            raise CallError(
                "budget_exceeded",
                f"{spent} of {budget} tokens are spent or reserved",
            )
        return start_task(
            gather_quorum(synced, needed, ANSWER_TIMEOUT_SECONDS), name="reservation"
        )

    def _check_lost_spending(self, copies, keep_seconds):
        """Refuse reservations while spending may be lost that would still count.

        No copy can tell a new program from one whose records are lost.
        """
        if not copies.lost_before:
            return
        age = self._runtime.clock.monotonic() - self._loss_known_at
        if age < keep_seconds:
            raise CallError(
                "history_unavailable",
                "the tokens that programs have spent may be lost",
                retry_after=keep_seconds - age,
            )

    async def _ask_spending(self, copies, program):
        """Ask a majority again what a program has spent.

        Each of several concurrent reservations may see only some of the others while
        it is being written. After that, the one that was written last sees all.
        """
        message = SpendingQuery(copies.version, program)
        tasks = self._ask_members(copies, message, name="spending")
        return await gather_quorum(tasks, self._quorum(copies), ANSWER_TIMEOUT_SECONDS)

    def settle(self, program, turn, tokens, *, keep_seconds):
        """Replace a reservation by the tokens used; return without waiting."""
        message = Settlement(program, turn, tokens, keep_seconds, self._wall())
        start_task(self._settle(message), name="settlement")

    async def _settle(self, message):
        """Send a settlement until more copies have it than may be lost.

        The others fetch it from these. Without it the reservation goes on to count.
        """
        for pause in (*SETTLE_PAUSES_SECONDS, 0.0):
            tasks = self._ask_members(self._copies, message, name="settlement")
            answers = await asyncio.gather(*tasks, return_exceptions=True)
            stored = sum(isinstance(answer, TurnSynced) for answer in answers)
            if stored > self._runtime.settings.tolerated_losses:
                return
            await asyncio.sleep(pause)
        logger.warning(
            "settlement is not durable",
            extra={
                "decision": "settle",
                "program": message.program,
                "turn": message.turn,
                "tokens": message.tokens,
                "copies": stored,
            },
        )

    def renew(self, program, turn, *, keep_seconds):
        """Keep what a running turn needs for longer; return without waiting.

        Parameters
        ----------
        program : str
            Its program, the spending of which is kept.
        turn : str
            The turn that it continues, which is kept with its chain; empty for none.
        keep_seconds : float
            Seconds for which both are kept at least.
        """
        message = Renewal(self._copies.version, program, turn, keep_seconds)
        self._ask_members(self._copies, message, name="renewal")

    async def commit(self, turn):
        """Return once a turn is durable.

        Raises
        ------
        CallError
            ``history_unavailable``: too few copies have stored it, or it continues
            a turn that is not kept any more.
        """
        turn.written_at = self._wall()
        is_long = len(turn.input) + len(turn.output) > MAX_PARALLEL_BYTES
        async with self._long_commits if is_long else contextlib.nullcontext():
            await self._retry_on_change(lambda copies: self._commit(copies, turn))

    async def _commit(self, copies, turn):
        message = TurnCommit(copies.version, turn)
        tasks = [
            start_task(self._commit_at(host, message), name="turn")
            for host in copies.members
        ]
        answers = await gather_quorum(
            tasks, self._quorum(copies), ANSWER_TIMEOUT_SECONDS
        )
        if all(answer.previous_absent for answer in answers):
            raise CallError(
                "history_unavailable", f"turn {turn.previous!r} is not kept any more"
            )

    async def _commit_at(self, host, message):
        """Store a turn at a copy, and again if the connection to it is lost.

        Nothing else can be done with a turn that has run; a copy keeps it once.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ANSWER_TIMEOUT_SECONDS
        while True:
            timeout = max(0.0, deadline - loop.time())
            try:
                return await self._runtime.peers.ask(host, message, timeout=timeout)
            except PeerUnavailable as error:
                if loop.time() + COMMIT_RETRY_SECONDS >= deadline:
                    raise
                logger.info("turn is sent to %s again: %s", host, error)
            await asyncio.sleep(COMMIT_RETRY_SECONDS)

    def _ask_members(self, copies, message, *, name):
        """Start a request to each member of a set; return the tasks."""
        return [
            start_task(
                self._runtime.peers.ask(host, message, timeout=ANSWER_TIMEOUT_SECONDS),
                name=name,
            )
            for host in copies.members
        ]

    async def _retry_on_change(self, attempt):
        """Call `attempt` with the known set, and again while that set is outdated."""
        for _ in range(MAX_CHANGES):
            copies = self._copies
            changed = self._changed
            try:
                return await attempt(copies)
            except CallError as error:
                if error.code != COPIES_CHANGED:
                    raise
                if copies is self._copies:
                    await self._wait_for_change(changed, error)
        return await attempt(self._copies)

    async def _wait_for_change(self, changed, error):
        tasks = [
            start_task(self._ask_set(host), name="set") for host in self._copies.members
        ]
        try:
            async with limit_wait(AnswerDeadline(CHANGE_TIMEOUT_SECONDS)):
                await changed.wait()
        except TimeoutError:
            raise error from None
        finally:
            for task in tasks:
                task.cancel()

    async def _ask_set(self, host):
        """Switch to the set that a copy uses."""
        try:
            copies = await self._runtime.peers.ask(
                host, SetQuery(), timeout=CHANGE_TIMEOUT_SECONDS
            )
        except (PeerError, CallError) as error:
            logger.info("%s does not tell its set: %s", host, error)
            return
        self.update_copies(copies)

    async def _reserve_at(self, host, message, counted):
        """Reserve at one copy; set the future `counted` once it has been counted."""
        stream = self._runtime.peers.stream(
            host, message, timeout=ANSWER_TIMEOUT_SECONDS
        )
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
        raise PeerError(f"{host} did not confirm that the reservation is durable")

    def _count_reachable(self, copies):
        membership = self._runtime.gossip.membership
        if not membership.active:  # copies send nothing to standby hosts
            return len(copies.members)
        now = self._runtime.clock.monotonic()
        return sum(
            membership.silent_for(host, now) < REACHABLE_SECONDS
            for host in copies.members
        )

    def _wall(self):
        return self._runtime.clock.wall()

    def _quorum(self, copies):
        return write_quorum(
            len(copies.members), tolerated=self._runtime.settings.tolerated_losses
        )


def _sum_other_turns(answers, turn):
    """Return the tokens of a program's other turns, merged over all answers."""
    known = {}
    for answer in answers:
        for spending in answer.spendings:
            before = known.get(spending.turn)
            if before is None or (spending.settled and not before.settled):
                known[spending.turn] = spending
    return sum(each.tokens for name, each in known.items() if name != turn)
