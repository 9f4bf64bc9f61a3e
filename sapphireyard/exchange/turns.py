"""Streamed turns: their history, their token budget, and the record of each.

On a route without retention, turns have no history and are not stored.
"""

import asyncio
import logging

from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError, UpstreamFailed
from sapphireyard.exchange.answers import check_answer
from sapphireyard.exchange.events import EventReader
from sapphireyard.exchange.exchange import MAX_ANSWER_BYTES
from sapphireyard.exchange.held import RETRY_SECONDS
from sapphireyard.history.chains import WINDOW_BYTES
from sapphireyard.history.client import MAX_WHOLE_BYTES, RENEWAL_SECONDS
from sapphireyard.history.generated_history import Turn
from sapphireyard.history.reader import ChainText
from sapphireyard.streams.frames import MAX_FRAME_BYTES
from sapphireyard.tasks import start_task
from sapphireyard.timeouts import AnswerDeadline, limit_wait

logger = logging.getLogger(__name__)

RETENTION_MARGIN_SECONDS = 15.0
"""Added to the retention: copies receive a turn, and start to count its retention,
before its caller sees the end."""
PROGRAM_FACTOR = 2.0
"""A program may go on until twice the time has passed that it has left."""
MAX_PROGRAM_SECONDS = 300.0
"""Longest time of a program for which its spending is kept between two turns: callers
choose it, and copies keep the log since a program's first record."""
UNSENT_RETRIES = 2
"""Retries after failed connections, in addition to the route's attempts."""
MAX_EVENT_BYTES = 1024 * 1024
"""Largest event of a stream."""
MAX_TURN_BYTES = MAX_FRAME_BYTES - 64 * 1024
"""Largest input and output of a kept turn, which copies get in one message."""
OUTPUT_SHARE = 0.25
"""Share of the largest turn that is kept free for its output when it is accepted."""
MAX_TOKENS = 10**15
"""No budget of a program is as high; copies store 64 bits."""
COMMIT_TIMEOUT_SECONDS = 2.0
"""Longest time for which the end of a complete answer is held back."""


