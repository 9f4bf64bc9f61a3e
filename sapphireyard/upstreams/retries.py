"""How many repeats of calls may be sent upstream, and when."""

from dataclasses import dataclass

from tenacity import AsyncRetrying, retry_if_exception, stop_after_attempt
from tenacity.wait import wait_random_exponential

RETRY_RATIO = 0.1
"""Repeats allowed for each first request."""
MIN_RETRIES_PER_SECOND = 0.5
"""Repeats allowed on a route that has few requests."""
BUDGET_SECONDS = 10.0
"""Time over which unused allowance is kept."""
IDLE_SECONDS = 60.0
"""Time after which an unused route is forgotten."""
INITIAL_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 2.0


@dataclass
class _RouteBudget:
    """Repeats that a route may still send."""

    tokens: float
    refilled_at: float
    requests: float = 0.0
    used_at: float = 0.0


class RetryBudget:
    """Bounds retries of a route to a share of its requests.

    Each request adds a part of a token and a small number is added each
    second; each repeat takes one. When upstreams fail for all, repeats are at
    most this share of the load, so they cannot keep an overload going.

    Parameters
    ----------
    ratio : float, optional
        Repeats for each request.
    floor : float, optional
        Repeats for each second.
    seconds : float, optional
        Time over which unused tokens are kept.
    """

    def __init__(
        self, *, ratio=RETRY_RATIO, floor=MIN_RETRIES_PER_SECOND, seconds=BUDGET_SECONDS
    ):
        self._ratio = ratio
        self._floor = floor
        self._seconds = seconds
        self._routes = {}

    def note_request(self, route, now):
        """Count a first request of a route."""
        budget = self._refill(route, now)
        budget.requests += 1.0
        budget.tokens = min(budget.tokens + self._ratio, self._capacity(budget))

    def may_retry(self, route, now):
        """Take one repeat from the budget; return whether there was one."""
        budget = self._refill(route, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True

    def forget_idle(self, now):
        """Drop routes that have not been used lately."""
        for route, budget in list(self._routes.items()):
            if now - budget.used_at > IDLE_SECONDS:
                del self._routes[route]

    def _refill(self, route, now):
        budget = self._routes.get(route)
        if budget is None:
            budget = self._routes[route] = _RouteBudget(1.0, now)
        elapsed = max(0.0, now - budget.refilled_at)
        budget.requests *= max(0.0, 1.0 - elapsed / self._seconds)
        budget.tokens += self._floor * elapsed
        budget.tokens = min(budget.tokens, self._capacity(budget))
        budget.refilled_at = budget.used_at = now
        return budget

    def _capacity(self, budget):
        """Return the most tokens that are kept, from the recent requests."""
        capacity = self._floor * self._seconds + self._ratio * budget.requests
        return max(1.0, capacity)


def make_retrying(may_retry, *, attempts=3):
    """Return a tenacity controller that waits between attempts of one I/O.

    Parameters
    ----------
    may_retry : callable
        Takes the exception; returns whether the operation may be repeated, and
        takes the repeat from a budget where there is one.
    attempts : int, optional
        Most attempts.
    """
    return AsyncRetrying(
        retry=retry_if_exception(may_retry),
        stop=stop_after_attempt(attempts),
        wait=wait_random_exponential(
            multiplier=INITIAL_WAIT_SECONDS, max=MAX_WAIT_SECONDS
        ),
        reraise=True,
    )
