"""Carries out one call: limits, journal, slot, upstream, journal, answer."""

import asyncio
import contextlib
import json
import logging
from dataclasses import dataclass

from sapphireyard.budgets import (
    bound_prompt_tokens,
    bound_seconds,
    check_calls,
    fit_answer_tokens,
)
from sapphireyard.completions import (
    CompletionAssembler,
    build_prompt,
    collect_messages,
    count_tokens,
    digest_program,
    dump_json,
)
from sapphireyard.exceptions import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    EXECUTED_YES,
    CallError,
    JournalSealed,
    StoreUnavailable,
)
from sapphireyard.generated_messages import ForwardCall
from sapphireyard.generated_records import (
    CallAbandoned,
    CallCompleted,
    CallReserved,
)
from sapphireyard.programs import Program
from sapphireyard.runs import Run
from sapphireyard.slots import SlotRequest
from sapphireyard.tables import PUBLIC_CUSTOMER
from sapphireyard.upstreams import UpstreamError, UpstreamRefusal, parse_chunk

logger = logging.getLogger(__name__)

ATTEMPTS = 3
"""Most times one call is sent, when it may be repeated or was not received."""

BYTES_A_TOKEN = 4
"""Usual bytes of text in a token, for estimates of the load only."""

FIRST_RETRIED_STATUS = 500
"""From this HTTP status on, an answer is a failure of the upstream."""

STORE_RETRY_SECONDS = 2.0
UPSTREAM_RETRY_SECONDS = 1.0


@dataclass
class Execution:
    """One call under way on its owner.

    Parameters
    ----------
    run : Run
        Where its callers read the answer.
    program : Program
        The program; not in `Programs` when the call has none.
    partition : int or None
        Partition of the program; None when nothing of it is kept.
    call : ForwardCall
        The request.
    body : dict
        The request's parsed JSON body.
    deadline : float
        Monotonic seconds.
    """

    run: Run
    program: Program
    partition: int | None
    call: ForwardCall
    body: dict
    deadline: float
    route: object = None
    rated: bool = False
    reserved: bool = False
    journalled: bool = False
    sent: bool = False
    cancel_error: CallError | None = None

    @property
    def executed(self):
        """str: What is known about the upstream having run the call."""
        return EXECUTED_UNKNOWN if self.sent else EXECUTED_NO

    def explain_loss(self):
        """Return the error for a call whose program moved or that was stopped."""
        if self.cancel_error is not None:
            return self.cancel_error
        if self.sent:
            return CallError(
                "outcome_unknown",
                "the host lost the program while the call ran",
                executed=EXECUTED_UNKNOWN,
            )
        return CallError(
            "draining", "the program moved to another host", retry_after=0.0
        )

    def explain_failure(self):
        """Return the error for a fault of this host."""
        return CallError("internal_error", "internal error", executed=self.executed)


