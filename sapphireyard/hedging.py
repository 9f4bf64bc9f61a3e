"""When to send a second copy of a call that takes long."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

HEDGE_PERCENTILE = 95.0
LEAST_SAMPLES = 50
"""Latencies below which no percentile is taken."""
LEAST_DELAY_SECONDS = 0.01
WINDOW_SECONDS = 60.0
"""Time after which the older half of the latencies is dropped."""
LOWEST_MILLISECONDS = 1
HIGHEST_MILLISECONDS = 600_000
SIGNIFICANT_FIGURES = 2


def _make_histogram():
    return HdrHistogram(LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS, SIGNIFICANT_FIGURES)


@dataclass
class _Latencies:
    """Latencies of one route in the present window and the one before."""

    began_at: float
    present: HdrHistogram = field(default_factory=_make_histogram)
    earlier: HdrHistogram | None = None


class HedgePolicy:
    """Decides after what delay a call is sent a second time.

    Only repeatable calls are hedged, after the time within which most calls of
    the route are answered, and only while the retry budget allows.

    Parameters
    ----------
    budget : RetryBudget
        Shared with retries.
    percentile : float, optional
        Share of calls, in percent, that need no hedge.
    """

    def __init__(self, budget, *, percentile=HEDGE_PERCENTILE):
        self._budget = budget
        self._percentile = percentile
        self._routes = {}

    def record(self, route, seconds, now):
        """Note the latency of a call that was answered."""
        latencies = self._find(route, now)
        milliseconds = min(max(1, round(seconds * 1000)), HIGHEST_MILLISECONDS)
        latencies.present.record_value(milliseconds)

    def delay(self, route, now, *, repeatable):
        """Return the seconds to wait before a hedge, or None for no hedge."""
        if not repeatable or route not in self._routes:
            return None
        latencies = self._find(route, now)
        histogram = latencies.earlier or latencies.present
        if histogram.get_total_count() < LEAST_SAMPLES:
            return None
        milliseconds = histogram.get_value_at_percentile(self._percentile)
        return max(LEAST_DELAY_SECONDS, milliseconds / 1000)

    def may_hedge(self, route, now, *, repeatable):
        """Take a hedge from the budget once its delay is over."""
        return repeatable and self._budget.may_retry(route, now)

    def forget_idle(self, now):
        """Drop routes without recent calls."""
        for route, latencies in list(self._routes.items()):
            if now - latencies.began_at > 3 * WINDOW_SECONDS:
                del self._routes[route]

    def _find(self, route, now):
        latencies = self._routes.get(route)
        if latencies is None:
            latencies = self._routes[route] = _Latencies(now)
        if now - latencies.began_at > WINDOW_SECONDS:
            full = latencies.present.get_total_count() >= LEAST_SAMPLES
            latencies.earlier = latencies.present if full else None
            latencies.present = _make_histogram()
            latencies.began_at = now
        return latencies
