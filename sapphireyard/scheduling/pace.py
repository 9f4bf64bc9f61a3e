"""How fast each upstream runs requests, learned from those that it has run."""

SMOOTHING = 0.1
"""Weight of the newest request in the moving average."""
MIN_RATIO, MAX_RATIO = 0.2, 4.0
"""Bounds of the time that a request took, in expected times: below, it was not run;
above, one request says little about the next."""
MIN_EXPECTED_SECONDS = 0.02
"""Expected time below which a request is mostly overhead."""
MUCH_SLOWER = 1.5
"""Ratio of paces from which engines count as uneven; load alone makes a pace differ by
less."""
CROWDING = 0.2
"""Fraction by which each other request on an engine makes one take longer."""
FORGET_SECONDS = 5.0
"""Time constant with which an upstream that runs nothing returns to the mean pace, so
that one that was slow is tried again."""


class UpstreamPaces:
    """Ratio of the time that requests take on each upstream to the expected time.

    Handles upstreams of uneven speed, and some that are slow for seconds. An upstream
    of which nothing is known has the mean pace of all.
    """

    def __init__(self):
        self._ratios = {}
        self._mean = 1.0
        self._aged_at = 0.0

    def note(self, name, seconds, expected):
        """Record a request that took `seconds` where `expected` were expected."""
        if expected < MIN_EXPECTED_SECONDS or seconds < MIN_RATIO * expected:
            return
        ratio = min(seconds / expected, MAX_RATIO)
        known = self._ratios.get(name, self._mean)
        self._ratios[name] = known + SMOOTHING * (ratio - known)
        self._mean = sum(self._ratios.values()) / len(self._ratios)

    def age(self, idle, now):
        """Let the upstreams in `idle`, which run nothing, return to the mean pace."""
        share = min(1.0, max(0.0, now - self._aged_at) / FORGET_SECONDS)
        self._aged_at = now
        for name in idle:
            if name in self._ratios:
                self._ratios[name] += share * (self._mean - self._ratios[name])

    def forget(self, name):
        """Drop what is known of an upstream."""
        self._ratios.pop(name, None)

    def ratio(self, name):
        """Return the expected ratio of an upstream."""
        return self._ratios.get(name, self._mean)

    def score(self, name, running):
        """Return a number that grows with the time of one more request there."""
        return self.ratio(name) * (1 + CROWDING * running)
