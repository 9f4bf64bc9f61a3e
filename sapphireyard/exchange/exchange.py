"""Carries one request from its arrival to its answer."""

import asyncio
import contextlib
import logging
import secrets
from collections import Counter
from dataclasses import dataclass, field
from functools import cached_property

from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError, UpstreamFailed
from sapphireyard.exchange.calls import Dispatch
from sapphireyard.exchange.routes import Customer, Route
from sapphireyard.fleet.crashes import CRASHES_TO_BAR, digest_request
from sapphireyard.scheduling.scheduling import SlotRequest
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

UNSENT_RETRIES = 3
"""Upstreams tried that could not even be reached, beside the route's attempts."""
QUEUE_WAIT_SHARE = 0.4
"""Share of the time left that a request may wait for a slot."""
REFUSED_RETRY_SECONDS = 0.1
"""When to come back after upstreams refused: about one run of a plain call."""
QUOTA_WAIT_SECONDS = 1.0
"""Longest wait of a program under way for its customer's rate: a third of the
time that callers give a turn, so that its run still fits."""
OPENING_QUOTA_WAIT_SECONDS = 0.06
"""The same for a program that begins: a quarter of the aim of the first token,
within which a refusal still leaves time to come back."""
ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer of a plain service that is held back until it is whole."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run and never will."""
CRASH_BITS = 48
"""Two crashes of one request never draw the same number."""
PUBLIC = Customer("")
"""Who calls on routes that need no key."""


@dataclass
class AdmittedRequest:
    """A request that may run.

    Parameters
    ----------
    call : ProgramCall
        What the caller sent.
    route : Route
        What is allowed.
    customer : Customer
        Who calls.
    service : str
        Where it goes.
    deadline : float
        Monotonic seconds at which it must be answered.
    sends : int
        Times it was sent to an upstream.
    upstream : str
        Upstream that got it last.
    may_have_run : bool
        An upstream may have run it, whatever comes later.
    body : bytes
        What the caller sent.
    marks : dict of str to float
        Milliseconds from the arrival to the end of each step, for the log.
    """

    call: object
    route: Route
    customer: Customer
    service: str
    deadline: float
    sends: int = 0
    upstream: str = ""
    may_have_run: bool = False
    body: bytes = b""
    marks: dict = field(default_factory=dict)

    def mark(self, step, now):
        """Note that a step of the request ended."""
        self.marks[f"{step}_ms"] = round((now - self.call.arrived_at) * 1000, 1)

    @property
    def priority(self):
        """int: Rank of the request; 0 goes first."""
        if self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @cached_property
    def digest(self):
        """str: The same for each repeat; asked for once the body is read."""
        return digest_request(self.customer.name, self.call.path, self.body)

    @property
    def opens_program(self):
        """bool: Whether no earlier request of the program has run."""
        return self.route.retention is not None and not self.call.previous_turn


