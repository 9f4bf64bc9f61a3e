"""The holder's side of the fleet-wide rate: admits calls with granted tokens."""

from collections import deque

from sapphireyard.limits._shares import REPORT_SECONDS, HeldGrant, Share, Waiter
from sapphireyard.limits.agendas import Agenda
from sapphireyard.limits.generated_limits import GrantSettlement, TokenAsk

ASK_SECONDS = 0.01
"""Least time between two asks for one customer."""
TIGHT_REPORT_SECONDS = 0.04
"""The same while the home has few tokens, because used ones block its refill."""
TIGHT_SHARE = 0.25
"""Share of the burst at the home below which reports are sent sooner."""
RETURN_SHARE = 0.5
"""Share of the lease after which unused tokens are returned."""
CLOCK_SHARE = 0.98
"""Share of the lease that a holder uses, for clocks that run at other speeds."""
UNREACHABLE_RETRY_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.5
"""Longest time between two asks while callers wait."""
LONGEST_QUEUE_SECONDS = 5.0
"""Longest time that a call waits behind others of its customer."""
LOST_SECONDS = 5.0
"""Time for which an ask without an answer is settled again and again."""
DEMAND_SECONDS = 0.5
"""Time constant of the average of a customer's demand."""


class TokenHolder:
    """Admits this host's calls with tokens granted by their customers' homes.

    The lease of a grant is counted from when the ask was sent, so a grant that
    arrives late is not used.

    Parameters
    ----------
    longest_queue : float, optional
        Seconds that a call may wait behind others of its customer.
    """

    def __init__(self, *, longest_queue=LONGEST_QUEUE_SECONDS):
        self._longest_queue = longest_queue
        self._shares = {}
        self._agenda = Agenda()
        self._number = 0
        self._settled = []

    @property
    def customers(self):
        """list of str: Customers for which there is state."""
        return list(self._shares)

    def held(self, customer):
        """Return the unused tokens held for a customer."""
        share = self._shares.get(customer)
        return share.held if share else 0

    def take_settled(self):
        """Return the waiters admitted or refused since the last time."""
        settled, self._settled = self._settled, []
        return settled

    def acquire(self, customer, rule, now, *, deadline, tokens=1):
        """Admit a call, let it wait or refuse it; return its `Waiter`.

        Parameters
        ----------
        customer : str
            Who calls.
        rule : Rule
            The customer's limit.
        now, deadline : float
            Monotonic seconds.
        tokens : int, optional
            Tokens that the call takes; at most the burst.
        """
        share = self._shares.setdefault(customer, Share())
        self._expire(share, now)
        self._note_demand(share, tokens, now)
        waiter = Waiter(customer, tokens, deadline)
        if not share.waiters and self._take(share, tokens):
            waiter.admitted = True
            self._agenda.bring_forward(customer, self._ask_at(share))
            return waiter
        wait = self._expect_wait(share, share.waiting + tokens, rule, now)
        if not self._may_enter(share, waiter, wait, now):
            waiter.retry_after = max(wait, tokens / rule.rate)
            self._reschedule(customer, share, now)
            return waiter
        share.waiters.append(waiter)
        share.waiting += tokens
        self._agenda.bring_forward(customer, min(deadline, self._ask_at(share)))
        return waiter

    def cancel(self, waiter):
        """Forget a call whose caller has gone."""
        share = self._shares.get(waiter.customer)
        if share and waiter in share.waiters:
            share.waiters.remove(waiter)
            share.waiting -= waiter.tokens

    def refund(self, customer, now, *, tokens=1):
        """Take back tokens of a call that was not run.

        Tokens whose use was already reported are lost.
        """
        share = self._shares.get(customer)
        if share is None:
            return
        self._expire(share, now)
        for grant in share.grants.values():
            back = min(tokens, grant.used - grant.reported)
            if back <= 0 or grant.closed:
                continue
            grant.used -= back
            grant.left += back
            tokens -= back
        self._admit(share)
        self._agenda.bring_forward(customer, self._due_at(share))

    @property
    def next_due(self):
        """float: When to call `poll` again; infinity when nothing is due."""
        return self._agenda.next_at

    def poll(self, rules, now):
        """End what has run out; return the `TokenAsk` messages to send now.

        Parameters
        ----------
        rules : callable
            Returns the `Rule` of a customer, or None when there is none.
        now : float
            Monotonic seconds.
        """
        asks = []
        for customer in self._agenda.pop_due(now):
            share = self._shares[customer]
            self._expire(share, now)
            self._refuse_late(share, rules(customer), now)
            if self._ask_at(share) <= now:
                asks.append(self._ask(customer, share, now))
            self._reschedule(customer, share, now)
        return asks

    def answer(self, customer, grant, rule, now):
        """Take the home's answer to an ask.

        Parameters
        ----------
        customer : str
            Whose tokens they are.
        grant : TokenGrant
            The answer.
        rule : Rule
            The customer's limit.
        now : float
            Monotonic seconds.
        """
        share = self._shares.get(customer)
        if share is None or share.asking != grant.number:
            return
        share.asking = 0
        self._confirm_closed(share, grant.number)
        self._add_grant(share, grant, now)
        share.free = grant.available
        share.free_at = now
        is_tight = grant.available < rule.burst * TIGHT_SHARE
        share.report_seconds = TIGHT_REPORT_SECONDS if is_tight else REPORT_SECONDS
        share.queued_elsewhere = grant.queued
        share.queues_elsewhere = grant.queues
        share.opens_at = now + grant.opens_after if grant.opens_after else 0.0
        share.next_ask_at = now + self._pause(grant)
        self._expire(share, now)
        self._admit(share)
        self._refuse_late(share, rule, now)
        self._reschedule(customer, share, now)

    def fail(self, customer, number, now):
        """Note that an ask got no answer; what it may have got is returned."""
        share = self._shares.get(customer)
        if share is None or share.asking != number:
            return
        share.asking = 0
        lost = HeldGrant(0, 0, now + LOST_SECONDS, now, closed=True)
        share.grants[number] = lost
        for grant in share.grants.values():
            if grant.closing_ask == number:
                grant.closing_ask = 0
        share.next_ask_at = now + UNREACHABLE_RETRY_SECONDS
        share.opens_at = share.next_ask_at
        self._reschedule(customer, share, now)

    def _reschedule(self, customer, share, now):
        if share.is_idle(now):
            del self._shares[customer]
            self._agenda.discard(customer)
            return
        due_at = self._due_at(share)
        if share.opens_at > now:
            due_at = min(due_at, share.opens_at)
        self._agenda.put(customer, due_at)

    def _take(self, share, tokens):
        if share.held < tokens:
            return False
        for grant in share.grants.values():
            taken = min(tokens, grant.left)
            grant.left -= taken
            grant.used += taken
            tokens -= taken
            if not tokens:
                return True
        raise AssertionError("held tokens are not in any grant")

    def _admit(self, share):
        while share.waiters and self._take(share, share.waiters[0].tokens):
            waiter = share.waiters.popleft()
            share.waiting -= waiter.tokens
            waiter.admitted = True
            self._settled.append(waiter)

    def _refuse_late(self, share, rule, now):
        """Refuse waiting calls that would get their tokens too late."""
        if not share.waiters:
            return
        if rule is None:
            self._refuse_all(share)
            return
        position = 0
        staying = deque()
        for waiter in share.waiters:
            wait = self._expect_wait(share, position + waiter.tokens, rule, now)
            if self._may_stay(waiter, wait, now):
                position += waiter.tokens
                staying.append(waiter)
                continue
            waiter.retry_after = max(wait, waiter.tokens / rule.rate)
            self._settled.append(waiter)
        share.waiters = staying
        share.waiting = position

    def _refuse_all(self, share):
        for waiter in share.waiters:
            waiter.retry_after = LONGEST_QUEUE_SECONDS
            self._settled.append(waiter)
        share.waiters.clear()
        share.waiting = 0

    def _may_enter(self, share, waiter, wait, now):
        """Return whether a call may join the line.

        The line may be longer while the home is away, since the calls in it
        are not to blame.
        """
        if not self._may_stay(waiter, wait, now):
            return False
        return now < share.opens_at or wait <= self._longest_queue

    @staticmethod
    def _may_stay(waiter, wait, now):
        """Return whether a call can be served before its deadline."""
        return now < waiter.deadline - wait

    @staticmethod
    def _expect_wait(share, position, rule, now):
        """Return seconds until the token at a place in the line is expected."""
        elsewhere = min(share.queued_elsewhere, position * share.queues_elsewhere)
        free = min(rule.burst, share.free + rule.rate * (now - share.free_at))
        missing = max(0, position + elsewhere - share.held - free)
        return max(0.0, share.opens_at - now) + missing / rule.rate

    @staticmethod
    def _note_demand(share, tokens, now):
        passed = now - share.demand_at
        kept = max(0.0, 1.0 - passed / DEMAND_SECONDS)
        share.demand = share.demand * kept + tokens / DEMAND_SECONDS
        share.demand_at = now

    @staticmethod
    def _expire(share, now):
        for number, grant in list(share.grants.items()):
            if grant.expires_at <= now:
                del share.grants[number]
            elif grant.return_at <= now and not grant.closed:
                grant.left = 0
                grant.closed = True

    @staticmethod
    def _ask_at(share):
        """Return when to ask the home next, or infinity."""
        if share.asking:
            return float("inf")
        if share.waiters:
            return max(share.next_ask_at, share.sent_at + ASK_SECONDS)
        if any(grant.unreported for grant in share.grants.values()):
            return max(share.next_ask_at, share.sent_at + share.report_seconds)
        return float("inf")

    def _due_at(self, share):
        times = [self._ask_at(share)]
        times += [grant.expires_at for grant in share.grants.values()]
        times += [g.return_at for g in share.grants.values() if not g.closed]
        times += [waiter.deadline for waiter in share.waiters]
        return min(times)

    def _ask(self, customer, share, now):
        self._number += 1
        share.asking = self._number
        share.sent_at = now
        missing = max(0, share.waiting - share.held)
        return TokenAsk(
            customer,
            self._number,
            wanted=missing,
            spare=self._expect_demand(share, now),
            settlements=self._settle(share),
        )

    @staticmethod
    def _expect_demand(share, now):
        passed = now - share.demand_at
        kept = max(0.0, 1.0 - passed / DEMAND_SECONDS)
        return max(0, round(share.demand * kept * REPORT_SECONDS) - share.held)

    def _settle(self, share):
        settlements = []
        for number, grant in share.grants.items():
            if not grant.left:
                grant.closed = True
            if grant.closed:
                grant.closing_ask = self._number
            grant.reported = grant.used
            settlements.append(GrantSettlement(number, grant.used, grant.closed))
        return settlements

    @staticmethod
    def _confirm_closed(share, number):
        for key, grant in list(share.grants.items()):
            if grant.closing_ask == number:
                del share.grants[key]

    @staticmethod
    def _add_grant(share, grant, now):
        if not grant.tokens:
            return
        lease = grant.lease * CLOCK_SHARE
        expires_at = share.sent_at + lease
        return_at = share.sent_at + lease * RETURN_SHARE
        share.grants[grant.number] = HeldGrant(grant.tokens, 0, expires_at, return_at)

    @staticmethod
    def _pause(grant):
        pause = max(grant.retry_after, grant.opens_after)
        return min(pause, LONGEST_PAUSE_SECONDS)
