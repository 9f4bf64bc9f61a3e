"""Customers' rate and burst across all entry hosts, without a coordinator.

Each host tells the others several times a second how many requests of each customer
it has admitted since it started. From these counts every host maintains the token
bucket of the whole fleet.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

SCARCE_SHARE = 0.25
"""Share of the burst below which each host limits itself to its local part of the
rate, so that the hosts do not all take the tokens refilled between two heartbeats."""
COUNT_SECONDS = 0.1
"""Age of the other hosts' counts in a small fleet."""
TOLERATED_OVERSHOOT = 12.0
"""Requests by which the hosts may exceed a rate between two heartbeats, which is made
up for afterwards. Operators allow 20; small customers stay below this anyway and
would wait long for the tokens of one host's part."""
MIN_RETRY_SECONDS = 0.02
"""Shortest delay after which a retry is suggested: a large customer gets two tokens
in this time."""
MAX_PAUSE_SECONDS = 1.5
"""Longest time between two heartbeats of an active host that has not been frozen."""
OPENING_SHARE = 0.3
"""Share of the burst reserved for running programs: a program that is refused in the
middle has wasted its earlier requests."""
LESS_URGENT_SHARE = 0.15
"""Further share that programs below the highest priority may not use to start."""


@dataclass(frozen=True)
class QuotaRule:
    """Requests per second, and the requests that may arrive at once."""

    rate: float
    burst: float


@dataclass
class _Bucket:
    """One customer's tokens: of the whole fleet, and of this host's local part."""

    fleet_tokens: float
    local_tokens: float
    refilled_at: float
    admitted: int = 0


@dataclass
class _Run:
    """What another host's run has admitted, as far as it was counted here.

    Parameters
    ----------
    incarnation : int
        The run.
    counts : dict of str to int
        Requests counted for each customer.
    uncounted : set of str
        Customers with later requests that are not known here yet.
    """

    incarnation: int | None = None
    counts: dict = field(default_factory=dict)
    uncounted: set = field(default_factory=set)


