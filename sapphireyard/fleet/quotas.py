"""Customers' rate and burst across all entry hosts, without a home.

Each host tells the others several times a second how many requests of each
customer it has admitted since it started, and every host keeps the bucket of
the whole fleet from these counts.
"""

from dataclasses import dataclass

SCARCE_SHARE = 0.25
"""Share of the burst below which hosts keep to their own part of the rate, so
that they do not all take the tokens that come back between two heartbeats."""
COUNT_SECONDS = 0.1
"""Age of the other hosts' counts when each heartbeat goes to all."""
FREE_OVERSHOOT = 12.0
"""Requests by which hosts may exceed a rate between two heartbeats, to be made up
for afterwards. Operators allow 20; small customers stay below this anyway and
would wait long for the tokens of one host's part."""
SHORTEST_RETRY_SECONDS = 0.02
"""Two tokens' time at the rate of a large customer."""
OPENING_SHARE = 0.3
"""Share of the burst that is kept for programs under way: a program that is
refused in its middle has used its earlier requests in vain."""
LESS_URGENT_SHARE = 0.15
"""Further share that is kept from programs which are not of the first rank."""


@dataclass(frozen=True)
class QuotaRule:
    """Requests a second, and the requests that may come at once."""

    rate: float
    burst: float


@dataclass
class _Bucket:
    """One customer's tokens: of the whole fleet, and of this host's own part."""

    fleet: float
    own: float
    refilled_at: float
    admitted: int = 0


class FleetQuotas:
    """Admits requests within the rates of their customers.

    Answers the load pattern of one customer that sends many times its rate
    through all hosts at once. Programs under way go before new ones, so that
    those which start can end, and
    urgent new ones before others. While some hosts cannot hear each other, a
    host which hears `k` of `n` hosts, itself included, works with that share of
    rate and burst, so that the parts of a divided fleet never add up to more
    than the whole.

    Parameters
    ----------
    started_at : float
        When this process started, in monotonic seconds. Buckets fill from
        then, as an earlier run of this host may have used all tokens.
    """

    def __init__(self, *, started_at):
        self._started_at = started_at
        self._buckets = {}
        self._counts = {}
        self._hosts = 1
        self._heard = 1
        self._count_seconds = COUNT_SECONDS

    def set_fleet(self, hosts, heard, *, fanout_rounds=1):
        """Set the number of entry hosts, and how many of them are in touch.

        Parameters
        ----------
        hosts, heard : int
            All entry hosts, and those in touch, this one included in both.
        fanout_rounds : int, optional
            Beats between two heartbeats of one host to another.
        """
        self._count_seconds = fanout_rounds * COUNT_SECONDS
        self._hosts = max(1, hosts)
        self._heard = max(1, min(heard, self._hosts))

    def admit(self, customer, rule, now, *, opening=False, urgent=True):
        """Take a token for one request.

        Parameters
        ----------
        customer : str
            Who calls.
        rule : QuotaRule or None
            The limit; None when there is none.
        now : float
            Monotonic seconds.
        opening : bool, optional
            The request begins a program.
        urgent : bool, optional
            The program is of the first rank.

        Returns
        -------
        float
            0 when the request is admitted, else the seconds after which a
            repeat may succeed.
        """
        bucket = self._refill(customer, rule, now)
        if rule is None:
            bucket.admitted += 1
            return 0.0
        share = self._heard / self._hosts
        scarce = (
            bucket.fleet < 1.0 + SCARCE_SHARE * rule.burst * share
            and rule.rate * (self._heard - 1) * self._count_seconds > FREE_OVERSHOOT
        )
        kept = 0.0
        if opening:
            part = OPENING_SHARE if urgent else OPENING_SHARE + LESS_URGENT_SHARE
            kept = part * rule.burst * share
        if bucket.fleet < 1.0 + kept or (scarce and bucket.own < 1.0):
            return self._retry_after(bucket, rule, kept, scarce)
        if scarce:
            bucket.own -= 1.0
        bucket.fleet -= 1.0
        bucket.admitted += 1
        return 0.0

    def expect_wait(self, rule, waiting):
        """Return the seconds until `waiting` more requests of a host get tokens."""
        return waiting * self._hosts / rule.rate

    def refund(self, customer, rule, now):
        """Give back the token of a request that was sent to no upstream."""
        bucket = self._refill(customer, rule, now)
        bucket.fleet += 1.0
        bucket.admitted -= 1

    def merge_counts(
        self, host, incarnation, admitted, rules, now, *, absence=0.0, new=True
    ):
        """Take in what another host has admitted since it started.

        Parameters
        ----------
        host : str
            The other host.
        incarnation : int
            Its run; counts begin anew with each.
        admitted : dict of str to int
            Requests admitted for each customer.
        rules : callable
            Returns the `QuotaRule` of a customer or None.
        now : float
            Monotonic seconds.
        absence : float, optional
            Seconds for which the host counted as out of touch. What its own part
            of the rate allowed in that time was never in this host's bucket.
        new : bool, optional
            The run has only begun. What a run admitted before this host heard of
            it, because this host itself is new, is not in its buckets either.
        """
        run, known = self._counts.get(host, (None, {}))
        if run != incarnation:
            known = {} if new else admitted
        self._counts[host] = (incarnation, admitted)
        for customer, count in admitted.items():
            before = known.get(customer, 0)
            rule = rules(customer)
            if rule is None or count <= before:
                continue
            bucket = self._refill(customer, rule, now)
            own_part = rule.rate / self._hosts * absence
            bucket.fleet -= max(0.0, count - before - own_part)

    def counts(self):
        """Return the requests admitted for each customer."""
        return {
            customer: bucket.admitted
            for customer, bucket in self._buckets.items()
            if bucket.admitted
        }

    def _refill(self, customer, rule, now):
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(0.0, 0.0, self._started_at)
            self._buckets[customer] = bucket
        if rule is None:
            return bucket
        passed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = now
        share = self._heard / self._hosts
        most = max(1.0, rule.burst * share)
        bucket.fleet = min(most, bucket.fleet + rule.rate * share * passed)
        own_most = max(1.0, SCARCE_SHARE * rule.burst / self._hosts)
        bucket.own = min(own_most, bucket.own + rule.rate / self._hosts * passed)
        return bucket

    def _retry_after(self, bucket, rule, kept, scarce):
        share = self._heard / self._hosts
        wait = (1.0 + kept - bucket.fleet) / (rule.rate * share)
        if scarce:
            own_wait = (1.0 - bucket.own) / (rule.rate / self._hosts)
            wait = max(wait, own_wait)
        return max(SHORTEST_RETRY_SECONDS, wait)