class Exchange:
    """The path of requests: checked, admitted, placed, sent, answered.

    Parameters
    ----------
    yard : Yard
        Gives configuration, quotas, pools, history and clock.
    sender : UpstreamSender
        Sends in the site's form.
    turns : TurnService
        Serves routes that keep histories.
    """

    def __init__(self, yard, sender, turns):
        self._yard = yard
        self._sender = sender
        self._turns = turns
        self._rate_waits = Counter()
        self.open_requests = 0

    async def serve(self, call, reply):
        """Answer a request; never raises but for a cancel."""
        self.open_requests += 1
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
            outcome["code"] = "caller_gone"
            raise
        except Exception:
            outcome["code"] = "internal_error"
            logger.exception("request failed", extra={"request_id": call.request_id})
            await self._refuse(
                reply,
                CallError("internal_error", "internal error", executed="unknown"),
            )
        finally:
            self.open_requests -= 1
            self._log_end(call, outcome)

    async def _serve(self, call, reply, outcome):
        admitted = self._admit(call)
        outcome["admitted"] = admitted
        await self._take_quota(admitted)
        admitted.mark("rate", self._now())
        try:
            admitted.body = await self._read_body(admitted)
            self._check_crashes(admitted)
            async with asyncio.timeout_at(self._loop_time(admitted.deadline)):
                if admitted.route.streaming:
                    await self._turns.serve(admitted, reply)
                elif admitted.route.repeatable:
                    await self._serve_buffered(admitted, reply)
                else:
                    await asyncio.shield(
                        start_task(self._serve_buffered(admitted, reply), name="call")
                    )
        except TimeoutError as error:
            if not admitted.sends:
                raise CallError("overloaded", "no slot in time") from error
            raise CallError(
                "deadline_exceeded",
                f"no answer from {admitted.upstream} in time",
                executed=EXECUTED_UNKNOWN,
            ) from error
        finally:
            if not admitted.sends:
                self._refund(admitted)

    async def _read_body(self, admitted):
        limit = self._yard.configuration.table.limits.body_bytes
        try:
            async with asyncio.timeout_at(self._loop_time(admitted.deadline)):
                return await admitted.call.read_body(limit)
        except TimeoutError as error:
            raise CallError("body_late", "the body did not arrive in time") from error

    def _admit(self, call):
        """Return the `AdmittedRequest`, or raise the `CallError` against it."""
        configuration = self._yard.configuration
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
            raise CallError("overloaded", "the caller's time is over")
        key = call.program or call.request_id
        return AdmittedRequest(
            call, route, customer, route.choose_service(key), deadline
        )

    def _authenticate(self, call, table):
        customer = table.find_customer(call.key)
        if customer is None:
            raise self._yard.configuration.build_refusal("key_unknown", "no such key")
        return customer

    async def _take_quota(self, admitted):
        """Take a token of the customer's rate, waiting for it a moment.

        A program under way may wait longer than one that begins, which can
        still be refused without a loss.
        """
        customer = admitted.customer
        if not customer.name:
            return
        opening = admitted.opens_program
        patience = OPENING_QUOTA_WAIT_SECONDS if opening else QUOTA_WAIT_SECONDS
        until = min(self._now() + patience, admitted.deadline)
        self._rate_waits[customer.name] += 1
        try:
            while wait := self._yard.quotas.admit(
                customer.name,
                customer.quota,
                self._now(),
                opening=opening,
                urgent=admitted.priority == 0,
            ):
                line = self._rate_waits[customer.name] - 1
                ahead = self._yard.quotas.expect_wait(customer.quota, line)
                if self._now() + max(wait, ahead) > until:
                    raise CallError(
                        "rate_exceeded",
                        f"customer {customer.name!r} is above its rate",
                        retry_after=max(wait, ahead),
                    )
                await asyncio.sleep(wait)
        finally:
            self._rate_waits[customer.name] -= 1

    def _refund(self, admitted):
        customer = admitted.customer
        if customer.name:
            now = self._now()
            self._yard.quotas.refund(customer.name, customer.quota, now)

    async def _serve_buffered(self, admitted, reply):
        """Send a request to a plain service; pass its answer on when it is whole."""
        excluded = []
        error = None
        unsent = 0
        while admitted.sends < max(1, admitted.route.attempts):
            try:
                status, headers, answer = await self._ask(admitted, excluded)
            except UpstreamFailed as failure:
                error = failure
                unsent += not failure.sent
                if unsent > UNSENT_RETRIES:
                    break
                if failure.sent and not admitted.route.repeatable:
                    break
                continue
            except CallError as refusal:
                if not admitted.may_have_run:
                    raise
                error = error or refusal
                break
            if answer is not None:
                await reply.send_complete(status, headers, answer)
                return
        self.raise_failed(admitted, error)

    @staticmethod
    def raise_failed(admitted, error):
        """Raise the `CallError` for a request that no upstream answered.

        Parameters
        ----------
        admitted : AdmittedRequest
            The request.
        error : YardError or None
            How the last upstream failed; None when it refused.
        """
        if not admitted.may_have_run:
            raise CallError(
                "overloaded",
                f"{admitted.upstream or admitted.service} did not take the request",
                retry_after=REFUSED_RETRY_SECONDS,
            )
        raise CallError(
            "upstream_failed",
            f"{admitted.upstream}: {error or 'refused after an earlier failure'}",
            executed=EXECUTED_UNKNOWN,
        )

    async def _ask(self, admitted, excluded):
        """Return status, headers and body; the body is None after a refusal."""
        request = self.slot_request(admitted, excluded)
        async with self._yard.pools.lease(request) as upstream:
            excluded.append(upstream.name)
            dispatch = self.dispatch(admitted, upstream)
            admitted.sends += 1
            try:
                async with self._sender.send(dispatch) as answer:
                    if answer.refused:
                        self._yard.pools.report(upstream, ok=True)
                        return answer.status, (), None
                    data = await read_all(answer.chunks, ANSWER_BYTES)
            except UpstreamFailed as error:
                self.record_failure(admitted, upstream, error)
                raise
            admitted.may_have_run = True
            check_answer(answer)
            self.record_success(admitted, upstream)
            return answer.status, answer.headers, data

    def record_success(self, admitted, upstream):
        """Note that an upstream ran a request to its end."""
        self._yard.pools.report(upstream, ok=True)
        if self._yard.crashes:
            self._yard.crashes.clear(admitted.digest, self._now())

    def record_failure(self, admitted, upstream, error):
        """Note how an upstream failed a request."""
        admitted.sends -= not error.sent
        admitted.may_have_run |= error.sent
        self._yard.pools.report(upstream, ok=False)
        if error.crashed:
            start_task(self._record_crash(admitted, upstream), name="crash")

    async def _record_crash(self, admitted, upstream):
        """Count a broken connection as a crash if the upstream is down after it."""
        if await self._sender.is_listening(upstream):
            return
        digest = admitted.digest
        crash = secrets.randbits(CRASH_BITS)
        crashes = self._yard.crashes.record_crash(digest, crash, self._now())
        logger.info(
            "upstream down after a request",
            extra={
                "decision": "crash",
                "request_id": admitted.call.request_id,
                "upstream": upstream.name,
                "digest": digest,
                "crashes": crashes,
                "barred": crashes >= CRASHES_TO_BAR,
            },
        )

    def _check_crashes(self, admitted):
        """Raise `CallError` for a request that has crashed too many upstreams."""
        if not self._yard.crashes:
            return
        seconds = self._yard.crashes.barred_for(admitted.digest, self._now())
        if seconds:
            raise CallError(
                "crashes_upstreams",
                f"upstreams crashed while they ran this request ({admitted.digest})",
                retry_after=seconds,
            )

    def slot_request(self, admitted, excluded, *, prefix_tokens=0):
        """Return the `SlotRequest` of an admitted request."""
        call = admitted.call
        now = self._now()
        patience = (admitted.deadline - now) * QUEUE_WAIT_SHARE
        name = call.session or call.program or call.request_id
        return SlotRequest(
            program=f"{admitted.customer.name}/{name}",
            root=f"{admitted.customer.name}/{call.program or call.request_id}",
            customer=admitted.customer.name,
            pool=admitted.service,
            prefix_tokens=prefix_tokens,
            new_tokens=max(0, call.prompt_tokens - prefix_tokens),
            output_tokens=max(1, call.output_tokens),
            deadline=now + patience,
            excluded=tuple(excluded),
        )

    def dispatch(self, admitted, upstream, *, before=b""):
        """Return the `Dispatch` to an upstream, with `before` in front of the body."""
        self._check_crashes(admitted)
        admitted.upstream = upstream.name
        admitted.mark("slot", self._now())
        left = admitted.deadline - self._now()
        body = before + admitted.body
        return Dispatch(
            admitted.call, upstream, admitted.customer.name, body, max(0.0, left)
        )

    async def _refuse(self, reply, error):
        if reply.started:
            reply.abort()
            return
        with contextlib.suppress(ConnectionError):  # the caller has gone
            await reply.refuse(error)

    def _now(self):
        return self._yard.clock.monotonic()

    def _loop_time(self, monotonic):
        loop = asyncio.get_running_loop()
        return loop.time() + monotonic - self._now()

    def _log_end(self, call, outcome):
        now = self._now()
        admitted = outcome.pop("admitted", None)
        route = admitted.route.name if admitted else ""
        seconds = now - call.arrived_at
        self._yard.metrics.count("calls", route=route, code=outcome["code"])
        self._yard.metrics.record("call_duration", seconds, route=route)
        logger.info(
            "request ended",
            extra={
                "decision": "request",
                "request_id": call.request_id,
                "program": call.program,
                "route": route,
                "customer": admitted.customer.name if admitted else "",
                "upstream": admitted.upstream if admitted else "",
                "sends": admitted.sends if admitted else 0,
                "ms": round(seconds * 1000, 1),
                **(admitted.marks if admitted else {}),
                "version": self._yard.configuration.table.version,
                "version_age": round(self._yard.configuration.age, 2),
                **outcome,
            },
        )


def replace_not_run_error(error, admitted):
    """Return `error`, or one without a promise if the request may have run."""
    if admitted is None or not admitted.may_have_run:
        return error
    if error.status not in NOT_RUN_STATUSES:
        return error
    return CallError("upstream_failed", error.detail, executed=EXECUTED_UNKNOWN)


async def read_all(chunks, limit):
    """Return a body; raises `UpstreamFailed` when it is larger than `limit`."""
    parts = []
    size = 0
    async for chunk in chunks:
        size += len(chunk)
        if size > limit:
            raise UpstreamFailed(f"answer of more than {limit} bytes")
        parts.append(chunk)
    return b"".join(parts)


def check_answer(answer):
    """Raise `UpstreamFailed` for an answer that must not be passed on.

    A success has to bear the upstream's signature. A status by which callers
    take a request for not run has to come with the upstream's word for it.
    """
    if 200 <= answer.status < 300 and not answer.signed:
        raise UpstreamFailed("answer without a signature")
    if answer.status in NOT_RUN_STATUSES:
        raise UpstreamFailed(f"status {answer.status} from a run")