class FleetQuotas:
    """Admits requests within the rates of their customers.

    Handles a customer that sends many times its rate through all hosts at once.
    Running programs take precedence over new ones, so that those that start can
    finish, and urgent new ones over others. During a network partition, a host that
    is in touch with `k` of `n` hosts, itself included, uses that share of rate and
    burst, so that the parts of a divided fleet never exceed the whole.

    Parameters
    ----------
    started_at : float
        Start time of this process, in monotonic seconds. Buckets are empty at that
        time, as an earlier run of this host may have used all tokens.
    """

    def __init__(self, *, started_at):
        self._started_at = started_at
        self._buckets = {}
        self._runs = {}
        self._changed = OrderedDict()
        self._hosts = 1
        self._heard = 1
        self._heard_at = math.inf
        self._admitting = 1
        self._count_seconds = COUNT_SECONDS

    def set_fleet(
        self,
        hosts,
        heard,
        *,
        admitting=None,
        count_seconds=COUNT_SECONDS,
        now=math.inf,
    ):
        """Set the number of entry hosts, and how many of them are in touch.

        Parameters
        ----------
        hosts, heard : int
            All entry hosts, and those in touch, this one included in both.
        admitting : int, optional
            Hosts in touch that admit requests; all unless some stand by.
        count_seconds : float, optional
            Age of the other hosts' counts.
        now : float, optional
            Monotonic seconds. Unless this is called again soon, the host uses its own
            part only; by default it never does.
        """
        self._heard_at = now
        self._count_seconds = count_seconds
        self._hosts = max(1, hosts)
        self._heard = max(1, min(heard, self._hosts))
        self._admitting = self._heard if admitting is None else max(1, admitting)

    def restart(self, now):
        """Start with empty buckets, as a process does.

        A host that stood by has not counted what the others admitted.
        """
        self._started_at = now
        self._runs.clear()
        for bucket in self._buckets.values():
            bucket.fleet_tokens = bucket.local_tokens = 0.0
            bucket.refilled_at = now

    def admit(self, customer, rule, now, *, opening=False, urgent=True):
        """Take a token for one request.

        Parameters
        ----------
        customer : str
            Name of the customer.
        rule : QuotaRule or None
            The limit; None if there is none.
        now : float
            Monotonic seconds.
        opening : bool, optional
            The request is the first of a program.
        urgent : bool, optional
            The program has the highest priority.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds after which a retry may
            succeed.
        """
        bucket = self._refill(customer, rule, now)
        if rule is None:
            self._count(customer, bucket, now)
            return 0.0
        wait, scarce = self._judge(bucket, rule, now, opening, urgent)
        if wait:
            return wait
        if scarce:
            bucket.local_tokens -= 1.0
        bucket.fleet_tokens -= 1.0
        self._count(customer, bucket, now)
        return 0.0

    def find_wait(self, customer, rule, now, *, opening=False, urgent=True):
        """Return the seconds until a request would be admitted; see `admit`."""
        bucket = self._refill(customer, rule, now)
        if rule is None:
            return 0.0
        return self._judge(bucket, rule, now, opening, urgent)[0]

    def estimate_wait(self, rule, waiting):
        """Return the seconds until `waiting` more requests of this host get tokens."""
        return waiting / self._local_rate(rule)

    def refund(self, customer, rule, now):
        """Return the token of a request that was not sent to any upstream."""
        bucket = self._refill(customer, rule, now)
        bucket.fleet_tokens += 1.0
        self._count(customer, bucket, now, change=-1)

    def describe(self, customer):
        """Return what decisions on a customer depend on, as fields of a log line."""
        bucket = self._buckets.get(customer)
        return {
            "rate_tokens": round(bucket.fleet_tokens, 1) if bucket else None,
            "rate_share": round(self._heard / self._hosts, 3),
            "rate_hosts": self._admitting,
            "rate_known": len(self._runs),
        }

    def merge_counts(
        self,
        host,
        incarnation,
        admitted,
        rules,
        now,
        *,
        absence=0.0,
        new=True,
        full=True,
    ):
        """Merge the number of requests that another host admitted since its start.

        Parameters
        ----------
        host : str
            The other host.
        incarnation : int
            Run of that host; each run counts from zero.
        admitted : dict of str to int
            Requests admitted for each customer.
        rules : callable
            Returns the `QuotaRule` of a customer, None without a limit; raises
            `KeyError` for a customer that is not known here yet.
        now : float
            Monotonic seconds.
        absence : float, optional
            Seconds for which the host counted as out of touch. The requests that its
            local part of the rate allowed in that time were never in this host's
            bucket.
        new : bool, optional
            The run has only started. If a run is unknown and not new, this host itself
            is new, and what the run admitted before was never in its buckets either.
        full : bool, optional
            All customers with requests are included. Until then, nothing is known of
            what a run that is not new admitted before.
        """
        run = self._runs.get(host, _Run())
        if run.incarnation != incarnation:
            if not new and not full:
                return
            run = _Run(incarnation, {} if new else dict(admitted))
            self._runs[host] = run
        for customer, count in admitted.items():
            before = run.counts.get(customer, 0)
            if count <= before:
                run.counts[customer] = count
                continue
            try:
                rule = rules(customer)
            except KeyError:
                run.uncounted.add(customer)
                continue
            run.counts[customer] = count
            if rule is not None:
                self._charge(customer, rule, run, count - before, absence, now)

    def _charge(self, customer, rule, run, requests, absence, now):
        """Take another host's requests from the bucket of a customer.

        Requests from before the customer was known here have partly been made up for
        by tokens since: they take what the bucket has, and leave no debt.
        """
        bucket = self._refill(customer, rule, now)
        local_part = rule.rate / self._hosts * absence
        tokens = max(0.0, requests - local_part)
        if customer in run.uncounted:
            run.uncounted.discard(customer)
            tokens = min(tokens, max(0.0, bucket.fleet_tokens))
        bucket.fleet_tokens -= tokens

    def counts(self):
        """Return the number of requests admitted for each customer."""
        return {
            customer: bucket.admitted
            for customer, bucket in self._buckets.items()
            if bucket.admitted
        }

    def changed_counts(self, since):
        """Return those of the `counts` that changed after a time."""
        changed = {}
        for customer, changed_at in reversed(self._changed.items()):
            if changed_at < since:
                break
            changed[customer] = self._buckets[customer].admitted
        return changed

    def _count(self, customer, bucket, now, *, change=1):
        bucket.admitted += change
        self._changed[customer] = now
        self._changed.move_to_end(customer)

    def _refill(self, customer, rule, now):
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = _Bucket(0.0, 0.0, self._started_at)
            self._buckets[customer] = bucket
        if rule is None:
            return bucket
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = now
        share = self._find_share(now)
        fleet_max = max(1.0, rule.burst * share)
        bucket.fleet_tokens = min(
            fleet_max, bucket.fleet_tokens + rule.rate * share * elapsed
        )
        local_max = max(1.0, SCARCE_SHARE * rule.burst * share / self._admitting)
        bucket.local_tokens = min(
            local_max, bucket.local_tokens + self._local_rate(rule) * elapsed
        )
        return bucket

    def _judge(self, bucket, rule, now, opening, urgent):
        """Return the seconds until a token is free, and whether tokens are scarce.

        They are if the hosts could exceed the rate between two heartbeats.
        """
        share = self._find_share(now)
        scarce = (
            bucket.fleet_tokens < 1.0 + SCARCE_SHARE * rule.burst * share
            and rule.rate * (self._admitting - 1) * self._count_seconds
            > TOLERATED_OVERSHOOT
        )
        reserve = 0.0
        if opening:
            part = OPENING_SHARE if urgent else OPENING_SHARE + LESS_URGENT_SHARE
            reserve = part * rule.burst * share
        if bucket.fleet_tokens < 1.0 + reserve or (
            scarce and bucket.local_tokens < 1.0
        ):
            return self._retry_after(bucket, rule, reserve, scarce), scarce
        return 0.0, scarce

    def _find_share(self, now):
        """Return the part of the fleet that this host is in touch with.

        A host that was frozen has heard nobody meanwhile.
        """
        if now - self._heard_at > MAX_PAUSE_SECONDS:
            return 1.0 / self._hosts
        return self._heard / self._hosts

    def _local_rate(self, rule):
        """Return this host's part of a rate in requests per second."""
        return rule.rate * self._heard / self._hosts / self._admitting

    def _retry_after(self, bucket, rule, reserve, scarce):
        share = self._heard / self._hosts
        wait = (1.0 + reserve - bucket.fleet_tokens) / (rule.rate * share)
        if scarce:
            local_wait = (1.0 - bucket.local_tokens) / self._local_rate(rule)
            wait = max(wait, local_wait)
        return max(MIN_RETRY_SECONDS, wait)
