"""The service that enforces customers' rate limits across the fleet."""

import asyncio

from mode import Service
from opentelemetry import metrics

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.limits import generated_limits
from sapphireyard.limits.buckets import Rule
from sapphireyard.limits.generated_limits import (
    BucketRequest,
    BucketState,
    TokenAsk,
    TokenGrant,
    ViewAnnouncement,
    ViewKnown,
)
from sapphireyard.limits.holders import TokenHolder
from sapphireyard.limits.homes import HomeTracker, View
from sapphireyard.limits.limits import LEASE_SECONDS, RateHome
from sapphireyard.tasks import start_task

ASK_TIMEOUT_SECONDS = 0.5
HAND_OVER_TIMEOUT_SECONDS = 0.2
VIEW_POLL_INTERVAL_SECONDS = 0.1
"""Interval of the checks for a newer assignment."""
CLEANUP_INTERVAL_SECONDS = 1.0
"""Interval of the removal of idle state."""
ACTIVE = "active"


class LimitService(Service):
    """Admits calls within their customers' rate and burst across all hosts.

    Every host is a holder, which admits its calls with granted tokens, and the
    home of some customers, which grants them.

    Parameters
    ----------
    runtime : Runtime
        Provides peers, ownership, configuration and clock.
    lease : float, optional
        Seconds for which a grant may be used; the same on all hosts.
    """

    def __init__(self, runtime, *, lease=LEASE_SECONDS):
        super().__init__()
        self.runtime = runtime
        self._tracker = HomeTracker(runtime.host)
        self._home = RateHome(self._tracker, lease=lease)
        self._holder = TokenHolder()
        self._waiter_futures = {}
        self._adoptions = {}
        self._timer = None
        self._timer_at = float("inf")
        self._define_metrics()
        runtime.peers.codec.register_module(generated_limits)
        runtime.peers.register(TokenAsk, self._serve_ask)
        runtime.peers.register(BucketRequest, self._serve_bucket)
        runtime.peers.register(ViewAnnouncement, self._serve_announcement)

    @property
    def homes(self):
        """HomeTracker: The homes of customers in the newest known view."""
        return self._tracker

    async def acquire(self, customer, *, deadline, tokens=1):
        """Acquire tokens for a call; queue while its deadline allows.

        Parameters
        ----------
        customer : str
            Customer of the call.
        deadline : float
            Monotonic seconds.
        tokens : int, optional
            Tokens to acquire.

        Raises
        ------
        CallError
            ``rate_exceeded``, with the time after which a retry may succeed,
            or ``not_allowed`` when there is no such customer.
        """
        rule = self._rule(customer)
        if rule is None:
            raise CallError("not_allowed", f"no customer {customer!r}")
        now = self._now()
        waiter = self._holder.acquire(
            customer, rule, now, deadline=deadline, tokens=tokens
        )
        if not waiter.decided:
            await self._wait(waiter)
        self._arm_timer()
        if not waiter.admitted:
            self._refused.add(1, {"customer": customer})
            raise CallError(
                "rate_exceeded",
                f"customer {customer!r} is above its rate",
                retry_after=waiter.retry_after,
            )
        self._admitted.add(1, {"customer": customer})

    def refund(self, customer):
        """Refund the token of an admitted call that was not run."""
        self._holder.refund(customer, self._now())
        self._complete_waiters()
        self._arm_timer()

    async def on_start(self):
        self._update_view()

    async def on_stop(self):
        if self._timer is not None:
            self._timer.cancel()

    @Service.timer(VIEW_POLL_INTERVAL_SECONDS)
    async def _poll_view(self):
        self._update_view()
        for host, version in self._tracker.pending.items():
            self.add_future(self._announce(host, version))

    @Service.timer(CLEANUP_INTERVAL_SECONDS)
    async def _clean_up(self):
        self._home.forget_idle(self._now())

    async def _wait(self, waiter):
        future = asyncio.get_running_loop().create_future()
        self._waiter_futures[waiter] = future
        self._run_due()
        try:
            await future
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            self._waiter_futures.pop(waiter, None)

    def _abandon(self, waiter):
        """Release the tokens or the place in the queue of a cancelled call."""
        if waiter.admitted:
            self._holder.refund(waiter.customer, self._now(), tokens=waiter.tokens)
        else:
            self._holder.cancel(waiter)
        self._arm_timer()

    def _run_due(self):
        """Poll the holder, send its asks and set the timer for the next poll."""
        for ask in self._holder.poll(self._rule, self._now()):
            self.add_future(self._send(ask))
        self._complete_waiters()
        self._arm_timer()

    def _complete_waiters(self):
        for waiter in self._holder.take_decided():
            future = self._waiter_futures.get(waiter)
            if future is not None and not future.done():
                future.set_result(None)

    def _arm_timer(self):
        at = self._holder.next_due
        if at == self._timer_at and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_at = None, at
        if at != float("inf") and not self.should_stop:
            wait = max(0.0, at - self._now())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self._run_due()

    async def _send(self, ask):
        """Send an ask to the home and apply its answer."""
        home = self._tracker.home(ask.customer)
        try:
            if home is None:
                raise PeerError("no assignment is known")
            grant = await self.runtime.peers.ask(home, ask, timeout=ASK_TIMEOUT_SECONDS)
        except (PeerError, CallError) as error:
            self.log.debug(
                "ask to home %s for customer %s failed: %s", home, ask.customer, error
            )
            self._holder.fail(ask.customer, ask.number, self._now())
        else:
            rule = self._rule(ask.customer) or Rule(1.0, 0.0)
            self._holder.answer(ask.customer, grant, rule, self._now())
        self._complete_waiters()
        self._arm_timer()

    async def _serve_ask(self, message, context):
        rule = self._rule(message.customer)
        if rule is None:
            return TokenGrant(message.number)
        self._update_view()
        if self._home.needs_adoption(message.customer, rule, self._now()):
            await self._adopt(message.customer, rule)
        now = self._now()
        return self._home.ask(
            context.host,
            context.incarnation,
            message,
            rule,
            now,
            valid=self._is_valid(now),
        )

    async def _adopt(self, customer, rule):
        """Fetch the bucket of the previous home; concurrent callers share a fetch."""
        previous = self._tracker.previous_home(customer)
        if previous is None:
            return
        task = self._adoptions.get(customer)
        if task is None:
            task = start_task(
                self._fetch_bucket(previous, customer, rule), name="adoption"
            )
            self._adoptions[customer] = task
            task.add_done_callback(lambda _: self._adoptions.pop(customer, None))
        await asyncio.shield(task)

    async def _fetch_bucket(self, previous, customer, rule):
        request = BucketRequest(customer, self._tracker.view.version)
        try:
            state = await self.runtime.peers.ask(
                previous, request, timeout=HAND_OVER_TIMEOUT_SECONDS
            )
        except (PeerError, CallError) as error:
            self.log.info(
                "fetching the bucket of customer %s from host %s failed: %s",
                customer,
                previous,
                error,
            )
            return
        self._home.adopt(customer, state, rule, self._now())
        self.log.info(
            "request for the bucket of customer %s answered by host %s: "
            "known=%s available=%.1f",
            customer,
            previous,
            state.known,
            state.available,
        )

    async def _serve_bucket(self, message, context):
        self._update_view()
        if self._tracker.view.version < message.version:
            self.runtime.ownership.fetch_if_newer(context.host, message.version)
            return BucketState()
        now = self._now()
        return self._home.hand_over(message.customer, now, valid=self._is_valid(now))

    async def _announce(self, host, version):
        try:
            answer = await self.runtime.peers.ask(
                host, ViewAnnouncement(version), timeout=ASK_TIMEOUT_SECONDS
            )
        except (PeerError, CallError) as error:
            self.log.debug(
                "host %s has not acknowledged version %d of the assignment: %s",
                host,
                version,
                error,
            )
            return
        self._tracker.acknowledge(host, answer.version, self._now())

    async def _serve_announcement(self, message, context):
        self._update_view()
        if self._tracker.view.version < message.version:
            self.runtime.ownership.fetch_if_newer(context.host, message.version)
        return ViewKnown(self._tracker.view.version)

    def _update_view(self):
        assignment = self.runtime.ownership.assignment
        if assignment is None or assignment.version == self._tracker.view.version:
            return
        members = assignment.members.values()
        view = View(
            assignment.version,
            {member.host: member.incarnation for member in members},
            frozenset(m.host for m in members if m.state == ACTIVE),
        )
        self._home.change_view(view, self._now())

    def _is_valid(self, now):
        incarnation = self._tracker.view.members.get(self.runtime.host)
        if incarnation != self.runtime.incarnation:
            return False
        return self.runtime.ownership.is_valid(now)

    def _rule(self, customer):
        configuration = self.runtime.configuration.current
        row = configuration.customers.get(customer) if configuration else None
        return Rule(row.rate, row.burst) if row else None

    def _now(self):
        return self.runtime.clock.monotonic()

    def _define_metrics(self):
        meter = metrics.get_meter("sapphireyard.limits")
        self._admitted = meter.create_counter(
            "sapphireyard.limits.admitted", description="Calls within their rate."
        )
        self._refused = meter.create_counter(
            "sapphireyard.limits.refused", description="Calls above their rate."
        )
