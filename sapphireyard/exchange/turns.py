"""Streamed turns: history before them, budget around them, record after.

On a route that keeps nothing a turn is a stream and no more.
"""

import asyncio

from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError, UpstreamFailed
from sapphireyard.exchange.events import EventReader
from sapphireyard.exchange.exchange import ANSWER_BYTES, check_answer, read_all
from sapphireyard.history.client import ChainText
from sapphireyard.history.generated_history import Turn
from sapphireyard.tasks import start_task

KEEP_MARGIN_SECONDS = 15.0
"""Kept beyond the retention: copies get a turn before its caller sees the end."""
COMMIT_SECONDS = 2.0
"""Longest time by which the end of a whole answer is held back."""


class TurnService:
    """Serves turns of programs.

    Parameters
    ----------
    yard : Yard
        Gives history, pools, configuration and clock.
    sender : UpstreamSender
        Sends in the site's form.
    """

    def __init__(self, yard, sender):
        self._yard = yard
        self._sender = sender
        self.exchange = None

    async def serve(self, admitted, reply):
        """Run one turn and answer it."""
        keep_seconds = self._keep_seconds(admitted)
        chain, synced = await self._prepare(admitted, keep_seconds)
        admitted.mark("history", self._yard.clock.monotonic())
        reader = EventReader()
        kept = False
        try:
            kept = await self._run(admitted, chain, synced, reply, reader)
        finally:
            if synced is not None and not kept:
                tokens = reader.events * self._tokens_per_event(admitted)
                self._yard.history.settle(
                    self._program(admitted),
                    admitted.call.request_id,
                    tokens,
                    keep_seconds=keep_seconds,
                )

    async def _prepare(self, admitted, keep_seconds):
        """Return the chain before a turn and the task of its reservation."""
        call = admitted.call
        if call.token_budget is None:
            return await self._read_chain(admitted), None
        reading = start_task(self._read_chain(admitted), name="chain")
        try:
            synced = await self._yard.history.reserve(
                self._program(admitted),
                call.request_id,
                call.output_tokens,
                call.token_budget,
                keep_seconds=keep_seconds,
            )
            return await reading, synced
        except BaseException:
            reading.cancel()
            self._yard.history.settle(
                self._program(admitted), call.request_id, 0, keep_seconds=keep_seconds
            )
            raise

    async def _read_chain(self, admitted):
        turn = admitted.call.previous_turn
        if not turn or admitted.route.retention is None:
            return ChainText(admitted.customer.name)
        chain = await self._yard.history.read_chain(turn)
        if chain.customer != admitted.customer.name:
            raise CallError("turn_unknown", f"there is no turn {turn!r}")
        return chain

    async def _run(self, admitted, chain, synced, reply, reader):
        """Send the turn until an engine runs it; return whether it is kept."""
        excluded = []
        error = None
        unsent = 0
        while admitted.sends < max(1, admitted.route.attempts) and unsent <= 2:
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
            Whether the turn is kept; None when the engine refused it.
        """
        request = self.exchange.slot_request(
            admitted, excluded, prefix_tokens=chain.tokens
        )
        pools = self._yard.pools
        async with pools.lease(request, upstream_hint=chain.upstream) as upstream:
            excluded.append(upstream.name)
            dispatch = self.exchange.dispatch(admitted, upstream, before=chain.text)
            admitted.sends += 1
            try:
                async with self._sender.send(dispatch) as answer:
                    if answer.refused:
                        pools.report(upstream, ok=True)
                        return None
                    admitted.may_have_run = True
                    check_answer(answer)
                    if answer.status != 200:
                        data = await read_all(answer.chunks, ANSWER_BYTES)
                        await reply.send_complete(answer.status, answer.headers, data)
                        pools.report(upstream, ok=answer.status < 500)
                        return False
                    await self._pass_on(admitted, answer, synced, reply, reader)
            except UpstreamFailed as error:
                self.exchange.record_failure(admitted, upstream, error)
                raise
            self.exchange.record_success(admitted, upstream)
        if admitted.route.retention is not None:
            admitted.mark("last", self._yard.clock.monotonic())
            await self._keep(admitted, chain, reader)
        await reply.finish()
        return True

    async def _pass_on(self, admitted, answer, synced, reply, reader):
        """Pass events on as they come, the first once its tokens are reserved."""
        waiting = True
        async for chunk in answer.chunks:
            if waiting:
                waiting = False
                if synced is not None:
                    await synced
                await reply.start(answer.status, answer.headers)
                admitted.mark("first", self._yard.clock.monotonic())
            reader.feed(chunk)
            await reply.write(chunk)
        if waiting:
            raise UpstreamFailed("stream without an event")
        if reader.partial:
            raise UpstreamFailed("stream ended inside an event")

    async def _keep(self, admitted, chain, reader):
        """Make the turn durable before the caller sees its end."""
        call = admitted.call
        output = bytes(reader.output)
        tokens = reader.events * self._tokens_per_event(admitted)
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
        async with asyncio.timeout(COMMIT_SECONDS):
            await self._yard.history.commit(turn)
        text = ChainText(
            admitted.customer.name,
            chain.text + admitted.body + output,
            admitted.upstream,
            call.prompt_tokens + tokens,
        )
        self._yard.history.cache(call.request_id, text)

    @staticmethod
    def _keep_seconds(admitted):
        """Return how long records of a turn are kept."""
        return (admitted.route.retention or 0.0) + KEEP_MARGIN_SECONDS

    def _tokens_per_event(self, admitted):
        service = self._yard.configuration.table.services.get(admitted.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.tokens_per_event

    @staticmethod
    def _program(admitted):
        program = admitted.call.program or admitted.call.request_id
        return f"{admitted.customer.name}/{program}"
