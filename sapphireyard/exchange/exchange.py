"""Handles one request from its arrival to its answer."""

import asyncio
import contextlib
import logging
from collections import Counter
from functools import partial

from sapphireyard.answers import CLOSED, ended_its_answer
from sapphireyard.exceptions import (
    EXECUTED_UNKNOWN,
    CallError,
    HistoryLost,
    UpstreamFailed,
    UpstreamLate,
    UpstreamLeft,
)
from sapphireyard.exchange.answers import NOT_RUN_STATUSES, find_silent_seconds
from sapphireyard.exchange.calls import Dispatch
from sapphireyard.exchange.plain import PlainService
from sapphireyard.exchange.requests import AdmittedRequest
from sapphireyard.exchange.routes import Customer
from sapphireyard.fleet.crashes import CRASHES_TO_BAR, identify_crash
from sapphireyard.scheduling.scheduling import SlotRequest
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

QUEUE_WAIT_SHARE = 0.4
"""Share of the remaining time that a request may wait for a slot."""
REFUSED_RETRY_SECONDS = 0.1
"""Retry-After once upstreams have refused: about the run time of a plain request."""
QUOTA_WAIT_SECONDS = 1.0
"""Longest wait of a request of a running program for its customer's rate: a third
of the time that callers allow for a turn, so that the turn still fits."""
OPENING_QUOTA_WAIT_SECONDS = 0.06
"""The same for the first request of a program: a quarter of the target latency of
the first token, so that a refused caller still has time to retry."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer of a plain service, which is buffered until it is complete."""
PUBLIC = Customer("")
"""Customer of requests on routes that need no key."""


