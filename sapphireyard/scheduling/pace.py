"""How fast each upstream runs requests, learned from those that it has run."""

SMOOTHING = 0.1
"""Weight of the newest request in the moving average."""
MIN_RATIO, MAX_RATIO = 0.2, 20.0
"""Bounds of the time that a request took, in expected times: below, it was not run;
above, one request says little about the next."""
MUCH_SLOWER = 1.5
"""Ratio of paces from which engines count as uneven; load alone makes a pace differ by
less."""
CROWDING = 0.2
"""Fraction by which each other request on an engine makes one take longer."""


class UpstreamPaces:
    """Ratio of the time that requests take on each upstream to the expected time.

    Handles upstreams of uneven speed, and some that are slow for seconds. An upstream
    of which nothing is known has the mean pace of all.
    """

    def __init__(self):
        self._ratios = {}
        self._mean = 1.0

    def note(self, name, seconds, expected):
        """Record a request that took `seconds` where `expected` were expected."""
        ratio = seconds / expected if expected > 0 else 0.0
        if ratio < MIN_RATIO:
            return
        ratio = min(ratio, MAX_RATIO)
        known = self._ratios.get(name, self._mean)
        self._ratios[name] = known + SMOOTHING * (ratio - known)
        self._mean = sum(self._ratios.values()) / len(self._ratios)

    def forget(self, name):
        """Drop what is known of an upstream."""
        self._ratios.pop(name, None)

    def ratio(self, name):
        """Return the expected ratio of an upstream."""
        return self._ratios.get(name, self._mean)

    def score(self, name, running):
        """Return a number that grows with the time of one more request there."""
        return self.ratio(name) * (1 + CROWDING * running)
