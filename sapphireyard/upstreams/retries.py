"""Retry budgets for calls to upstreams, and backoff for single I/O operations."""

from dataclasses import dataclass

from tenacity import AsyncRetrying, retry_if_exception, stop_after_attempt
from tenacity.wait import wait_random_exponential

RETRY_RATIO = 0.1
"""Retries allowed per first request."""
MIN_RETRIES_PER_SECOND = 0.5
"""Retries always allowed, also on a route with few requests."""
BUDGET_SECONDS = 10.0
"""Time over which unused retries accumulate."""
IDLE_SECONDS = 60.0
"""Time after which the budget of an unused route is dropped."""
INITIAL_WAIT_SECONDS = 0.05
MAX_WAIT_SECONDS = 2.0


@dataclass
class _RouteBudget:
    """Retries that a route may still send."""

    tokens: float
    refilled_at: float
    requests: float = 0.0
    used_at: float = 0.0


class RetryBudget:
    """Limits the retries of a route to a share of its requests.

    A token bucket: each request adds a fraction of a token, each second adds a
    small amount, and each retry takes one token. When upstreams fail for
    everyone, retries are at most this share of the load, so they cannot
    sustain an overload.

    Parameters
    ----------
    ratio : float, optional
        Tokens added per request.
    floor : float, optional
        Tokens added per second.
    seconds : float, optional
        Time over which unused tokens accumulate.
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
        """Take a token if there is one; return whether the call may be retried."""
        budget = self._refill(route, now)
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True

    def forget_idle(self, now):
        """Drop routes that have not been used recently."""
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
        """Return the size of the bucket, which depends on the recent requests."""
        capacity = self._floor * self._seconds + self._ratio * budget.requests
        return max(1.0, capacity)


def make_retrying(may_retry, *, attempts=3):
    """Return a tenacity controller with random exponential backoff.

    Parameters
    ----------
    may_retry : callable
        Called with the exception; returns whether the operation may be retried,
        after taking the retry from a budget if there is one.
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