class TurnService:
    """Serves turns of programs.

    Parameters
    ----------
    runtime : Runtime
        Provides history, pools, configuration and clock.
    sender : UpstreamSender
        Sends requests to upstreams.
    """

    def __init__(self, runtime, sender):
        self._runtime = runtime
        self._sender = sender
        self.exchange = None

    async def serve(self, admitted, reply):
        """Run one turn and answer it."""
        held = self._runtime.held
        now = self._runtime.clock.monotonic()
        hold = held.open(admitted.call.request_id, now=now, overhead=0)
        try:
            await self._serve(admitted, reply, hold)
        finally:
            held.close(hold)

    async def _serve(self, admitted, reply, hold):
        keep_seconds = self._spending_seconds(admitted)
        chain, synced = await self._prepare(admitted, keep_seconds, hold)
        admitted.mark("history", self._runtime.clock.monotonic())
        reader = admitted.reader = EventReader()
        committed = False
        renewing = start_task(self._renew(admitted, keep_seconds), name="renewal")
        try:
            committed = await self._run(admitted, chain, synced, reply, reader)
        finally:
            renewing.cancel()
            if synced is not None and not committed:
                tokens = self._count_tokens(admitted, reader)
                self._runtime.history.settle(
                    self._program(admitted),
                    admitted.call.request_id,
                    tokens,
                    keep_seconds=keep_seconds,
                )
            # The error of a broken stream refers to itself, and to this reader.
            reader.release()

    async def _renew(self, admitted, keep_seconds):
        """Keep the chain before a turn, and the program's spending, while it runs.

        Their retention may end before the turn does, which needs both for longer.
        """
        call = admitted.call
        turn = call.previous_turn if admitted.route.retention is not None else ""
        while turn or call.token_budget is not None:
            await asyncio.sleep(RENEWAL_SECONDS)
            self._runtime.history.renew(
                self._program(admitted), turn, keep_seconds=keep_seconds
            )

    async def _prepare(self, admitted, keep_seconds, hold):
        """Return the chain before a turn, and the task that syncs its reservation.

        The task is None if there is no budget.
        """
        call = admitted.call
        if call.token_budget is None:
            return await self._read_chain(admitted, hold), None
        reading = start_task(self._read_chain(admitted, hold), name="chain")
        try:
            synced = await self._runtime.history.reserve(
                self._program(admitted),
                call.request_id,
                call.output_tokens,
                call.token_budget,
                keep_seconds=keep_seconds,
            )
            return await reading, synced
        except BaseException:
            reading.cancel()
            self._runtime.history.settle(
                self._program(admitted), call.request_id, 0, keep_seconds=keep_seconds
            )
            raise

    async def _read_chain(self, admitted, hold):
        turn = admitted.call.previous_turn
        if admitted.route.retention is None:
            return ChainText(admitted.customer.name)
        self._check_turn_size(admitted)
        if not turn:
            return ChainText(admitted.customer.name)

        def admit(size):
            return self._keep_chain(admitted, hold, size)

        chain = await self._runtime.history.read_chain(turn, admit=admit)
        if chain.customer != admitted.customer.name:
            logger.info(
                "turn of another customer",
                extra={
                    "decision": "chain",
                    "request_id": admitted.call.request_id,
                    "turn": turn,
                    "customer": admitted.customer.name,
                    "owner": chain.customer,
                },
            )
            raise CallError("turn_unknown", f"there is no turn {turn!r}")
        return chain

    @staticmethod
    def _check_turn_size(admitted):
        """Refuse a turn that copies could not keep, before it runs."""
        body = len(admitted.body)
        largest = int(MAX_TURN_BYTES * (1 - OUTPUT_SHARE))
        if body > largest:
            raise CallError(
                "request_too_large",
                f"a kept turn may have {largest} bytes: got {body}",
            )

    def _keep_chain(self, admitted, hold, size):
        """Count the text of a history; return whether all of it may be in memory.

        A long one is read from the copies while it is sent, in windows. Raises
        `CallError` if there is no room for a window.
        """
        held = self._runtime.held
        is_short = size + len(admitted.body) <= MAX_WHOLE_BYTES
        is_whole = is_short and held.admits(size - hold.kept)
        missing = (size if is_whole else min(size, WINDOW_BYTES)) - hold.kept
        is_admitted = held.admits(missing)
        if not is_whole:
            logger.info(
                "history is read while it is sent",
                extra={
                    "decision": "held",
                    "request_id": hold.label,
                    "size": size,
                    "total": held.total,
                    "limit": held.limit,
                    "admitted": is_admitted,
                },
            )
        if not is_admitted:
            raise CallError(
                "overloaded",
                f"{held.total} bytes are kept for other requests",
                retry_after=RETRY_SECONDS,
            )
        held.keep(hold, missing)
        return is_whole

    async def _run(self, admitted, chain, synced, reply, reader):
        """Send the turn until an engine runs it; return whether it was committed."""
        excluded = []
        error = None
        unsent = 0
        max_sends = max(1, admitted.route.attempts)
        while admitted.sends < max_sends and unsent <= UNSENT_RETRIES:
            try:
                ran = await self._attempt(
                    admitted, chain, synced, reply, reader, excluded
                )
            except UpstreamFailed as failure:
                if reply.started or failure.sent:
                    raise CallError(
                        "upstream_failed",
                        f"{admitted.upstream}: {failure}",
                        executed=EXECUTED_UNKNOWN,
                    ) from failure
                error = failure
                unsent += 1
                continue
            if ran is not None:
                return ran
        self.exchange.raise_failed(admitted, error)

    async def _attempt(self, admitted, chain, synced, reply, reader, excluded):
        """Send the turn to one engine.

        Returns
        -------
        bool or None
            Whether the turn was committed; None if the engine refused it.
        """
        request = self.exchange.build_slot_request(
            admitted, excluded, prefix_tokens=chain.tokens
        )
        pools = self._runtime.pools
        lease = pools.lease(
            request, upstream_hint=chain.upstream, placed=admitted.placed
        )
        async with lease as upstream:
            excluded.append(upstream.name)
            dispatch = self.exchange.build_dispatch(
                admitted, upstream, prefix=chain.text, history=chain.long
            )
            admitted.sends += 1
            watch = self.exchange.watch_silence(admitted)
            try:
                async with self._sender.send(dispatch) as answer:
                    self.exchange.record_answer(admitted, upstream, answer)
                    if answer.refused:
                        pools.report(upstream, ok=True)
                        return None
                    admitted.may_have_run = True
                    check_answer(answer)
                    if answer.status != 200:
                        data = await self.exchange.read_body(admitted, answer, upstream)
                        await reply.send_complete(answer.status, answer.headers, data)
                        pools.report(upstream, ok=answer.status < 500)
                        return False
                    await self._forward(admitted, answer, synced, reply, reader)
                    await self.exchange.check_end(answer, upstream)
            except UpstreamFailed as error:
                self.exchange.record_failure(admitted, upstream, error)
                raise
            finally:
                watch.cancel()
            self.exchange.record_success(admitted, upstream)
        if admitted.route.retention is not None:
            admitted.mark("last", self._runtime.clock.monotonic())
            await self._commit(admitted, chain, reader)
        await reply.finish()
        return admitted.route.retention is not None

    async def _forward(self, admitted, answer, synced, reply, reader):
        """Forward events as they come, the first once the reservation is durable."""
        with self.exchange.open_answer(admitted) as keep:
            await self._forward_chunks(admitted, answer, synced, reply, reader, keep)
        if reader.partial:
            raise UpstreamFailed("stream ended inside an event")
        if not reader.events:
            raise UpstreamFailed("stream without an event")

    async def _forward_chunks(self, admitted, answer, synced, reply, reader, keep):
        is_first = True
        async for chunk in answer.chunks:
            if is_first:
                is_first = False
                admitted.answered = True
                if synced is not None:
                    await synced
                await reply.start(answer.status, answer.headers)
                admitted.mark("first", self._runtime.clock.monotonic())
            reader.feed(chunk)
            _check_size(reader)
            if admitted.route.retention is not None:
                _check_kept_size(admitted, reader)
            await keep(len(chunk))
            await reply.write(chunk)

    async def _commit(self, admitted, chain, reader):
        """Make the turn durable before the caller sees its end."""
        call = admitted.call
        output = bytes(reader.output)
        tokens = self._count_tokens(admitted, reader)
        turn = Turn(
            call.request_id,
            call.previous_turn,
            admitted.customer.name,
            self._program(admitted),
            tokens,
            admitted.body,
            output,
            self._keep_seconds(admitted),
            upstream=admitted.upstream,
            context_tokens=call.prompt_tokens + tokens,
        )
        async with limit_wait(AnswerDeadline(COMMIT_TIMEOUT_SECONDS)):
            await self._runtime.history.commit(turn)
        self._runtime.history.cache(call.request_id, chain.extend(turn))

    @staticmethod
    def _keep_seconds(admitted):
        """Return the seconds for which a turn is kept."""
        return (admitted.route.retention or 0.0) + RETENTION_MARGIN_SECONDS

    def _spending_seconds(self, admitted):
        """Return the seconds for which the spending of a program is kept.

        Its next turn may be on another route, and come at any time until the program
        ends, or within the retention after that.
        """
        table = self._runtime.configuration.table
        program_seconds = min(admitted.call.program_timeout or 0.0, MAX_PROGRAM_SECONDS)
        return RETENTION_MARGIN_SECONDS + max(
            admitted.route.retention or 0.0,
            table.longest_retention,
            PROGRAM_FACTOR * program_seconds,
        )

    def _count_tokens(self, admitted, reader):
        """Return the tokens that a turn has generated.

        A version of the configuration that came during the turn may have another
        figure, or no such service any more. The higher one counts: what is counted
        too low is spent once more.
        """
        current = self._runtime.configuration.table.find_tokens_per_event(
            admitted.service
        )
        tokens = reader.events * max(admitted.tokens_per_event, current or 0)
        return min(tokens, MAX_TOKENS)

    @staticmethod
    def _program(admitted):
        program = admitted.call.program or admitted.call.request_id
        return f"{admitted.customer.name}/{program}"


def _check_size(reader):
    """Raise `UpstreamFailed` for a stream or an event without end."""
    if reader.trailing_bytes > MAX_EVENT_BYTES:
        raise UpstreamFailed(f"an event exceeds {MAX_EVENT_BYTES} bytes")
    if reader.total_bytes > MAX_ANSWER_BYTES:
        raise UpstreamFailed(f"stream exceeds {MAX_ANSWER_BYTES} bytes")


def _check_kept_size(admitted, reader):
    """Raise `UpstreamFailed` for a turn that copies could not keep."""
    if len(admitted.body) + len(reader.output) > MAX_TURN_BYTES:
        raise UpstreamFailed(f"a kept turn exceeds {MAX_TURN_BYTES} bytes")
