"""Executes calls.

A call passes the budget and the rate limit, its reservation is journalled, it
gets a slot and is sent to an upstream, and its answer is journalled and
returned.
"""

import asyncio
import contextlib
import logging

from sapphireyard.configuration.tables import PUBLIC_CUSTOMER
from sapphireyard.exceptions import EXECUTED_NO, CallError
from sapphireyard.programs.budgets import (
    bound_prompt_tokens,
    bound_seconds,
    check_calls,
    fit_answer_tokens,
)
from sapphireyard.programs.reservations import Reservations
from sapphireyard.programs.senders import BYTES_PER_TOKEN, SENDERS
from sapphireyard.scheduling.slots import SlotRequest
from sapphireyard.tasks import start_task
from sapphireyard.upstreams.completions import digest_program
from sapphireyard.upstreams.upstreams import UpstreamError, UpstreamLeaving

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
"""Most attempts of one call that may be repeated or was not received."""

UPSTREAM_RETRY_SECONDS = 1.0


class Executor:
    """Executes admitted calls.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        self._reservations = Reservations(runtime)
        self._senders = {kind: sender(runtime) for kind, sender in SENDERS.items()}

    async def execute(self, execution):
        """Execute a call and end its run.

        Raises
        ------
        CallError
            The call was refused or failed.
        JournalSealed
            This host no longer owns the program.
        """
        self._runtime.quarantine.check(execution.content_digest)
        if execution.is_durable and execution.route.kind == "model":
            await self._runtime.texts.load(execution.partition, execution.program)
        answer_tokens, tokens = self._plan_tokens(execution)
        self._limit_deadline(execution)
        record = self._reservations.reserve(execution, tokens)
        try:
            await self._acquire_rate(execution)
            answer = await self._run_attempts(execution, record, answer_tokens)
        except BaseException as error:
            await self._reservations.abandon(execution, error)
            raise
        await self._complete(execution, answer, tokens)

    async def _complete(self, execution, answer, tokens):
        """Record the answer and end the run with it.

        If it is cancelled it still completes the record first, since that may
        already be durable.
        """
        completion = start_task(
            self._reservations.complete(execution, answer, tokens), name="completion"
        )
        try:
            await asyncio.shield(completion)
        except asyncio.CancelledError:
            await asyncio.wait([completion])
            raise

    async def release(self, program):
        """Have slot homes and engines drop the state that they hold of a program."""
        for pool in program.pools:
            self._runtime.slots.end_program(program.key, program.root, pool)
        program.pools.clear()
        for address in sorted(program.upstreams):
            try:
                await self._runtime.upstreams.release_program(
                    address, digest_program(program.key)
                )
            except UpstreamError as error:
                logger.info("%s did not release memory: %s", address, error)
        program.upstreams.clear()

    def _list_charged_programs(self, execution):
        program = execution.program
        if program.is_root:
            return [program]
        root = self._runtime.programs.get(execution.partition, program.root)
        return [program, root] if root is not None else [program]

    def _plan_tokens(self, execution):
        """Return the answer limit and the worst case of the call, in tokens."""
        charged_programs = self._list_charged_programs(execution)
        check_calls(charged_programs)
        if execution.route.kind != "model":
            return 0, 0
        size = len(execution.call.body.encode())
        count = len(execution.body["messages"])
        prompt = bound_prompt_tokens(execution.program, size, count)
        requested = execution.body.get("max_tokens")
        answer = fit_answer_tokens(charged_programs, prompt, requested)
        return answer, prompt + answer

    def _limit_deadline(self, execution):
        now = self._now()
        charged_programs = self._list_charged_programs(execution)
        remaining = bound_seconds(
            charged_programs, execution.deadline - now, self._runtime.clock.wall()
        )
        execution.deadline = now + remaining

    async def _acquire_rate(self, execution):
        customer = execution.call.customer
        if customer == PUBLIC_CUSTOMER:
            return
        await self._runtime.limits.acquire(customer, deadline=execution.deadline)
        execution.rate_acquired = True

    async def _run_attempts(self, execution, record, answer_tokens):
        """Return the answer of the first successful attempt."""
        commit = start_task(
            self._reservations.commit(
                execution, record, self._list_charged_programs(execution)
            ),
            name="reservation",
        )
        failed_upstreams = []
        self._runtime.retries.note_request(execution.route.name, self._now())
        try:
            for _ in range(MAX_ATTEMPTS):
                try:
                    async with self._isolate(execution):
                        return await self._run_attempt(
                            execution, commit, answer_tokens, failed_upstreams
                        )
                except UpstreamError as error:
                    last_error = error
                if not self._may_retry(execution, last_error):
                    break
        except CallError as error:
            if execution.sent and error.executed == EXECUTED_NO:
                error.executed = execution.executed
            raise
        finally:
            await asyncio.gather(commit, return_exceptions=True)
        raise CallError(
            "upstream_failed",
            str(last_error),
            executed=execution.executed,
            retry_after=UPSTREAM_RETRY_SECONDS,
        )

    async def _run_attempt(self, execution, commit, answer_tokens, failed_upstreams):
        """Send the call once it has a slot and its reservation is durable."""
        request = self._build_slot_request(execution, answer_tokens, failed_upstreams)
        requested_at = self._now()
        async with self._runtime.slots.lease(request) as grant:
            self._record_queue_wait(execution, requested_at)
            await commit
            self._check_may_send(execution)
            try:
                return await self._send(execution, grant, answer_tokens)
            except UpstreamError as error:
                failed_upstreams.append(grant.upstream.name)
                self._report_failure(execution, grant, error)
                raise

    def _isolate(self, execution):
        """Return a context that lets no other suspect run in the same pool.

        It does nothing for a request that is not suspected of crashing
        upstreams.
        """
        digest = execution.content_digest
        if not self._runtime.quarantine.is_suspect(digest):
            return contextlib.nullcontext()
        return self._runtime.quarantine.isolate(
            digest,
            pool=execution.route.pool,
            timeout=execution.deadline - self._now(),
        )

    def _now(self):
        return self._runtime.clock.monotonic()

    def _record_queue_wait(self, execution, requested_at):
        waited = self._now() - requested_at
        self._runtime.metrics.record("queue_wait", waited, pool=execution.route.pool)

    def _check_may_send(self, execution):
        if execution.is_durable:
            self._runtime.ownership.check_owned(execution.partition)
        self._runtime.configuration.check_fresh()
        if self._now() >= execution.deadline:
            raise CallError(
                "deadline_exceeded", "no upstream was available before the deadline"
            )

    def _build_slot_request(self, execution, answer_tokens, failed_upstreams):
        program = execution.program
        return SlotRequest(
            program=program.key,
            root=program.root,
            customer=execution.call.customer,
            pool=execution.route.pool,
            prefix_tokens=program.context_tokens,
            new_tokens=len(execution.call.body) // BYTES_PER_TOKEN,
            output_tokens=answer_tokens,
            deadline=execution.deadline,
            excluded=self._choose_excluded(execution.route.pool, failed_upstreams),
        )

    def _choose_excluded(self, pool, failed_upstreams):
        """Return the upstreams that must not get the call."""
        current = self._runtime.configuration.current.pools.get(pool)
        if current is None:  # dropped since the call was accepted
            return tuple(failed_upstreams)
        names = [upstream.name for upstream in current.upstreams]
        usable = self._runtime.outliers.usable(names, self._now())
        return tuple(
            name for name in names if name in failed_upstreams or name not in usable
        )

    async def _send(self, execution, grant, answer_tokens):
        upstream = grant.upstream
        self._log_route(execution, upstream)
        self._runtime.outliers.note_sent(upstream.name, self._now())
        remaining = execution.deadline - self._now()
        sender = self._senders[execution.route.kind]
        sent_before = execution.sent
        try:
            async with (
                asyncio.timeout(remaining),
                self._track_crash(execution, upstream),
            ):
                answer = await sender.send(execution, grant, answer_tokens)
        except UpstreamError as error:
            execution.sent = sent_before or error.sent
            raise
        except TimeoutError as error:
            raise CallError(
                "deadline_exceeded",
                "the upstream did not answer before the deadline",
                executed=execution.executed,
            ) from error
        self._report_outcome(upstream, ok=True)
        return answer

    @contextlib.asynccontextmanager
    async def _track_crash(self, execution, upstream):
        """Report the start and the outcome of a request to the quarantine."""
        quarantine = self._runtime.quarantine
        digest = execution.content_digest
        quarantine.note_start(digest, upstream.name)
        crashed = completed = False
        try:
            yield
            completed = True
        except UpstreamError as error:
            crashed = error.crashed
            raise
        finally:
            quarantine.note_end(
                digest, upstream.name, crashed=crashed, completed=completed
            )

    def _may_retry(self, execution, error):
        if execution.run.has_chunks:
            return False
        if error.sent and not execution.route.repeatable:
            return False
        now = self._now()
        if error.sent and not self._runtime.retries.may_retry(
            execution.route.name, now
        ):
            return False
        return now < execution.deadline

    def _report_outcome(self, upstream, *, ok):
        now = self._now()
        self._runtime.outliers.report(upstream.name, ok=ok, now=now)

    def _report_failure(self, execution, grant, error):
        if isinstance(error, UpstreamLeaving):
            self._runtime.upstream_states.note_leaving(
                grant.upstream.name, seconds=error.seconds
            )
        if error.counts_as_failure:
            self._report_outcome(grant.upstream, ok=False)
        self._runtime.metrics.count("upstream_failures", upstream=grant.upstream.name)
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
