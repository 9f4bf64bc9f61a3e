"""The token bucket of one customer, kept by the customer's home.

A holder requests tokens with a `TokenAsk`, called an *ask*, and the home answers
with a grant. Later asks *settle* the grant: they report how many of its tokens
were used, and close it when the rest is given back.

Tokens are *available* at the home or *outstanding* at a holder. Their sum
never exceeds the burst and grows at most at the rate, so the whole fleet uses
at most ``burst + rate * w`` tokens in any window of w seconds.
"""

import math
from dataclasses import dataclass, field

from sapphireyard.limits.generated_limits import TokenGrant

ROUNDING_TOLERANCE = 1e-6
"""Tolerated rounding error of token sums, in tokens."""
QUEUE_ENTRY_TTL_SECONDS = 1.0
"""Time since its last ask after which a holder no longer counts as waiting."""
HOLDER_TTL_SECONDS = 5.0
"""Time since its last ask after which the state of a holder is dropped."""
MIN_RETRY_SECONDS = 0.01


@dataclass(frozen=True)
class Rule:
    """The limit of one customer: requests per second and burst in requests."""

    rate: float
    burst: float


@dataclass
class _Grant:
    """Tokens granted to a holder and not settled yet."""

    tokens: int
    used: int
    expires_at: float


@dataclass
class _Holder:
    """The home's state of one holder."""

    incarnation: int
    seen_at: float = 0.0
    last_grant: TokenGrant = field(default_factory=lambda: TokenGrant(number=0))


@dataclass
class _Demand:
    """Tokens for which callers wait at one holder."""

    tokens: int
    asked_at: float


