"""Durable reservations of calls, made before sending and settled afterwards."""

import contextlib

from sapphireyard.exceptions import (
    EXECUTED_NO,
    EXECUTED_YES,
    CallError,
    JournalSealed,
    StoreUnavailable,
)
from sapphireyard.journal.generated_records import (
    CallAbandoned,
    CallCompleted,
    CallReserved,
    CallSource,
)
from sapphireyard.upstreams.completions import dump_json

STORE_RETRY_SECONDS = 2.0


class Reservations:
    """Reserves calls in their programs and settles them.

    A call is sent only after `commit`, and its answer reaches the caller only
    after `complete`. A repeatable call of a program without a budget needs no
    durable reservation: losing it has no consequence.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime

    def reserve(self, execution, tokens):
        """Charge the worst case of a call to its budgets; return the record."""
        if not execution.is_durable:
            return None
        route = execution.route
        record = CallReserved(
            program=execution.program.key,
            sequence=execution.run.sequence,
            digest=execution.run.digest,
            route=route.name,
            repeatable=route.repeatable,
            tokens=tokens,
            is_model=route.kind == "model",
            idempotency_key=execution.call.idempotency_key,
        )
        self._runtime.programs.apply(execution.partition, record)
        execution.reserved = True
        return record

    async def commit(self, execution, record, charged_programs):
        """Make a reservation durable, unless nothing depends on it.

        Parameters
        ----------
        execution : Execution
            The call.
        record : CallReserved or None
            Its reservation.
        charged_programs : iterable of Program
            Programs whose budgets the call draws on.

        Raises
        ------
        CallError
            ``store_unavailable``: the call must not be sent.
        JournalSealed
            This host no longer owns the program.
        """
        if record is None:
            return
        if record.repeatable and not any(
            program.has_budget for program in charged_programs
        ):
            return
        try:
            await self._commit_record(
                record, execution, needs_store=not record.repeatable
            )
        except StoreUnavailable as error:
            raise CallError(
                "store_unavailable",
                "the call cannot be recorded now",
                retry_after=STORE_RETRY_SECONDS,
            ) from error

    async def complete(self, execution, answer, reserved_tokens):
        """Make an answer durable and end the run with it.

        Raises
        ------
        CallError
            ``store_unavailable``: the answer could not be recorded.
        JournalSealed
            This host no longer owns the program.
        """
        run = execution.run
        if execution.is_durable:
            record = self._build_completion(execution, answer, reserved_tokens)
            position = await self._commit_answer(execution, record)
            source = CallSource(*position)
            self._runtime.programs.apply(execution.partition, record, source=source)
        run.finish(answer.status, answer.body, answer.last_chunks)

    async def abandon(self, execution, error):
        """Undo the reservation of a call that got no answer."""
        if execution.rate_acquired and execution.executed == EXECUTED_NO:
            self._runtime.limits.refund(execution.call.customer)
        if not execution.reserved or isinstance(error, JournalSealed):
            return
        record = CallAbandoned(
            execution.program.key, execution.run.sequence, execution.executed
        )
        self._runtime.programs.apply(execution.partition, record)
        if not execution.journalled:
            return
        with contextlib.suppress(StoreUnavailable, JournalSealed, CallError):
            await self._runtime.journal.commit([record], partition=execution.partition)

    def _build_completion(self, execution, answer, reserved_tokens):
        route = execution.route
        is_model = route.kind == "model"
        body = execution.body
        request = {"messages": body["messages"]} if is_model else body
        return CallCompleted(
            program=execution.program.key,
            sequence=execution.run.sequence,
            digest=execution.run.digest,
            status=answer.status,
            request=dump_json(request),
            answer=answer.body,
            tokens=reserved_tokens if answer.tokens < 0 else answer.tokens,
            idempotency_key=execution.call.idempotency_key,
            route=route.name,
            repeatable=route.repeatable,
            is_model=is_model,
        )

    async def _commit_record(self, record, execution, *, needs_store=False):
        """Commit a record, preceded by the program's opening if that is pending."""
        program = execution.program
        records = (
            [program.pending_opening, record] if program.pending_opening else [record]
        )
        execution.journalled = True
        clock = self._runtime.clock
        started = clock.monotonic()
        position = await self._runtime.journal.commit(
            records, partition=execution.partition, needs_store=needs_store
        )
        self._runtime.metrics.record("commit_duration", clock.monotonic() - started)
        program.pending_opening = None
        return position

    async def _commit_answer(self, execution, record):
        try:
            return await self._commit_record(record, execution)
        except StoreUnavailable as error:
            await self.abandon(execution, error)
            raise CallError(
                "store_unavailable",
                "the answer could not be recorded",
                executed=EXECUTED_YES,
                retry_after=STORE_RETRY_SECONDS,
            ) from error