class Exchange:
    """Checks, admits, schedules, sends and answers requests.

    Parameters
    ----------
    runtime : Runtime
        Provides configuration, quotas, pools, history and clock.
    sender : UpstreamSender
        Sends requests to upstreams.
    turns : TurnService
        Serves routes that keep histories.
    tokens : TokenService
        Takes tokens of customers' rates.
    prepare : callable, optional
        Called and awaited before each request is checked.

    Attributes
    ----------
    closing : Closing or None
        The last seconds of this host; None until it is to stop.
    open_requests : int
        Requests that are not answered yet.
    total_requests : int
        Requests that have arrived.
    """

    def __init__(self, runtime, sender, turns, tokens, *, prepare=None):
        self._runtime = runtime
        self._sender = sender
        self._turns = turns
        self._tokens = tokens
        self._rate_waits = Counter()
        self._plain = PlainService(runtime, sender, self)
        self._prepare = prepare
        self._scopes = {}
        self.closing = None
        self.open_requests = 0
        self.total_requests = 0

    @property
    def taken(self):
        """list of AdmittedRequest: Requests that were not refused at once, and run."""
        return list(self._scopes.values())

    def end_open(self):
        """End the requests that are still open; return them as `AdmittedRequest`.

        Their callers get an error, or the end of the connection if their answer has
        begun.
        """
        self.closing.ended = True
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(now)
        return self.taken

    async def serve(self, call, reply):
        """Answer a request; raises nothing but a cancellation."""
        self.open_requests += 1
        self.total_requests += 1
        outcome = {"code": "served"}
        try:
            await self._serve(call, reply, outcome)
        except CallError as error:
            outcome["code"] = error.code
            outcome["detail"] = error.detail
            await self._refuse(
                reply, replace_not_run_error(error, outcome.get("admitted"))
            )
        except ConnectionError as error:
            outcome["code"] = "caller_gone"
            outcome["detail"] = str(error)
        except asyncio.CancelledError:
            outcome["code"] = "stopped" if reply.connected else "caller_gone"
            raise
        except Exception:
            outcome["code"] = "internal_error"
            logger.exception("request failed", extra={"request_id": call.request_id})
            await self._refuse(
                reply,
                CallError("internal_error", "internal error", executed="unknown"),
            )
        finally:
            if reply.started and not reply.finished:
                reply.abort()
            self.open_requests -= 1
            self._log_end(call, outcome)

    async def _serve(self, call, reply, outcome):
        if self._prepare is not None:
            await self._prepare()
        admitted = self._admit(call)
        outcome["admitted"] = admitted
        reply.note_admitted(admitted)
        await self._take_quota_in_time(admitted)
        admitted.mark("rate", self._now())
        try:
            admitted.body = await self._read_body(admitted)
            self._check_crashes(admitted)
            serving = self._serve_by_deadline(admitted, reply)
            if admitted.route.streaming or admitted.route.repeatable:
                await serving
            else:
                await self._serve_detachable(admitted, serving)
        except TimeoutError as error:
            raise self._build_late_error(
                admitted,
                f"no slot of {admitted.service!r} within {admitted.time_limit:g} s",
            ) from error
        finally:
            if not (admitted.sends or admitted.abandoned):
                self._refund(admitted)

    @contextlib.asynccontextmanager
    async def _limit(self, admitted):
        """Raise `TimeoutError` at the deadline of a request, or when the host stops."""
        if self.closing is not None and self.closing.ended:
            raise TimeoutError("the host has stopped")
        async with asyncio.timeout_at(self._loop_time(admitted.deadline)) as scope:
            self._scopes[scope] = admitted
            try:
                yield
            finally:
                del self._scopes[scope]

    def _build_late_error(self, admitted, detail, *, code="overloaded"):
        """Return the `CallError` for a request that did not end in time.

        `code` and `detail` are for a request that was not sent by its deadline.
        """
        if admitted.sends:
            return CallError(
                "deadline_exceeded",
                f"no answer from {admitted.upstream} in time",
                executed=EXECUTED_UNKNOWN,
            )
        now = self._now()
        if self.closing is not None and now < admitted.deadline:
            return self.closing.build_refusal(now)
        return CallError(code, detail)

    async def _serve_by_deadline(self, admitted, reply):
        async with self._limit(admitted):
            if admitted.route.streaming:
                await self._turns.serve(admitted, reply)
            else:
                await self._plain.serve(admitted, reply)

    async def _serve_detachable(self, admitted, serving):
        """Serve a request that may not be repeated.

        Its caller's leaving ends it, unless an upstream may have it: then it goes on
        alone, until that upstream has answered or refused it.
        """
        task = start_task(serving, name="call")
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            admitted.abandoned = True
            if admitted.handover is not None:
                admitted.handover.abandoned = True
            task.add_done_callback(partial(self._end_abandoned, admitted))
            if not admitted.in_flight:
                task.cancel()
            raise
        finally:
            # An error of the task refers to this frame, and to what had been read.
            del task

    def _end_abandoned(self, admitted, task):
        """Record the end of a request after its caller has left."""
        if not admitted.sends:
            self._refund(admitted)
        error = None if task.cancelled() else task.exception()
        logger.info(
            "request ended without its caller",
            extra={
                "decision": "abandoned",
                "request_id": admitted.call.request_id,
                "upstream": admitted.upstream,
                "sends": admitted.sends,
                "cancelled": task.cancelled(),
                "detail": str(error or ""),
            },
        )

    async def _read_body(self, admitted):
        limit = self._runtime.configuration.table.limits.body_bytes
        try:
            async with self._limit(admitted):
                return await admitted.call.read_body(limit)
        except TimeoutError as error:
            raise self._build_late_error(
                admitted,
                f"the body did not arrive within {admitted.time_limit:g} s",
                code="body_late",
            ) from error

    def _admit(self, call):
        """Return the `AdmittedRequest`, or raise the `CallError` that refuses it."""
        configuration = self._runtime.configuration
        configuration.check()
        table = configuration.table
        route = table.find_route(call.host, call.path)
        customer = PUBLIC
        if route is None or not route.public:
            customer = self._authenticate(call, table)
        if route is None:
            raise configuration.build_refusal(
                "route_unknown", f"no route for {call.path}"
            )
        now = self._now()
        seconds = route.timeout if call.timeout is None else call.timeout
        deadline = call.arrived_at + min(seconds, route.timeout)
        if deadline <= now:
            raise CallError("overloaded", "the caller's deadline has passed")
        if self.closing is not None and not self.closing.takes(deadline, now):
            raise self.closing.build_refusal(now)
        key = call.program or call.request_id
        service = route.choose_service(key)
        tokens_per_event = table.find_tokens_per_event(service) or 1
        return AdmittedRequest(
            call, route, customer, service, deadline, tokens_per_event
        )

    def _authenticate(self, call, table):
        customer = table.find_customer(call.key)
        if customer is None:
            raise self._runtime.configuration.build_refusal(
                "key_unknown", "no such key"
            )
        return customer

    async def _take_quota_in_time(self, admitted):
        try:
            async with self._limit(admitted):
                await self._take_quota(admitted)
        except TimeoutError as error:
            raise self._build_late_error(
                admitted, f"no token of {admitted.customer.name!r} in time"
            ) from error

    async def _take_quota(self, admitted):
        """Take a token of the customer's rate, waiting for it if need be.

        A running program may wait longer than one that starts, which can be refused
        without wasting earlier requests.
        """
        customer = admitted.customer
        if not customer.name:
            return
        wait_until = self._now() + self.find_rate_patience(admitted)
        self._rate_waits[customer.name] += 1
        try:
            while wait := await self._tokens.take(admitted):
                queue_wait = 0.0
                if not admitted.token_host:
                    queued = self._rate_waits[customer.name] - 1
                    queue_wait = self._runtime.quotas.estimate_wait(
                        customer.quota, queued
                    )
                if self._now() + max(wait, queue_wait) > wait_until:
                    raise CallError(
                        "rate_exceeded",
                        f"customer {customer.name!r} is above its rate",
                        retry_after=max(wait, queue_wait),
                    )
                await asyncio.sleep(wait)
        finally:
            self._rate_waits[customer.name] -= 1
            if customer.quota is not None:
                admitted.rate_state = {
                    "rate_host": admitted.token_host,
                    **self._runtime.quotas.describe(customer.name),
                }

    def find_rate_patience(self, admitted):
        """Return the longest wait for the customer's rate in seconds."""
        opening = admitted.opens_program
        max_wait = OPENING_QUOTA_WAIT_SECONDS if opening else QUOTA_WAIT_SECONDS
        return min(max_wait, admitted.deadline - self._now())

    def _refund(self, admitted):
        if admitted.customer.name:
            self._tokens.give_back(admitted)

    @staticmethod
    def raise_failed(admitted, error):
        """Raise the `CallError` for a request that no upstream answered.

        Parameters
        ----------
        admitted : AdmittedRequest
            The request.
        error : SapphireyardError or None
            How the last upstream failed; None if it refused.
        """
        if not admitted.may_have_run:
            raise CallError(
                "overloaded",
                f"{admitted.upstream or admitted.service} did not accept the request",
                retry_after=REFUSED_RETRY_SECONDS,
            )
        raise CallError(
            "upstream_failed",
            f"{admitted.upstream}: {error or 'refused after an earlier failure'}",
            executed=EXECUTED_UNKNOWN,
        )

    def watch_silence(self, admitted):
        """Count the upstream chosen last as failing if it is silent, before a deadline.

        The request goes on: it may not be repeated, or has no other try.

        Returns
        -------
        asyncio.TimerHandle
            To be cancelled when the request has ended.
        """
        seconds = find_silent_seconds(admitted.deadline - self._now())
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds, self._note_silent, admitted)

    def _note_silent(self, admitted):
        if not admitted.answered:
            self._runtime.pools.report_doubtful(admitted.upstream)

    def record_answer(self, admitted, upstream, answer):
        """Record the head of an upstream's answer."""
        admitted.answered = not admitted.route.streaming or answer.status != 200
        admitted.end = answer.end
        admitted.relay = answer.relay
        admitted.mark("head", self._now())
        if answer.leaving:
            self._runtime.pools.note_leaving(upstream)
        if answer.rate is not None:
            self._runtime.pools.rates.note_answer(
                upstream, answer.rate, sent_at=admitted.sent_at, now=self._now()
            )

    async def read_body(self, admitted, answer, upstream):
        """Return the complete body; raise `UpstreamFailed` if there is none."""
        if answer.size > MAX_ANSWER_BYTES:
            raise UpstreamFailed(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        with self.open_answer(admitted) as keep:
            data = await read_all(answer.chunks, MAX_ANSWER_BYTES, keep)
        await self.check_end(answer, upstream)
        return data

    @contextlib.contextmanager
    def open_answer(self, admitted):
        """Yield a coroutine function that counts the bytes of an answer.

        ``await keep(size)`` waits for room among the answers that are being read, and
        then like the request's own; a negative size takes bytes back.
        """
        with self._runtime.held.unfinished.open() as grow:

            async def keep(size):
                if size > 0:
                    await grow(size)
                await admitted.call.keep(size)

            yield keep

    async def check_end(self, answer, upstream):
        """Raise `UpstreamFailed` if an upstream may have broken off its answer.

        The connections of a process that ends, in a crash or as planned, may be closed
        in order. If nothing else ends an answer, its upstream must still accept
        connections.
        """
        if answer.end.outcome != CLOSED:
            return
        if await ended_its_answer(lambda: self._sender.is_listening(upstream)):
            return
        raise UpstreamFailed(
            "upstream is down after an answer without a length", crashed=True
        )

    def record_success(self, admitted, upstream, *, ok=True):
        """Record that an upstream completed a request, if not `ok` with an error."""
        if ok:
            self._runtime.pools.report(upstream, ok=True)
        else:
            self._runtime.pools.report_doubtful(upstream.name)
        if self._runtime.crashes:
            self._runtime.crashes.clear(admitted.digest, self._now())

    def record_failure(self, admitted, upstream, error):
        """Record how an upstream failed a request."""
        admitted.sends -= not error.sent
        admitted.may_have_run |= error.sent
        if isinstance(error, UpstreamLate):
            self._runtime.pools.report_doubtful(upstream.name)
            return
        if isinstance(error, (UpstreamLeft, HistoryLost)):
            return
        self._runtime.pools.report(upstream, ok=False)
        # One that leaves and is gone has not been ended by the request.
        if error.crashed and not self._runtime.pools.is_leaving(upstream):
            start_task(self._record_crash(admitted, upstream), name="crash")

    async def _record_crash(self, admitted, upstream):
        """Count a broken connection as a crash if the upstream is down afterwards."""
        if await self._sender.is_listening(upstream) is not False:
            return
        digest = admitted.digest
        crash = identify_crash(upstream.name, upstream.started_at)
        crashes = self._runtime.crashes.record_crash(digest, crash, self._now())
        logger.info(
            "upstream down after a request",
            extra={
                "decision": "crash",
                "request_id": admitted.call.request_id,
                "upstream": upstream.name,
                "digest": digest,
                "crash": crash,
                "crashes": crashes,
                "barred": crashes >= CRASHES_TO_BAR,
            },
        )

    def _check_crashes(self, admitted):
        """Raise `CallError` for a request that has crashed too many upstreams."""
        if not self._runtime.crashes:
            return
        seconds = self._runtime.crashes.barred_for(admitted.digest, self._now())
        if seconds:
            raise CallError(
                "crashes_upstreams",
                f"upstreams crashed while they ran this request ({admitted.digest})",
                retry_after=seconds,
            )

    def _check_closing(self, admitted):
        """Raise `CallError` for a request that its host would probably cut off."""
        now = self._now()
        seconds = admitted.route.target_latency
        closing = self.closing
        if closing is None or closing.may_finish(admitted.deadline, seconds, now):
            return
        raise closing.build_refusal(now)

    def build_slot_request(self, admitted, excluded, *, prefix_tokens=0):
        """Return the `SlotRequest` of an admitted request."""
        call = admitted.call
        now = self._now()
        max_wait = (admitted.deadline - now) * QUEUE_WAIT_SHARE
        if not (admitted.route.repeatable or admitted.route.streaming):
            excluded = [*excluded, *self._runtime.pools.list_probed()]
        name = call.session or call.program or call.request_id
        return SlotRequest(
            program=f"{admitted.customer.name}/{name}",
            root=f"{admitted.customer.name}/{call.program or call.request_id}",
            customer=admitted.customer.name,
            pool=admitted.service,
            prefix_tokens=prefix_tokens,
            new_tokens=max(0, call.prompt_tokens - prefix_tokens),
            output_tokens=max(1, call.output_tokens),
            deadline=now + max_wait,
            excluded=tuple(excluded),
            priority=admitted.priority,
            aim_at=admitted.aim_at,
            started=admitted.continues_program,
            prompt_parts=call.prompt_parts,
            expected_tokens=call.expected_output_tokens,
            regions=admitted.regions,
        )

    def build_dispatch(self, admitted, upstream, *, prefix=b"", history=None):
        """Return the `Dispatch` to an upstream.

        `prefix`, or the `LongText` `history`, is sent in front of the body.

        Records the upstream as the one chosen last. Raises `CallError` if the request
        has been barred while it waited for a slot, or could not end before the host.
        """
        self._check_crashes(admitted)
        self._check_closing(admitted)
        admitted.upstream = upstream.name
        admitted.answered = False
        admitted.sent_at = self._now()
        admitted.mark("slot", admitted.sent_at)
        admitted.placed["list_age"] = round(self._runtime.pools.list_age, 2)
        timeout = admitted.deadline - admitted.sent_at
        body = prefix + admitted.body
        return Dispatch(
            admitted.call,
            upstream,
            admitted.customer.name,
            body,
            max(0.0, timeout),
            admitted.regions,
            history=history,
        )

    async def _refuse(self, reply, error):
        """Send an error answer unless another one has started, which gets aborted."""
        if reply.started:
            return
        with contextlib.suppress(ConnectionError):  # the caller has disconnected
            await reply.refuse(error)

    def _now(self):
        return self._runtime.clock.monotonic()

    def _loop_time(self, monotonic):
        loop = asyncio.get_running_loop()
        return loop.time() + monotonic - self._now()

    def _log_end(self, call, outcome):
        now = self._now()
        admitted = outcome.pop("admitted", None)
        route = admitted.route.name if admitted else ""
        seconds = now - call.arrived_at
        self._runtime.metrics.count("calls", route=route, code=outcome["code"])
        self._runtime.metrics.record("call_duration", seconds, route=route)
        if admitted and admitted.end.framing:
            self._runtime.metrics.count(
                "answers", framing=admitted.end.framing, ending=admitted.end.outcome
            )
        logger.info(
            "request ended",
            extra={
                "decision": "request",
                "request_id": call.request_id,
                "program": call.program,
                "route": route,
                "customer": admitted.customer.name if admitted else "",
                "upstream": admitted.upstream if admitted else "",
                "relay": admitted.relay if admitted else "",
                "sends": admitted.sends if admitted else 0,
                "ms": round(seconds * 1000, 1),
                **(admitted.marks if admitted else {}),
                **(admitted.describe_end() if admitted else {}),
                **(admitted.rate_state if admitted else {}),
                **(admitted.placed if admitted else {}),
                "version": self._runtime.configuration.table.version,
                "version_age": round(self._runtime.configuration.age, 2),
                **outcome,
            },
        )


def replace_not_run_error(error, admitted):
    """Return the error to send to the caller.

    If the request may have run, an error whose status says that it has not run is
    replaced by ``upstream_failed``.
    """
    if admitted is None or not admitted.may_have_run:
        return error
    if error.status not in NOT_RUN_STATUSES:
        return error
    return CallError("upstream_failed", error.detail, executed=EXECUTED_UNKNOWN)


async def read_all(chunks, limit, keep):
    """Return the complete body; raise `UpstreamFailed` if it exceeds `limit` bytes.

    ``await keep(size)`` counts the bytes, and takes them back if there is no body.
    """
    parts = []
    size = 0
    try:
        async for chunk in chunks:
            size += len(chunk)
            if size > limit:
                raise UpstreamFailed(f"answer exceeds {limit} bytes")
            await keep(len(chunk))
            parts.append(chunk)
        return b"".join(parts)
    except UpstreamFailed:
        await keep(-sum(map(len, parts)))
        raise
    finally:
        # The error of a broken body refers to itself, and to this frame.
        parts.clear()