class Executor:
    """Carries out calls that were admitted.

    Parameters
    ----------
    yard : Yard
        The process this belongs to.
    """

    def __init__(self, yard):
        self._yard = yard

    def cancel(self, run, error=None):
        """Stop a run; its callers get `error`."""
        if error is not None:
            run.fail(error)
        run.task.cancel()

    async def release(self, program):
        """Ask the engines that served a program to drop what they hold of it."""
        for address in sorted(program.upstreams):
            with contextlib.suppress(UpstreamError):
                await self._yard.upstreams.release_program(
                    address, digest_program(program.key)
                )
        program.upstreams.clear()

    async def execute(self, execution):
        """Carry out a call and end its run.

        Raises
        ------
        CallError
            The call was refused or failed.
        JournalSealed
            This host no longer owns the program.
        """
        route = self._find_route(execution.call.route)
        execution.route = route
        pool = self._yard.configuration.current.pools[route.pool]
        self._yard.quarantine.check(execution.run.digest)
        answer_tokens, tokens = self._plan_tokens(execution, route)
        self._plan_seconds(execution)
        record = self._reserve(execution, route, tokens)
        try:
            await self._acquire_rate(execution)
            answer = await self._attempt(execution, pool, record, answer_tokens)
        except BaseException as error:
            await self._abandon(execution, error)
            raise
        await self._complete(execution, answer, tokens)

    async def _acquire_rate(self, execution):
        if execution.call.customer == PUBLIC_CUSTOMER:
            return
        await self._yard.limits.acquire(
            execution.call.customer, deadline=execution.deadline
        )
        execution.rated = True

    def _find_route(self, name):
        route = self._yard.configuration.current.routes.get(name)
        if route is None:
            raise CallError("route_unknown", f"no route {name!r}")
        return route

    def _payers(self, execution):
        program = execution.program
        if program.is_root:
            return [program]
        root = self._yard.programs.get(execution.partition, program.root)
        return [program, root] if root is not None else [program]

    def _plan_tokens(self, execution, route):
        payers = self._payers(execution)
        check_calls(payers)
        if route.kind != "model":
            return 0, 0
        messages = execution.body["messages"]
        size = len(dump_json(messages).encode())
        prompt = bound_prompt_tokens(execution.program, size, len(messages))
        wanted = execution.body.get("max_tokens")
        answer = fit_answer_tokens(payers, prompt, wanted)
        return answer, prompt + answer

    def _plan_seconds(self, execution):
        now = self._yard.clock.monotonic()
        left = execution.deadline - now
        payers = self._payers(execution)
        seconds = bound_seconds(payers, left, self._yard.clock.wall())
        execution.deadline = now + seconds

    def _reserve(self, execution, route, tokens):
        if execution.partition is None:
            return None
        record = CallReserved(
            program=execution.program.key,
            sequence=execution.run.sequence,
            digest=execution.run.digest,
            route=route.name,
            repeatable=route.repeatable,
            tokens=tokens,
            idempotency_key=execution.call.idempotency_key,
        )
        self._yard.programs.apply(execution.partition, record)
        execution.reserved = True
        return record

    async def _attempt(self, execution, pool, record, answer_tokens):
        """Send the call until an answer came; return the answer."""
        commit = asyncio.ensure_future(self._commit_intent(execution, record))
        failed = []
        try:
            for attempt in range(ATTEMPTS):
                request = self._build_slot_request(
                    execution, pool, answer_tokens, failed
                )
                async with self._yard.slots.lease(request) as grant:
                    await commit
                    self._check_may_send(execution)
                    try:
                        return await self._send(execution, grant, answer_tokens)
                    except UpstreamError as error:
                        failed.append(grant.upstream.name)
                        last_error = error
                        self._report_failure(execution, grant, error)
                if not self._may_retry(execution, last_error):
                    break
        finally:
            if not commit.done():
                await asyncio.wait([commit])
        raise CallError(
            "upstream_failed",
            str(last_error),
            executed=execution.executed,
            retry_after=UPSTREAM_RETRY_SECONDS,
        )

    async def _commit_intent(self, execution, record):
        if record is None:
            return
        records = [record]
        if execution.program.opening is not None:
            records.insert(0, execution.program.opening)
        execution.journalled = True
        try:
            await self._yard.journal.commit(
                records,
                partition=execution.partition,
                needs_store=not record.repeatable,
            )
        except StoreUnavailable as error:
            raise CallError(
                "store_unavailable",
                "the call cannot be recorded now",
                retry_after=STORE_RETRY_SECONDS,
            ) from error
        execution.program.opening = None

    def _check_may_send(self, execution):
        if execution.partition is not None:
            self._yard.ownership.check_owned(execution.partition)
        self._yard.configuration.check_fresh()
        if self._yard.clock.monotonic() >= execution.deadline:
            raise CallError(
                "deadline_exceeded", "no upstream was free before the deadline"
            )

    def _build_slot_request(self, execution, pool, answer_tokens, failed):
        program = execution.program
        size = len(execution.call.body)
        return SlotRequest(
            program=program.key,
            root=program.root,
            customer=execution.call.customer,
            pool=pool.name,
            prefix_tokens=program.context_tokens,
            new_tokens=size // BYTES_A_TOKEN,
            output_tokens=answer_tokens,
            deadline=execution.deadline,
            excluded=tuple(failed),
        )

    async def _send(self, execution, grant, answer_tokens):
        upstream = grant.upstream
        self._log_route(execution, upstream)
        self._yard.quarantine.began(execution.run.digest, upstream.name)
        crashed = False
        left = execution.deadline - self._yard.clock.monotonic()
        try:
            async with asyncio.timeout(left):
                if execution.route.kind == "model":
                    return await self._send_model(execution, grant, answer_tokens)
                return await self._send_service(execution, upstream)
        except UpstreamError as error:
            crashed = error.crashed
            execution.sent = execution.sent or error.sent
            raise
        except TimeoutError as error:
            raise CallError(
                "deadline_exceeded",
                "the upstream did not answer in time",
                executed=execution.executed,
            ) from error
        finally:
            self._yard.quarantine.ended(
                execution.run.digest, upstream.name, crashed=crashed
            )

    async def _send_model(self, execution, grant, answer_tokens):
        program = execution.program
        prompt = build_prompt(collect_messages(program), execution.body, answer_tokens)
        assembler = CompletionAssembler()
        program.upstreams.add(grant.upstream.address)
        name = digest_program(program.key) if program.key else ""
        events = self._yard.upstreams.stream_completion(
            grant.upstream.address, prompt, program=name
        )
        execution.sent = True
        last_chunks = []
        try:
            async with contextlib.aclosing(events):
                async for data in events:
                    assembler.add(parse_chunk(data))
                    if assembler.finished:
                        last_chunks.append(data)
                    else:
                        execution.run.add_chunk(data)
        except UpstreamRefusal as refusal:
            if refusal.status >= FIRST_RETRIED_STATUS:
                raise UpstreamError(str(refusal), sent=True) from refusal
            return _Answer(refusal.status, _ensure_json(refusal.text), None)
        if not assembler.finished:
            raise UpstreamError("the answer is not complete", sent=True)
        answer = assembler.build()
        usage = answer["usage"] or {}
        details = usage.get("prompt_tokens_details") or {}
        grant.report(
            output_tokens=usage.get("completion_tokens", 0),
            cached_tokens=details.get("cached_tokens", 0),
        )
        return _Answer(200, dump_json(answer), answer, tuple(last_chunks))

    async def _send_service(self, execution, upstream):
        execution.sent = True
        key = execution.call.idempotency_key
        status, text = await self._yard.upstreams.call_service(
            upstream.address,
            execution.route.path or execution.route.name,
            execution.body,
            idempotency_key=key,
            repeatable=execution.route.repeatable,
        )
        if status >= FIRST_RETRIED_STATUS:
            raise UpstreamError(f"status {status}", sent=True)
        return _Answer(status, _ensure_json(text), None)

    def _may_retry(self, execution, error):
        if execution.run.has_chunks:
            return False
        if error.sent and not execution.route.repeatable:
            return False
        if error.sent and not self._yard.retries.may_retry(
            execution.route.name, self._yard.clock.monotonic()
        ):
            return False
        return self._yard.clock.monotonic() < execution.deadline

    def _report_failure(self, execution, grant, error):
        self._yard.outliers.report(
            grant.upstream.name, ok=False, now=self._yard.clock.monotonic()
        )
        logger.warning(
            "upstream failed",
            extra={
                "program": execution.program.key,
                "sequence": execution.run.sequence,
                "upstream": grant.upstream.name,
                "reason": str(error),
                "sent": error.sent,
            },
        )

    def _log_route(self, execution, upstream):
        logger.info(
            "call routed",
            extra={
                "decision": "route",
                "program": execution.program.key,
                "sequence": execution.run.sequence,
                "customer": execution.call.customer,
                "route": execution.route.name,
                "upstream": upstream.name,
            },
        )

    async def _complete(self, execution, answer, reserved_tokens):
        run = execution.run
        if execution.partition is None:
            run.finish(answer.status, answer.body, answer.last_chunks)
            return
        used = reserved_tokens
        if isinstance(answer.parsed, dict):
            used = count_tokens(answer.parsed, otherwise=used)
        record = CallCompleted(
            program=execution.program.key,
            sequence=run.sequence,
            digest=run.digest,
            status=answer.status,
            request=self._keep_request(execution),
            answer=answer.body,
            tokens=used,
            idempotency_key=execution.call.idempotency_key,
        )
        await self._commit_answer(execution, record)
        self._yard.programs.apply(execution.partition, record)
        run.finish(answer.status, answer.body, answer.last_chunks)

    def _keep_request(self, execution):
        if execution.route.kind == "model":
            return dump_json({"messages": execution.body["messages"]})
        return dump_json(execution.body)

    async def _commit_answer(self, execution, record):
        try:
            await self._yard.journal.commit([record], partition=execution.partition)
        except StoreUnavailable as error:
            await self._abandon(execution, error)
            raise CallError(
                "store_unavailable",
                "the answer could not be recorded",
                executed=EXECUTED_YES,
                retry_after=STORE_RETRY_SECONDS,
            ) from error

    async def _abandon(self, execution, error):
        """Undo the reservation of a call that has no answer."""
        if execution.rated and execution.executed == EXECUTED_NO:
            self._yard.limits.refund(execution.call.customer)
        if not execution.reserved or isinstance(error, JournalSealed):
            return
        record = CallAbandoned(
            execution.program.key, execution.run.sequence, execution.executed
        )
        self._yard.programs.apply(execution.partition, record)
        if not execution.journalled:
            return
        with contextlib.suppress(StoreUnavailable, JournalSealed):
            await self._yard.journal.commit([record], partition=execution.partition)


@dataclass(frozen=True)
class _Answer:
    """An upstream's whole answer.

    `last_chunks` tell a streaming caller that the answer is complete, so they
    wait until it is journalled.
    """

    status: int
    body: str
    parsed: object
    last_chunks: tuple = ()


def _ensure_json(text):
    try:
        json.loads(text)
    except ValueError:
        return dump_json({"text": text})
    return text
