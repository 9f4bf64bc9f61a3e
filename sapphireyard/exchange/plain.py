"""Requests to plain services, whose answers are forwarded once they are complete."""

import asyncio
from contextlib import asynccontextmanager

from sapphireyard.exceptions import CallError, UpstreamFailed, UpstreamLate
from sapphireyard.exchange.answers import (
    SERVER_ERROR,
    check_answer,
    find_silent_seconds,
)
from sapphireyard.upstreams.durations import Durations
from sapphireyard.upstreams.retries import RetryBudget

UNSENT_RETRIES = 3
"""Retries after failed connections, in addition to the route's attempts."""
RETRY_RATIO = 0.5
"""Retries of requests that may have run, by requests: they never double a load."""
MIN_RETRIES_PER_SECOND = 1.0
LATE_FACTOR = 1.5
"""Times what slow requests of a service take after which a try is given up."""


class PlainService:
    """Serves requests to plain services.

    Parameters
    ----------
    runtime : Runtime
        Provides pools and clock.
    sender : UpstreamSender
        Sends requests to upstreams.
    exchange : Exchange
        Prepares requests and records their answers.
    """

    def __init__(self, runtime, sender, exchange):
        self._runtime = runtime
        self._sender = sender
        self._exchange = exchange
        self._retries = RetryBudget(ratio=RETRY_RATIO, floor=MIN_RETRIES_PER_SECOND)
        self._durations = Durations()

    async def serve(self, admitted, reply):
        """Send a request to a plain service; forward its answer once complete."""
        excluded = []
        error = last_answer = None
        unsent = 0
        granted = False
        self._retries.note_request(admitted.service, self._now())
        while admitted.sends < max(1, admitted.route.attempts):
            if admitted.abandoned:
                raise ConnectionResetError("the caller left before a further send")
            is_retry = admitted.may_have_run and not granted
            if is_retry and not self._may_retry(admitted):
                break
            granted = False
            try:
                status, headers, answer = await self._attempt(admitted, excluded)
            except UpstreamFailed as failure:
                error = failure
                granted = isinstance(failure, UpstreamLate)
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
            if answer is None:
                continue
            last_answer = status, headers, answer
            if status < SERVER_ERROR or not admitted.route.repeatable:
                break
        if last_answer is None:
            self._exchange.raise_failed(admitted, error)
        await reply.send_complete(*last_answer)

    @asynccontextmanager
    async def _limit_try(self, admitted):
        """Raise `UpstreamLate` if an upstream is silent and another one may be tried.

        The retry is taken from the budget at that moment: without one, the upstream
        has the rest of the time. It also has if it is no slower than others, or if the
        other one would probably not end in time: upstreams go on with what is given
        up, and a slow service would get twice the requests and answer none.
        """
        route = admitted.route
        if not route.repeatable or admitted.sends >= route.attempts:
            watch = self._exchange.watch_silence(admitted)
            try:
                yield
            finally:
                watch.cancel()
            return
        loop = asyncio.get_running_loop()
        seconds = find_silent_seconds(admitted.deadline - self._now())
        slow = self._durations.find_slow(admitted.service, self._now()) or 0.0
        seconds = max(seconds, LATE_FACTOR * slow)
        try:
            async with asyncio.timeout(None) as limit:
                timer = loop.call_later(seconds, self._end_try, admitted, limit)
                try:
                    yield
                finally:
                    timer.cancel()
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise UpstreamLate(f"silent for {seconds:.2f} s") from error

    def _end_try(self, admitted, limit):
        if admitted.answered or not self._fits(admitted):
            return
        if self._may_retry(admitted):
            limit.reschedule(asyncio.get_running_loop().time())

    def _fits(self, admitted):
        """Return whether another try would probably end before the deadline."""
        now = self._now()
        slow = self._durations.find_slow(admitted.service, now)
        return slow is not None and now + slow <= admitted.deadline

    def _may_retry(self, admitted):
        return self._retries.may_retry(admitted.service, self._now())

    async def _attempt(self, admitted, excluded):
        """Send the request to one upstream.

        Returns
        -------
        status : int
            HTTP status.
        headers : tuple of (bytes, bytes)
            Headers to forward.
        body : bytes or None
            None if the upstream refused the request.
        """
        request = self._exchange.build_slot_request(admitted, excluded)
        async with self._runtime.pools.lease(request) as upstream:
            excluded.append(upstream.name)
            dispatch = self._exchange.build_dispatch(admitted, upstream)
            admitted.sends += 1
            admitted.handover = dispatch.handover
            try:
                async with self._limit_try(admitted):
                    async with self._sender.send(dispatch) as answer:
                        self._exchange.record_answer(admitted, upstream, answer)
                        if answer.refused:
                            self._runtime.pools.report(upstream, ok=True)
                            return answer.status, (), None
                        data = await self._exchange.read_body(
                            admitted, answer, upstream
                        )
            except UpstreamFailed as error:
                self._exchange.record_failure(admitted, upstream, error)
                raise
            except asyncio.CancelledError:
                admitted.sends -= not dispatch.handover.begun
                raise
            finally:
                admitted.handover = None
            admitted.may_have_run = True
            check_answer(answer)
            ok = answer.status < SERVER_ERROR
            self._exchange.record_success(admitted, upstream, ok=ok)
            if ok:
                now = self._now()
                self._durations.note(admitted.service, now - admitted.sent_at, now)
            return answer.status, answer.headers, data

    def _now(self):
        return self._runtime.clock.monotonic()
