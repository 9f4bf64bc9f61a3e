"""How long upstreams take for the requests that they complete."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 30.0
"""Time over which results count."""
MAX_RESULTS = 64
"""Most results kept per service."""
SLOW_SHARE = 0.9
"""Share of the requests that take no longer than the slow ones."""


@dataclass
class _Results:
    """When recent requests were completed, and the seconds that each took."""

    recent: deque = field(default_factory=lambda: deque(maxlen=MAX_RESULTS))


class Durations:
    """Tells how long a request of a service may take while its upstream is sound."""

    def __init__(self):
        self._services = {}

    def note(self, service, seconds, now):
        """Record that a request was completed."""
        results = self._services.setdefault(service, _Results())
        results.recent.append((now, seconds))

    def find_slow(self, service, now):
        """Return the seconds that slow requests take; None if nothing is known."""
        results = self._services.get(service)
        if results is None:
            return None
        while results.recent and now - results.recent[0][0] > WINDOW_SECONDS:
            results.recent.popleft()
        if not results.recent:
            return None
        seconds = sorted(seconds for _, seconds in results.recent)
        return seconds[int(SLOW_SHARE * (len(seconds) - 1))]
