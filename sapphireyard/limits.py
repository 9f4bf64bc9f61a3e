"""Fleet-wide rate and burst: the home of a customer grants tokens to holders.

`RateHome` is the home's side; `holders.ShareHolder` is that of the hosts which
admit calls.
"""

from sapphireyard.buckets import Bucket
from sapphireyard.generated_limits import BucketState, TokenGrant

LEASE_SECONDS = 1.0
CONFIRMATION_SECONDS = 2.0
"""Longest time that a home grants after its membership was last confirmed."""
IDLE_SECONDS = 5.0
"""Time without an ask after which a full bucket is forgotten."""
UNCONFIRMED_RETRY_SECONDS = 0.25


class RateHome:
    """The buckets of the customers whose home this host is.

    A home grants only while its place in the assignment was confirmed within
    ``confirmation`` seconds. A new home waits until every earlier one has
    stopped and all its leases have run out: the confirmation of the earlier
    home, the lease, and once more the confirmation, so that an earlier home
    which gets its place back notices that it had lost it.

    Parameters
    ----------
    history : HomeHistory
        Which keys have this host as home, and since when.
    lease : float, optional
        Seconds for which a grant may be used.
    confirmation : float, optional
        Seconds for which a confirmation holds.
    """

    def __init__(
        self, history, *, lease=LEASE_SECONDS, confirmation=CONFIRMATION_SECONDS
    ):
        self._history = history
        self._lease = lease
        self._wait = 2 * confirmation + lease
        self._confirmed_until = None
        self._buckets = {}
        self._retired = {}
        self._released = {}

    @property
    def customers(self):
        """list of str: Customers that have a bucket here."""
        return list(self._buckets)

    def bucket(self, customer):
        """Return the `Bucket` of a customer, or None."""
        return self._buckets.get(customer)

    def is_confirmed(self, now):
        """Return whether this host may grant tokens."""
        return self._confirmed_until is not None and now < self._confirmed_until

    def confirm(self, confirmed_until, now):
        """Note that this host's place is confirmed until a time.

        After a gap in the confirmation all buckets are forgotten, because
        another home may have granted meanwhile.
        """
        if not self.is_confirmed(now):
            self._restart(now)
        if self._confirmed_until is None or confirmed_until > self._confirmed_until:
            self._confirmed_until = confirmed_until

    def change_hosts(self, hosts, now):
        """Take the hosts of a newer assignment.

        Buckets of customers that have another home now are kept for one lease,
        so that they can be handed over.
        """
        if not self._history.update(hosts, now):
            return
        for customer in self.customers:
            if self._history.since(customer) is None:
                self._retired[customer] = self._buckets.pop(customer), now

    def ask(self, host, incarnation, message, rule, now):
        """Answer a holder's `TokenAsk` with a `TokenGrant`.

        Parameters
        ----------
        host, incarnation : str, int
            The holder.
        message : TokenAsk
            What it wants and what it has used.
        rule : Rule
            The customer's limit in the configuration in force.
        now : float
            Monotonic seconds.
        """
        if not self.is_confirmed(now):
            wait = UNCONFIRMED_RETRY_SECONDS
            return TokenGrant(message.number, opens_after=wait)
        bucket = self._find_bucket(message.customer, rule, now)
        if bucket is None:
            wait = UNCONFIRMED_RETRY_SECONDS
            return TokenGrant(message.number, opens_after=wait)
        bucket.change_rule(rule, now)
        return bucket.ask(host, incarnation, message, now)

    def needs_adoption(self, customer, now):
        """Return whether an earlier home's bucket would be of use."""
        bucket = self._buckets.get(customer)
        return bucket is not None and not bucket.is_open(now)

    def adopt(self, customer, state, now):
        """Go on from the `BucketState` that an earlier home handed over."""
        if not state.known or not self.is_confirmed(now):
            return
        if not self.needs_adoption(customer, now):
            return
        self._buckets[customer].adopt(
            state.available,
            state.outstanding,
            expires_after=state.expires_after,
            now=now,
        )

    def hand_over(self, customer, rule, now):
        """Give up a customer's bucket; return its `BucketState`."""
        bucket = self._take_bucket(customer, rule, now)
        self._released[customer] = now
        if bucket is None or not bucket.is_open(now) or not self.is_confirmed(now):
            return BucketState()
        available, outstanding, expires_after = bucket.hand_over(now)
        return BucketState(True, available, outstanding, expires_after)

    def forget_idle(self, now):
        """Drop all state that a new bucket would not differ from."""
        for customer, bucket in list(self._buckets.items()):
            if not bucket.is_idle(now, idle_seconds=IDLE_SECONDS):
                continue
            fresh = self._create_bucket(customer, bucket.rule, now)
            if fresh.is_idle(now, idle_seconds=0):
                del self._buckets[customer]
        for customer, (_, retired_at) in list(self._retired.items()):
            if now - retired_at > self._lease:
                del self._retired[customer]
        for customer, released_at in list(self._released.items()):
            if now - released_at > 2 * self._wait:
                del self._released[customer]

    def _restart(self, now):
        self._buckets.clear()
        self._retired.clear()
        self._released.clear()
        self._history.restart(now)

    def _find_bucket(self, customer, rule, now):
        bucket = self._buckets.get(customer)
        if bucket is not None:
            return bucket
        if self._history.since(customer) is None:
            return None
        bucket = self._create_bucket(customer, rule, now)
        self._buckets[customer] = bucket
        return bucket

    def _create_bucket(self, customer, rule, now):
        began_at = self._history.since(customer)
        opens_at = max(began_at, self._released.get(customer, began_at)) + self._wait
        return Bucket(rule, lease=self._lease, opens_at=opens_at, now=now)

    def _take_bucket(self, customer, rule, now):
        if customer in self._retired:
            bucket, retired_at = self._retired.pop(customer)
            return bucket if now - retired_at <= self._lease else None
        bucket = self._find_bucket(customer, rule, now)
        self._buckets.pop(customer, None)
        return bucket
