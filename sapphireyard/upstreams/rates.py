"""Rates of upstreams, and the part of each that this host may use.

An upstream in need answers that it takes only so many requests per second, from all
hosts together and for as long as it says so; a cold one takes only as many as its
service's configuration tells. Each host sends its own part of that rate,
by its share of the fleet's requests, so that no counts have to be exchanged. Low rates
are used by some of the hosts only, as each may send one request at once.
"""

import logging
import math
from dataclasses import dataclass

from sapphireyard.limits.homes import score_host

logger = logging.getLogger(__name__)

UNLIMITED = math.inf
"""The rate of an upstream that states none."""
PROBE_RATE = 0.2
"""Requests per second to an upstream that states a lower rate, or 0: its answers tell
when it takes more again."""
FORGET_SECONDS = 3600.0
"""Time after which a rate that was not stated again is dropped, as its upstream is
gone."""


@dataclass(frozen=True)
class StatedRate:
    """A rate as an upstream stated it.

    Parameters
    ----------
    started_at : float
        Start time of the upstream's run.
    rate : float
        Requests per second from all hosts; infinity without a limit.
    stated_at : float
        Monotonic seconds at which this was the case.
    """

    started_at: float
    rate: float
    stated_at: float


@dataclass(frozen=True)
class ColdRate:
    """A rate that holds while an upstream is cold.

    Parameters
    ----------
    started_at : float
        Start time of the upstream's run.
    rate : float
        Requests per second from all hosts.
    hosts : int
        Maximum number of hosts that send to it, as each may send one request at once.
    until : float
        Monotonic seconds at which it is warm.
    """

    started_at: float
    rate: float
    hosts: int
    until: float


@dataclass
class _Tokens:
    """This host's tokens for one upstream, one at most."""

    tokens: float
    refilled_at: float