class Bucket:
    """The tokens of one customer.

    Parameters
    ----------
    rule : Rule
        Rate and burst.
    lease : float
        Seconds for which a grant may be used.
    opens_at : float
        Time from which tokens accrue and may be granted; monotonic seconds.
    now : float
        Monotonic seconds.

    Notes
    -----
    A waiting holder is queued from its first unmet ask on, and moves to the end
    of the queue whenever it gets a part of its tokens.
    """

    def __init__(self, rule, *, lease, opens_at, now):
        self._rule = rule
        self._lease = lease
        self._opens_at = opens_at
        self._available = 0.0
        self._refilled_at = opens_at
        self._grants = {}
        self._outstanding = 0
        self._holders = {}
        self._queue = {}
        self._last_ask_at = now
        self._refill(now)

    @property
    def rule(self):
        """Rule: The limit in force."""
        return self._rule

    @property
    def available(self):
        """float: Tokens that may be granted, as of the last update."""
        return self._available

    @property
    def outstanding(self):
        """float: Tokens granted and not settled, as of the last update."""
        return self._outstanding

    def is_open(self, now):
        """Return whether tokens may be granted."""
        return now >= self._opens_at

    def is_idle(self, now, *, idle_seconds):
        """Return whether the bucket is full and had no ask for `idle_seconds`."""
        if self._grants or now - self._last_ask_at < idle_seconds:
            return False
        self._advance(now)
        return self._available >= self._rule.burst - ROUNDING_TOLERANCE

    def adopt(self, available, outstanding, *, expires_after, now):
        """Continue with the state that the previous home handed over."""
        assert not self.is_open(now), "an open bucket cannot adopt another's state"
        self._opens_at = now
        self._refilled_at = now
        self._available = min(available, max(0.0, self._rule.burst - outstanding))
        if outstanding > 0:
            # The previous home's grants count as one grant of no host, which no
            # settlement can match: its tokens count as used when it expires.
            self._add_grant(("", 0, 0), outstanding, now + expires_after)

    def hand_over(self, now):
        """Return available tokens, outstanding tokens and a lease in seconds.

        The lease is the longest remaining one; 0 when there is none.
        """
        self._advance(now)
        ends = [grant.expires_at - now for grant in self._grants.values()]
        return self._available, self.outstanding, max(ends, default=0.0)

    def change_rule(self, rule, now):
        """Apply another rate and burst from now on; this adds no tokens."""
        if rule == self._rule:
            return
        self._advance(now)
        self._rule = rule
        room = max(0.0, rule.burst - self.outstanding)
        self._available = min(self._available, room)

    def ask(self, host, incarnation, message, now):
        """Settle grants of a holder and grant tokens; return a `TokenGrant`.

        A repeated ask gets the same answer again; one that a later ask
        overtook, or that is of an earlier incarnation, gets no tokens.
        """
        self._last_ask_at = now
        self._advance(now)
        self._settle(host, incarnation, message.settlements)
        holder = self._holders.pop(host, None)
        if holder is None or incarnation > holder.incarnation:
            holder = _Holder(incarnation)
        self._holders[host] = holder
        if incarnation < holder.incarnation:
            return TokenGrant(number=message.number)
        if message.number <= holder.last_grant.number:
            return self._repeat_answer(holder, message.number)
        holder.seen_at = now
        holder.last_grant = self._grant(host, incarnation, message, now)
        self._check_invariant()
        return holder.last_grant

    @staticmethod
    def _repeat_answer(holder, number):
        if number == holder.last_grant.number:
            return holder.last_grant
        return TokenGrant(number=number)

    def _grant(self, host, incarnation, message, now):
        if not self.is_open(now):
            return TokenGrant(message.number, opens_after=self._opens_at - now)
        self._evict_silent_holders(now)
        ahead = self._count_ahead(host, now)
        tokens = self._count_grantable(message, ahead)
        if tokens:
            self._available -= tokens
            key = host, incarnation, message.number
            self._add_grant(key, tokens, now + self._lease)
        self._enqueue(host, message.wanted, tokens, now)
        return self._build_grant(host, message, tokens, ahead, now)

    def _count_grantable(self, message, ahead):
        free = math.floor(self._available + ROUNDING_TOLERANCE)
        needed = min(message.wanted, max(0, free - ahead))
        if needed < message.wanted:
            return needed
        surplus = max(0, free - needed - ahead) // 2
        return needed + min(message.spare, surplus)

    def _build_grant(self, host, message, tokens, ahead, now):
        others = [d for name, d in self._queue.items() if name != host]
        missing = message.wanted - tokens
        retry_after = 0.0
        if missing > 0:
            shortfall = ahead + 1 - self._available
            retry_after = max(MIN_RETRY_SECONDS, shortfall / self._rule.rate)
        return TokenGrant(
            message.number,
            tokens=tokens,
            lease=self._lease,
            retry_after=retry_after,
            available=max(0.0, self._available - ahead),
            queued=sum(demand.tokens for demand in others),
            queues=len(others),
        )

    def _enqueue(self, host, wanted, tokens, now):
        demand = self._queue.get(host)
        missing = wanted - tokens
        if missing <= 0:
            self._queue.pop(host, None)
            return
        if tokens or demand is None:
            self._queue.pop(host, None)
            self._queue[host] = _Demand(missing, now)
            return
        demand.tokens = missing
        demand.asked_at = now

    def _count_ahead(self, host, now):
        """Return the tokens reserved for holders that have waited longer.

        Holders that stopped asking are removed from the queue. The tokens
        reserved for each holder are limited to a part of the burst; the more
        holders wait, the smaller it is.
        """
        for name in [n for n, d in self._queue.items() if self._is_stale(d, now)]:
            del self._queue[name]
        quota = max(1, int(self._rule.burst / (2 * len(self._queue) + 2)))
        ahead = 0
        for name, demand in self._queue.items():
            if name == host:
                break
            ahead += min(demand.tokens, quota)
        return ahead

    @staticmethod
    def _is_stale(demand, now):
        return now - demand.asked_at > QUEUE_ENTRY_TTL_SECONDS

    def _settle(self, host, incarnation, settlements):
        for settlement in settlements:
            key = host, incarnation, settlement.number
            grant = self._grants.get(key)
            if grant is None:
                continue
            newly_used = min(settlement.used, grant.tokens) - grant.used
            if newly_used > 0:
                grant.used += newly_used
                self._outstanding -= newly_used
            if settlement.closed:
                self._available += grant.tokens - grant.used
            if settlement.closed or grant.used == grant.tokens:
                self._drop_grant(key)
        room = max(0.0, self._rule.burst - self.outstanding)
        self._available = min(self._available, room)

    def _add_grant(self, key, tokens, expires_at):
        self._grants[key] = _Grant(tokens, 0, expires_at)
        self._outstanding += tokens

    def _drop_grant(self, key):
        grant = self._grants.pop(key)
        self._outstanding -= grant.tokens - grant.used

    def _advance(self, now):
        """Refill up to `now`, counting unsettled tokens of ended leases as used.

        Grants expire in the order in which they were added. The bucket is
        refilled up to each expiry first: a lease blocks refill while it lasts.
        """
        while self._grants:
            key, grant = next(iter(self._grants.items()))
            if grant.expires_at > now:
                break
            self._refill(grant.expires_at)
            self._drop_grant(key)
        self._refill(now)

    def _refill(self, now):
        if now <= self._refilled_at:
            return
        room = self._rule.burst - self.outstanding
        gained = self._available + self._rule.rate * (now - self._refilled_at)
        self._available = max(min(self._available, room), min(gained, room), 0.0)
        self._refilled_at = now

    def _evict_silent_holders(self, now):
        while self._holders:
            name, holder = next(iter(self._holders.items()))
            if now - holder.seen_at <= HOLDER_TTL_SECONDS:
                return
            del self._holders[name]

    def _check_invariant(self):
        total = self._available + self.outstanding
        limit = max(self._rule.burst, self.outstanding)
        assert (
            total <= limit + ROUNDING_TOLERANCE
        ), "available and outstanding exceed the burst"
