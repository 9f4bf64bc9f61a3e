"""Judgement of upstreams by the results of all hosts.

Handles upstreams that fail part of their requests while each of many hosts sends them
too few to tell: every host tells the others its recent results, and all of them leave
out the same upstreams within a few heartbeats. A host that has just started judges by
what the others know.
"""

import logging
from collections import deque
from dataclasses import dataclass, field
from statistics import median

logger = logging.getLogger(__name__)

WINDOW_SECONDS = 6.0
"""Time over which results count."""
MIN_FAILURES = 3
"""Failures from which an upstream may be an outlier."""
FAILURE_SHARE = 0.25
"""Share of failed requests from which an upstream may be an outlier."""
PEER_RATIO = 3.0
"""Times the median share of its service from which it is one: when all of them fail,
none is at fault, and leaving some out would only load the others."""
MIN_DOMAIN_RESULTS = 4
"""Results from which an upstream that works for a failure domain is used there, even if
it fails for the others: a fault may concern the requests from one domain only."""
MAX_REPORTED = 24
"""Upstreams in one heartbeat: some 0.4 kB."""
MAX_RESULTS = 200


@dataclass
class _Results:
    """Results of one upstream at this host."""

    recent: deque = field(default_factory=lambda: deque(maxlen=MAX_RESULTS))
    restored_at: float = float("-inf")

    def forget(self, now):
        """Drop the results that are too old to count."""
        while self.recent and now - self.recent[0][0] > WINDOW_SECONDS:
            self.recent.popleft()

    def count(self, now):
        """Return the failures, all results, and when the last failure was."""
        self.forget(now)
        failed_at = [at for at, ok in self.recent if not ok]
        last = failed_at[-1] if failed_at else float("-inf")
        return len(failed_at), len(self.recent), last


@dataclass(frozen=True)
class _Report:
    """Results of one upstream at another host."""

    domain: str
    failures: int
    results: int
    failed_at: float
    reported_at: float
    ejected_until: float


class FleetEvidence:
    """Counts the results of upstreams at all hosts, and finds the outliers.

    Parameters
    ----------
    domain : str
        Failure domain of this host.
    """

    def __init__(self, domain=""):
        self._domain = domain
        self._own = {}
        self._reports = {}
        self._failed_at = {}
        self._forgot_at = float("-inf")

    def report(self, upstream, *, ok, now):
        """Record the result of a request of this host."""
        results = self._own.setdefault(upstream, _Results())
        results.forget(now)
        results.recent.append((now, ok))
        if not ok:
            self._failed_at[upstream] = now

    def note_restored(self, upstream, now):
        """Start over with an upstream that is used again."""
        results = self._own.setdefault(upstream, _Results())
        results.recent.clear()
        results.restored_at = now

    def merge(self, host, domain, reports, now):
        """Record the results that another host has reported.

        Parameters
        ----------
        host, domain : str
            The other host, and its failure domain.
        reports : dict of str to list of float
            As from `summarize`.
        now : float
            Monotonic seconds.
        """
        for name, values in reports.items():
            if len(values) != 4:
                logger.warning("invalid results of %s from host %s", name, host)
                continue
            failures, results, age, ejected_seconds = values
            failed_at = now - max(0.0, age)
            self._reports.setdefault(name, {})[host] = _Report(
                domain, failures, results, failed_at, now, now + ejected_seconds
            )
            if failures:
                known = self._failed_at.get(name, failed_at)
                self._failed_at[name] = max(known, failed_at)

    def summarize(self, now, ejected=()):
        """Return this host's results of the upstreams that have failed anywhere.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        ejected : dict of str to float, optional
            Seconds for which this host still leaves out upstreams.

        Returns
        -------
        dict of str to list of float
            Failures, all results, seconds since the last failure, and seconds for which
            this host leaves it out, by upstream; those left out and those with most
            failures first if there are too many.
        """
        self._forget(now)
        ejected = dict(ejected)
        names = ejected.keys() | (self._failed_at.keys() & self._own.keys())
        nothing = _Results()
        counts = {name: self._own.get(name, nothing).count(now) for name in names}
        names = [name for name in names if name in ejected or counts[name][1]]
        names.sort(key=lambda n: (n not in ejected, -counts[n][0], -counts[n][1], n))
        summary = {}
        for name in names[:MAX_REPORTED]:
            failures, results, failed_at = counts[name]
            age = round(now - failed_at, 2) if failures else WINDOW_SECONDS
            left = round(ejected.get(name, 0.0), 2)
            summary[name] = [failures, results, age, left]
        return summary

    def find_outliers(self, upstreams, now):
        """Return the upstreams of a service that fail far more than the others.

        Parameters
        ----------
        upstreams : list of str
            Names of the service's upstreams in use.
        now : float
            Monotonic seconds.
        """
        self._forget(now)
        counted = [
            (name, *self._count(name, now))
            for name in upstreams
            if name in self._failed_at
        ]
        if not any(failures >= MIN_FAILURES for _, failures, _ in counted):
            return []
        shares = [failures / max(1, results) for _, failures, results in counted]
        usual = median(shares + [0.0] * (len(upstreams) - len(shares)))
        return [
            name
            for name, failures, results in counted
            if failures >= MIN_FAILURES
            and failures >= results * max(FAILURE_SHARE, PEER_RATIO * usual)
        ]

    def find_left_out(self, upstreams, now):
        """Return until when other hosts leave out upstreams unknown to this one.

        They count if a host of the same failure domain is among them, or hosts of two.

        Returns
        -------
        dict of str to float
            Monotonic seconds by upstream.
        """
        left_out = {}
        for name in self._reports.keys() & set(upstreams) - self._own.keys():
            reports = [
                each
                for each in self._reports[name].values()
                if each.ejected_until > now and now - each.reported_at <= WINDOW_SECONDS
            ]
            domains = {each.domain for each in reports}
            if self._domain in domains or len(domains) > 1:
                left_out[name] = max(each.ejected_until for each in reports)
        return left_out

    def _count(self, name, now):
        """Return the failures and results by which this host judges an upstream."""
        own = self._own.get(name)
        restored_at = own.restored_at if own is not None else float("-inf")
        failures, results, _ = own.count(now) if own is not None else (0, 0, 0.0)
        reports = [
            each
            for each in self._reports.get(name, {}).values()
            if now - each.reported_at <= WINDOW_SECONDS
            and (not each.failures or each.failed_at > restored_at)
        ]
        near = [each for each in reports if each.domain == self._domain]
        near_failures = failures + sum(each.failures for each in near)
        near_results = results + sum(each.results for each in near)
        if near_failures >= MIN_FAILURES:
            return near_failures, near_results
        works_here = near_failures < FAILURE_SHARE * near_results
        if works_here and near_results >= MIN_DOMAIN_RESULTS:
            return near_failures, near_results
        failures += sum(each.failures for each in reports)
        return failures, results + sum(each.results for each in reports)

    def _forget(self, now):
        for name, failed_at in list(self._failed_at.items()):
            if now - failed_at > WINDOW_SECONDS:
                del self._failed_at[name]
        if now - self._forgot_at < WINDOW_SECONDS:
            return
        self._forgot_at = now
        for name, results in list(self._own.items()):
            results.forget(now)
            if not results.recent and now - results.restored_at > WINDOW_SECONDS:
                del self._own[name]
        for name, hosts in list(self._reports.items()):
            for host, each in list(hosts.items()):
                if now - each.reported_at > WINDOW_SECONDS:
                    del hosts[host]
            if not hosts:
                del self._reports[name]