class UpstreamRates:
    """Keeps the requests of all hosts within the rates that upstreams state.

    Handles a surge at upstreams of which many ask for less: the hosts that send to them
    have no common queue. A rate that all hosts know is never exceeded by more than one
    request of each host that uses it, of which there are no more than its requests
    per second.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host):
        self._host = host
        self._stated = {}
        self._cold = {}
        self._tokens = {}
        self._noted_at = {}
        self._weights = {host: 1.0}
        self._share = 1.0
        self._users = {}

    @property
    def limited(self):
        """set of str: Upstreams that state a rate in their newest run, or are cold."""
        return self._tokens.keys() | self._cold.keys()

    def set_hosts(self, weights, *, share=1.0):
        """Set the hosts that divide the rates.

        Parameters
        ----------
        weights : dict of str to float
            Active hosts in touch, and their parts of the fleet's requests in any unit;
            without this host if it stands by.
        share : float, optional
            Part of the fleet that is in touch, from 0 to 1.
        """
        if weights.keys() != self._weights.keys():
            self._users.clear()
        self._weights = dict(weights)
        self._share = share

    def note_answer(self, upstream, rate, *, sent_at, now):
        """Record the rate in an answer; infinity for an answer without one.

        An answer without a rate ends an earlier one only if its request was sent after
        that had been stated: answers may overtake each other.

        Parameters
        ----------
        upstream : Upstream
            Upstream that answered.
        rate : float
            Requests per second.
        sent_at, now : float
            Monotonic seconds at which the request was sent, and the answer arrived.
        """
        stated_at = sent_at if rate == UNLIMITED else now
        stated = StatedRate(upstream.started_at, rate, stated_at)
        if self._note(upstream.name, stated, now, source="answer"):
            self._noted_at[upstream.name] = now

    def note_cold(self, upstream, cold, now):
        """Record that an upstream is cold; it is until the latest time known.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        cold : ColdRate
            How long, and what it takes meanwhile.
        now : float
            Monotonic seconds.
        """
        known = self._cold.get(upstream.name)
        if known is not None and known.started_at == cold.started_at:
            if cold.until <= known.until:
                return
        else:
            self._log_cold(upstream.name, "cold", cold.rate, cold.until - now)
        self._cold[upstream.name] = cold
        self._users.pop(upstream.name, None)

    def end_cold(self, now):
        """Lift the limits of upstreams that are warm by now."""
        for name in [name for name, cold in self._cold.items() if cold.until <= now]:
            self._log_cold(name, "warm", self._cold.pop(name).rate, 0.0)
            self._users.pop(name, None)
            if name not in self._stated or self._stated[name].rate == UNLIMITED:
                self._tokens.pop(name, None)

    def merge(self, host, reports, now):
        """Record the rates that another host has reported.

        Parameters
        ----------
        host : str
            The other host.
        reports : dict of str to list of float
            Start time, rate and age in seconds by upstream, as from `report`.
        now : float
            Monotonic seconds.
        """
        for name, values in reports.items():
            if len(values) != 3:
                logger.warning("invalid rate of upstream %s from host %s", name, host)
                continue
            started_at, rate, age = values
            stated = StatedRate(started_at, rate, now - max(0.0, age))
            self._note(name, stated, now, source=host)

    def report(self, now, *, since=None):
        """Return the known rates for other hosts, or those noted here after `since`."""
        if since is None:
            names = self._stated.keys()
        else:
            names = [name for name, at in self._noted_at.items() if at >= since]
        return {
            name: [each.started_at, each.rate, now - each.stated_at]
            for name in names
            if (each := self._stated.get(name)) is not None
        }

    def find_rate(self, upstream):
        """Return the requests per second that this host may send to an upstream."""
        rate, hosts = self._find(upstream)
        if rate == UNLIMITED:
            return UNLIMITED
        users = self._find_users(upstream.name, hosts)
        if self._host not in users:
            return 0.0
        part = self._weights[self._host] / sum(self._weights[host] for host in users)
        return max(rate, PROBE_RATE) * self._share * part

    def find_wait(self, upstream, now):
        """Return the seconds until this host may send to an upstream, or infinity."""
        rate = self.find_rate(upstream)
        if rate == UNLIMITED:
            return 0.0
        bucket = self._refill(upstream.name, rate, now)
        if bucket.tokens >= 1.0:
            return 0.0
        return (1.0 - bucket.tokens) / rate if rate else math.inf

    def take(self, upstream, now):
        """Count a request to an upstream."""
        rate = self.find_rate(upstream)
        if rate != UNLIMITED:
            self._refill(upstream.name, rate, now).tokens -= 1.0

    def forget(self, now):
        """Drop the rates of upstreams that have not been heard of for long."""
        for name, stated in list(self._stated.items()):
            if now - stated.stated_at > FORGET_SECONDS:
                self._drop(name)

    def _find(self, upstream):
        """Return the rate of an upstream, and how many hosts may use it."""
        rate = hosts = UNLIMITED
        stated = self._stated.get(upstream.name)
        if stated is not None and stated.started_at == upstream.started_at:
            rate = hosts = stated.rate
        cold = self._cold.get(upstream.name)
        if cold is not None and cold.started_at == upstream.started_at:
            rate = min(rate, cold.rate)
            hosts = min(hosts, cold.rate, cold.hosts)
        return rate, hosts

    def _find_users(self, name, hosts):
        """Return the hosts that use the rate of an upstream."""
        users = self._users.get(name)
        if users is None:
            count = max(1, int(min(len(self._weights), hosts)))
            ranked = sorted(self._weights, key=lambda host: score_host(name, host))
            users = self._users[name] = frozenset(ranked[:count])
        return users

    def _note(self, name, stated, now, *, source):
        """Record a rate unless a newer one is known; return whether it was recorded."""
        known = self._stated.get(name)
        before = UNLIMITED
        if known is not None:
            if stated.started_at < known.started_at:
                return False
            if stated.started_at == known.started_at:
                if stated.stated_at <= known.stated_at:
                    return False
                before = known.rate
            else:
                self._tokens.pop(name, None)
        elif stated.rate == UNLIMITED:
            return False
        self._stated[name] = stated
        if stated.rate == before:
            return True
        self._users.pop(name, None)
        if stated.rate == UNLIMITED and name not in self._cold:
            self._tokens.pop(name, None)
        elif before == UNLIMITED:
            self._tokens[name] = _Tokens(0.0, now)
        logger.info(
            "upstream rate",
            extra={
                "decision": "upstream_rate",
                "upstream": name,
                "rate": None if stated.rate == UNLIMITED else stated.rate,
                "before": None if before == UNLIMITED else before,
                "source": source,
                "age": round(now - stated.stated_at, 3),
            },
        )
        return True

    def _refill(self, name, rate, now):
        bucket = self._tokens.setdefault(name, _Tokens(0.0, now))
        added = rate * max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(1.0, bucket.tokens + added)
        bucket.refilled_at = now
        return bucket

    def _drop(self, name):
        for known in (self._stated, self._tokens, self._noted_at, self._users):
            known.pop(name, None)

    @staticmethod
    def _log_cold(name, state, rate, seconds):
        logger.info(
            "upstream is %s",
            state,
            extra={
                "decision": "cold",
                "upstream": name,
                "state": state,
                "rate": rate,
                "seconds": round(seconds, 3),
            },
        )
