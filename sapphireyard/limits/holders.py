"""The holder's side of the fleet-wide rate limit: admits calls with granted tokens."""

from collections import deque

from sapphireyard.limits._customer_state import (
    REPORT_INTERVAL_SECONDS,
    CustomerState,
    HeldGrant,
    Waiter,
)
from sapphireyard.limits.generated_limits import GrantSettlement, TokenAsk
from sapphireyard.limits.timer_queue import TimerQueue

MIN_ASK_INTERVAL_SECONDS = 0.01
"""Minimum time between two asks for one customer."""
LOW_AVAILABLE_REPORT_SECONDS = 0.04
"""Maximum delay of a report while the home has few tokens.

Used tokens block the home's refill until they are reported.
"""
LOW_AVAILABLE_FRACTION = 0.25
"""Fraction of the burst left at the home below which reports are sent sooner."""
RETURN_FRACTION = 0.5
"""Fraction of the lease after which unused tokens are returned."""
USABLE_LEASE_FRACTION = 0.98
"""Fraction of the lease that a holder uses, as a margin for clock drift."""
UNREACHABLE_RETRY_SECONDS = 0.1
MAX_ASK_INTERVAL_SECONDS = 0.5
"""Maximum time between two asks while callers wait."""
MAX_QUEUE_SECONDS = 5.0
"""Maximum time that a call waits behind others of its customer."""
LOST_ASK_SECONDS = 5.0
"""Time for which an unanswered ask is repeatedly settled as unused."""
DEMAND_TIME_CONSTANT_SECONDS = 0.5
"""Time constant of the moving average of a customer's demand."""


