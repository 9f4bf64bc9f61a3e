"""Outlier detection: temporary ejection of upstreams that keep failing."""

import math
from collections import deque
from dataclasses import dataclass, field

CONSECUTIVE_FAILURES = 5
WINDOW_SECONDS = 10.0
"""Time over which the failure rate is computed."""
MIN_RESULTS = 10
"""Results needed in the window for the failure rate to be significant."""
FAILURE_RATE = 0.5
EJECTION_SECONDS = 5.0
"""Length of the first ejection; each further one is twice as long."""
MAX_EJECTION_SECONDS = 300.0
RECOVERY_SECONDS = 60.0
"""For each such period since the last ejection expired the next is halved once."""
MAX_EJECTED_SHARE = 0.5
"""Largest share of a pool that is ejected."""
PROBE_SECONDS = 30.0
"""Time after which another probe may be sent if one got no result."""
MAX_RESULTS = 200
"""Most results kept per upstream."""


@dataclass
class _Record:
    """The recent results of one upstream."""

    results: deque = field(default_factory=lambda: deque(maxlen=MAX_RESULTS))
    consecutive: int = 0
    ejections: int = 0
    ejected_at: float | None = None
    ejected_until: float = 0.0
    probed_at: float = float("-inf")
    last_result_at: float = 0.0

    @property
    def ejected(self):
        return self.ejected_at is not None


class OutlierDetector:
    """Ejects failing upstreams for exponentially growing times.

    When its ejection expires an upstream gets one request as a probe: a
    success restores it, a failure ejects it for longer. At most a share of a
    pool is ejected and one upstream always remains, since a fault common to
    all of them is not remedied by using fewer. Leaving upstreams get no new work
    at all.

    Parameters
    ----------
    consecutive : int, optional
        Failures in a row that eject.
    failure_rate : float, optional
        Share of failures in the window that ejects.
    ejected_share : float, optional
        Largest share of a pool that is ejected.
    """

    def __init__(
        self,
        *,
        consecutive=CONSECUTIVE_FAILURES,
        failure_rate=FAILURE_RATE,
        ejected_share=MAX_EJECTED_SHARE,
    ):
        self._consecutive = consecutive
        self._failure_rate = failure_rate
        self._ejected_share = ejected_share
        self._records = {}
        self._ejected = set()
        self._leaving = set()

    def report(self, upstream, *, ok, now):
        """Record the result of a request or probe.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        ok : bool
            Whether it succeeded.
        now : float
            Monotonic seconds.
        """
        record = self._records.setdefault(upstream, _Record())
        record.last_result_at = now
        if ok:
            self._note_success(record, now)
        else:
            self._note_failure(record, now)
        self._note_ejected(upstream, record)

    def eject(self, upstream, now, *, until=None):
        """Eject an upstream that others have found failing, unless it is ejected.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        now : float
            Monotonic seconds.
        until : float, optional
            End of the ejection; by default as after failures seen here.

        Returns
        -------
        bool
            Whether it was not ejected before.
        """
        record = self._records.setdefault(upstream, _Record())
        if record.ejected:
            return False
        record.last_result_at = now
        self._eject(record, now)
        if until is not None:
            record.ejected_until = min(until, now + MAX_EJECTION_SECONDS)
        self._note_ejected(upstream, record)
        return True

    def describe_ejected(self, now):
        """Return the seconds for which upstreams are still left out, by upstream."""
        seconds = {n: self._records[n].ejected_until - now for n in self._ejected}
        return {name: each for name, each in seconds.items() if each > 0}

    def is_restored_by(self, upstream):
        """Return whether a success restores an upstream, as it is ejected."""
        return upstream in self._ejected

    def list_probed(self, now):
        """Return the upstreams whose next request is a probe."""
        return [
            name for name in self._ejected if self._is_due(self._records[name], now)
        ]

    def set_leaving(self, upstreams):
        """Set the upstreams that get no new work because they are leaving."""
        self._leaving = set(upstreams)

    def is_ejected(self, upstream, now):
        """Return whether an upstream is ejected and not due for a probe."""
        record = self._records.get(upstream)
        return record is not None and record.ejected and not self._is_due(record, now)

    def usable(self, upstreams, now):
        """Return which upstreams of a pool may get new work, in the given order.

        An upstream that is due for a probe is among them until `note_sent` says
        that a request has been sent to it.
        """
        available = [name for name in upstreams if name not in self._leaving]
        ejected = self._choose_ejected(available, now)
        return [name for name in available if name not in ejected]

    def note_sent(self, upstream, now):
        """Record that a request is sent to an upstream; it may be a probe."""
        record = self._records.get(upstream)
        if record is not None and record.ejected:
            record.probed_at = now

    def forget_idle(self, now, *, seconds=2 * MAX_EJECTION_SECONDS):
        """Drop the records of upstreams without recent results."""
        for name, record in list(self._records.items()):
            if now - record.last_result_at > seconds:
                del self._records[name]
                self._ejected.discard(name)

    def _note_ejected(self, upstream, record):
        if record.ejected:
            self._ejected.add(upstream)
        else:
            self._ejected.discard(upstream)

    def _note_success(self, record, now):
        record.consecutive = 0
        record.results.append((now, True))
        if record.ejected:
            record.ejected_at = None
            record.results.clear()

    def _note_failure(self, record, now):
        record.consecutive += 1
        record.results.append((now, False))
        if record.ejected:
            if now >= record.ejected_until:
                self._eject(record, now)
            return
        if self._is_outlier(record, now):
            self._eject(record, now)

    def _is_outlier(self, record, now):
        if record.consecutive >= self._consecutive:
            return True
        while record.results and now - record.results[0][0] > WINDOW_SECONDS:
            record.results.popleft()
        if len(record.results) < MIN_RESULTS:
            return False
        failures = sum(not ok for _, ok in record.results)
        return failures >= self._failure_rate * len(record.results)

    @staticmethod
    def _eject(record, now):
        quiet_seconds = max(0.0, now - record.ejected_until)
        record.ejections -= min(record.ejections, int(quiet_seconds / RECOVERY_SECONDS))
        length = EJECTION_SECONDS * 2**record.ejections
        record.ejections = min(record.ejections + 1, 32)
        record.ejected_at = now
        record.ejected_until = now + min(length, MAX_EJECTION_SECONDS)
        record.probed_at = float("-inf")

    @staticmethod
    def _is_due(record, now):
        if now < record.ejected_until:
            return False
        return now - record.probed_at > PROBE_SECONDS

    def _choose_ejected(self, available, now):
        """Return the upstreams to leave out: those ejected first, up to the share."""
        ejected = [name for name in available if self.is_ejected(name, now)]
        max_ejected = math.floor(len(available) * self._ejected_share)
        max_ejected = min(max_ejected, len(available) - 1)
        ejected.sort(key=lambda name: (self._records[name].ejected_at, name))
        return set(ejected[: max(0, max_ejected)])
