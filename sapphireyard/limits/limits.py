"""Fleet-wide rate and burst: the home of a customer grants tokens to holders.

`RateHome` is the home's side; `holders.TokenHolder` is the side of the hosts
that admit calls.
"""

from sapphireyard.limits.buckets import Bucket
from sapphireyard.limits.generated_limits import BucketState, TokenGrant

LEASE_SECONDS = 1.0
IDLE_SECONDS = 5.0
"""Time without an ask after which a full bucket is dropped."""
NOT_OPEN_RETRY_SECONDS = 0.25


class RateHome:
    """The buckets of the customers whose home this host is.

    A home grants only while no other host can have sealed it, that is, taken it
    for dead and closed its journal, and only once the tracker reports that no
    other host acts as home. A new bucket opens when the leases of the previous
    home have expired, or at once if that home hands its bucket over.

    Parameters
    ----------
    tracker : HomeTracker
        Which keys have this host as home, and since when.
    lease : float, optional
        Seconds for which a grant may be used.
    """

    def __init__(self, tracker, *, lease=LEASE_SECONDS):
        self._tracker = tracker
        self._lease = lease
        self._buckets = {}
        self._retired = {}

    @property
    def customers(self):
        """list of str: Customers with a bucket on this host."""
        return list(self._buckets)

    def bucket(self, customer):
        """Return the `Bucket` of a customer, or None."""
        return self._buckets.get(customer)

    def change_view(self, view, now):
        """Apply the hosts of a newer assignment.

        Buckets of customers whose home moved away are kept for the time of a
        lease, so that they can be handed over.
        """
        if self._tracker.update(view, now):
            self._buckets.clear()
            self._retired.clear()
        for customer in self.customers:
            if not self._tracker.is_home(customer):
                self._retired[customer] = self._buckets.pop(customer), now
        for customer in list(self._retired):
            if self._tracker.is_home(customer):
                del self._retired[customer]

    def ask(self, host, incarnation, message, rule, now, *, valid):
        """Answer a holder's `TokenAsk` with a `TokenGrant`.

        Parameters
        ----------
        host, incarnation : str, int
            The holder.
        message : TokenAsk
            Tokens it wants and has used.
        rule : Rule
            The customer's limit in the configuration in force.
        now : float
            Monotonic seconds.
        valid : bool
            Whether no other host can have sealed this one by `now`.
        """
        bucket = (
            self._get_or_create_bucket(message.customer, rule, now) if valid else None
        )
        if bucket is None:
            return TokenGrant(message.number, opens_after=NOT_OPEN_RETRY_SECONDS)
        bucket.change_rule(rule, now)
        return bucket.ask(host, incarnation, message, now)

    def needs_adoption(self, customer, rule, now):
        """Return whether the bucket is not open yet.

        Adopting the bucket of the previous home would open it at once.
        """
        bucket = self._get_or_create_bucket(customer, rule, now)
        return bucket is not None and not bucket.is_open(now)

    def adopt(self, customer, state, rule, now):
        """Continue with the `BucketState` that the previous home handed over."""
        if state.known and self.needs_adoption(customer, rule, now):
            self._buckets[customer].adopt(
                state.available,
                state.outstanding,
                expires_after=state.expires_after,
                now=now,
            )

    def hand_over(self, customer, now, *, valid):
        """Give up the bucket of a customer; return its `BucketState`.

        Only a bucket whose home is another host in this host's view is given up.
        """
        bucket, retired_at = self._retired.pop(customer, (None, now))
        if bucket is None or not bucket.is_open(now) or not valid:
            return BucketState()
        if now - retired_at >= self._lease:
            return BucketState()
        available, outstanding, expires_after = bucket.hand_over(now)
        return BucketState(True, available, outstanding, expires_after)

    def forget_idle(self, now):
        """Drop idle buckets that equal a new one, and retired ones after a lease."""
        for customer, bucket in list(self._buckets.items()):
            if not bucket.is_idle(now, idle_seconds=IDLE_SECONDS):
                continue
            fresh = self._create_bucket(customer, bucket.rule, now)
            if fresh.is_idle(now, idle_seconds=0):
                del self._buckets[customer]
        for customer, (_, retired_at) in list(self._retired.items()):
            if now - retired_at >= self._lease:
                del self._retired[customer]

    def _get_or_create_bucket(self, customer, rule, now):
        bucket = self._buckets.get(customer)
        if bucket is not None:
            return bucket
        if self._tracker.settled_at(customer) is None:
            return None
        bucket = self._create_bucket(customer, rule, now)
        self._buckets[customer] = bucket
        return bucket

    def _create_bucket(self, customer, rule, now):
        opens_at = self._tracker.settled_at(customer) + self._lease
        return Bucket(rule, lease=self._lease, opens_at=opens_at, now=now)