class TokenHolder:
    """Admits this host's calls with tokens granted by their customers' homes.

    The lease of a grant starts when the ask is sent, so that no grant is used
    after its lease at the home, however late the answer arrives.

    Parameters
    ----------
    max_queue_seconds : float, optional
        Maximum expected wait of a call behind others of its customer.
    """

    def __init__(self, *, max_queue_seconds=MAX_QUEUE_SECONDS):
        self._max_queue_seconds = max_queue_seconds
        self._states = {}
        self._timers = TimerQueue()
        self._number = 0
        self._decided = []

    @property
    def customers(self):
        """list of str: Customers that have state here."""
        return list(self._states)

    def held(self, customer):
        """Return the number of unused tokens held for a customer."""
        state = self._states.get(customer)
        return state.held if state else 0

    def take_decided(self):
        """Return the waiters admitted or refused since the previous call."""
        decided, self._decided = self._decided, []
        return decided

    def acquire(self, customer, rule, now, *, deadline, tokens=1):
        """Admit, queue or refuse a call; return its `Waiter`.

        Parameters
        ----------
        customer : str
            Customer of the call.
        rule : Rule
            The customer's limit.
        now, deadline : float
            Monotonic seconds.
        tokens : int, optional
            Tokens that the call takes; at most the burst.
        """
        state = self._states.setdefault(customer, CustomerState())
        self._expire(state, now)
        self._update_demand(state, tokens, now)
        waiter = Waiter(customer, tokens, deadline)
        if not state.waiters and self._take(state, tokens):
            waiter.admitted = True
            self._timers.bring_forward(customer, self._ask_at(state))
            return waiter
        wait = self._estimate_wait(state, state.waiting_tokens + tokens, rule, now)
        if not self._may_queue(state, waiter, wait, now):
            waiter.retry_after = max(wait, tokens / rule.rate)
            self._reschedule(customer, state, now)
            return waiter
        state.waiters.append(waiter)
        state.waiting_tokens += tokens
        self._timers.bring_forward(customer, min(deadline, self._ask_at(state)))
        return waiter

    def cancel(self, waiter):
        """Remove a waiting call whose caller has disconnected."""
        state = self._states.get(waiter.customer)
        if state and waiter in state.waiters:
            state.waiters.remove(waiter)
            state.waiting_tokens -= waiter.tokens

    def refund(self, customer, now, *, tokens=1):
        """Refund the tokens of an admitted call that was not run.

        Tokens whose use was already reported to the home are lost.
        """
        state = self._states.get(customer)
        if state is None:
            return
        self._expire(state, now)
        for grant in state.grants.values():
            refunded = min(tokens, grant.used - grant.reported)
            if refunded <= 0 or grant.closed:
                continue
            grant.used -= refunded
            grant.remaining += refunded
            tokens -= refunded
        self._admit(state)
        self._timers.bring_forward(customer, self._due_at(state))

    @property
    def next_due(self):
        """float: Time at which `poll` is due; infinity when nothing is due."""
        return self._timers.next_at

    def poll(self, rules, now):
        """Expire grants, refuse late waiters; return the `TokenAsk`s to send now.

        Parameters
        ----------
        rules : callable
            Returns the `Rule` of a customer, or None when there is none.
        now : float
            Monotonic seconds.
        """
        asks = []
        for customer in self._timers.pop_due(now):
            state = self._states[customer]
            self._expire(state, now)
            self._refuse_late(state, rules(customer), now)
            if self._ask_at(state) <= now:
                asks.append(self._build_ask(customer, state, now))
            self._reschedule(customer, state, now)
        return asks

    def answer(self, customer, grant, rule, now):
        """Apply the home's answer to an ask.

        Only the answer to the pending ask counts; others are ignored.

        Parameters
        ----------
        customer : str
            Customer of the ask.
        grant : TokenGrant
            The answer.
        rule : Rule
            The customer's limit.
        now : float
            Monotonic seconds.
        """
        state = self._states.get(customer)
        if state is None or state.pending_ask != grant.number:
            return
        state.pending_ask = 0
        self._drop_closed(state, grant.number)
        self._add_grant(state, grant, now)
        state.home_available = grant.available
        state.home_available_at = now
        is_low = grant.available < rule.burst * LOW_AVAILABLE_FRACTION
        state.report_seconds = (
            LOW_AVAILABLE_REPORT_SECONDS if is_low else REPORT_INTERVAL_SECONDS
        )
        state.queued_elsewhere = grant.queued
        state.queues_elsewhere = grant.queues
        state.opens_at = now + grant.opens_after if grant.opens_after else 0.0
        state.next_ask_at = now + self._ask_delay(grant)
        self._expire(state, now)
        self._admit(state)
        self._refuse_late(state, rule, now)
        self._reschedule(customer, state, now)

    def fail(self, customer, number, now):
        """Record that an ask got no answer.

        The home may have granted tokens nevertheless, so the grant is settled
        as closed and unused.
        """
        state = self._states.get(customer)
        if state is None or state.pending_ask != number:
            return
        state.pending_ask = 0
        lost = HeldGrant(0, 0, now + LOST_ASK_SECONDS, now, closed=True)
        state.grants[number] = lost
        for grant in state.grants.values():
            if grant.closing_ask == number:
                grant.closing_ask = 0
        state.next_ask_at = now + UNREACHABLE_RETRY_SECONDS
        state.opens_at = state.next_ask_at
        self._reschedule(customer, state, now)

    def _reschedule(self, customer, state, now):
        if state.is_idle(now):
            del self._states[customer]
            self._timers.discard(customer)
            return
        due_at = self._due_at(state)
        if state.opens_at > now:
            due_at = min(due_at, state.opens_at)
        self._timers.put(customer, due_at)

    def _take(self, state, tokens):
        if state.held < tokens:
            return False
        for grant in state.grants.values():
            taken = min(tokens, grant.remaining)
            grant.remaining -= taken
            grant.used += taken
            tokens -= taken
            if not tokens:
                return True
        raise AssertionError("held tokens are not in any grant")

    def _admit(self, state):
        while state.waiters and self._take(state, state.waiters[0].tokens):
            waiter = state.waiters.popleft()
            state.waiting_tokens -= waiter.tokens
            waiter.admitted = True
            self._decided.append(waiter)

    def _refuse_late(self, state, rule, now):
        """Refuse waiting calls that would get their tokens after the deadline."""
        if not state.waiters:
            return
        if rule is None:
            self._refuse_all(state)
            return
        position = 0
        remaining = deque()
        for waiter in state.waiters:
            wait = self._estimate_wait(state, position + waiter.tokens, rule, now)
            if self._can_meet_deadline(waiter, wait, now):
                position += waiter.tokens
                remaining.append(waiter)
                continue
            waiter.retry_after = max(wait, waiter.tokens / rule.rate)
            self._decided.append(waiter)
        state.waiters = remaining
        state.waiting_tokens = position

    def _refuse_all(self, state):
        for waiter in state.waiters:
            waiter.retry_after = MAX_QUEUE_SECONDS
            self._decided.append(waiter)
        state.waiters.clear()
        state.waiting_tokens = 0

    def _may_queue(self, state, waiter, wait, now):
        """Return whether a call may join the queue.

        While the home does not grant, the queue may be longer: the wait is
        then not caused by the customer's rate.
        """
        if not self._can_meet_deadline(waiter, wait, now):
            return False
        return now < state.opens_at or wait <= self._max_queue_seconds

    @staticmethod
    def _can_meet_deadline(waiter, wait, now):
        """Return whether a call would get its tokens before its deadline."""
        return now < waiter.deadline - wait

    @staticmethod
    def _estimate_wait(state, position, rule, now):
        """Return the expected seconds until the token at a queue position arrives.

        Tokens awaited at other holders count as ahead, at most `position` for
        each of these holders.
        """
        elsewhere = min(state.queued_elsewhere, position * state.queues_elsewhere)
        free = min(
            rule.burst,
            state.home_available + rule.rate * (now - state.home_available_at),
        )
        missing = max(0, position + elsewhere - state.held - free)
        return max(0.0, state.opens_at - now) + missing / rule.rate

    @staticmethod
    def _update_demand(state, tokens, now):
        elapsed = now - state.demand_at
        decay = max(0.0, 1.0 - elapsed / DEMAND_TIME_CONSTANT_SECONDS)
        state.demand = state.demand * decay + tokens / DEMAND_TIME_CONSTANT_SECONDS
        state.demand_at = now

    @staticmethod
    def _expire(state, now):
        for number, grant in list(state.grants.items()):
            if grant.expires_at <= now:
                del state.grants[number]
            elif grant.return_at <= now and not grant.closed:
                grant.remaining = 0
                grant.closed = True

    @staticmethod
    def _ask_at(state):
        """Return the time of the next ask, or infinity."""
        if state.pending_ask:
            return float("inf")
        if state.waiters:
            return max(state.next_ask_at, state.sent_at + MIN_ASK_INTERVAL_SECONDS)
        if any(grant.unreported for grant in state.grants.values()):
            return max(state.next_ask_at, state.sent_at + state.report_seconds)
        return float("inf")

    def _due_at(self, state):
        times = [self._ask_at(state)]
        times += [grant.expires_at for grant in state.grants.values()]
        times += [g.return_at for g in state.grants.values() if not g.closed]
        times += [waiter.deadline for waiter in state.waiters]
        return min(times)

    def _build_ask(self, customer, state, now):
        self._number += 1
        state.pending_ask = self._number
        state.sent_at = now
        missing = max(0, state.waiting_tokens - state.held)
        return TokenAsk(
            customer,
            self._number,
            wanted=missing,
            spare=self._estimate_demand(state, now),
            settlements=self._build_settlements(state),
        )

    @staticmethod
    def _estimate_demand(state, now):
        elapsed = now - state.demand_at
        decay = max(0.0, 1.0 - elapsed / DEMAND_TIME_CONSTANT_SECONDS)
        return max(
            0, round(state.demand * decay * REPORT_INTERVAL_SECONDS) - state.held
        )

    def _build_settlements(self, state):
        settlements = []
        for number, grant in state.grants.items():
            if not grant.remaining:
                grant.closed = True
            if grant.closed:
                grant.closing_ask = self._number
            grant.reported = grant.used
            settlements.append(GrantSettlement(number, grant.used, grant.closed))
        return settlements

    @staticmethod
    def _drop_closed(state, number):
        for key, grant in list(state.grants.items()):
            if grant.closing_ask == number:
                del state.grants[key]

    @staticmethod
    def _add_grant(state, grant, now):
        if not grant.tokens:
            return
        lease = grant.lease * USABLE_LEASE_FRACTION
        expires_at = state.sent_at + lease
        return_at = state.sent_at + lease * RETURN_FRACTION
        state.grants[grant.number] = HeldGrant(grant.tokens, 0, expires_at, return_at)

    @staticmethod
    def _ask_delay(grant):
        delay = max(grant.retry_after, grant.opens_after)
        return min(delay, MAX_ASK_INTERVAL_SECONDS)
