"""How many requests the upstreams of a service may get, by their rates."""

import asyncio
import math

from sapphireyard.exceptions import CallError
from sapphireyard.upstreams.rates import UNLIMITED

MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0
"""A caller that waits longer than this for a slot has no time left."""


class RateGrants:
    """Passes the rates of a service's upstreams on to its scheduler.

    Handles upstreams that state a rate, or are cold, while requests wait: each is
    granted one request when this host's part of its rate allows it.

    Parameters
    ----------
    rates : UpstreamRates
        The parts of rates that this host may use.
    scheduler : Scheduler
        Scheduler of the service.
    upstreams : dict of str to Upstream
        Upstreams of the service by name; the pool changes it.
    execute : callable
        Carries out the actions of the scheduler.
    clock : Clock
        Source of time.

    Attributes
    ----------
    limited : set of str
        Upstreams with a rate.
    """

    def __init__(self, rates, scheduler, upstreams, *, execute, clock):
        self._rates = rates
        self._scheduler = scheduler
        self._upstreams = upstreams
        self._execute = execute
        self._clock = clock
        self._renewed_at = math.inf
        self.limited = set()

    def update(self):
        """Let upstreams get the requests that their rates allow now.

        While requests wait, this is repeated when the next upstream may get one.
        """
        now = self._clock.monotonic()
        self._rates.end_cold(now)
        next_wait = math.inf
        stated = [name for name in self._rates.limited if name in self._upstreams]
        for name in self.limited.union(stated):
            wait = self.update_upstream(name, now)
            next_wait = min(next_wait, wait or next_wait)
        if not self._scheduler.waiting or now + next_wait >= self._renewed_at:
            return
        self._renewed_at = now + next_wait
        asyncio.get_running_loop().call_later(next_wait, self._renew)

    def update_upstream(self, name, now):
        """Do the same for one upstream; return the seconds until it may get a request.

        To be called before an upstream that is new or usable again may be chosen.
        """
        upstream = self._upstreams[name]
        grants = None
        wait = 0.0
        if self._rates.find_rate(upstream) == UNLIMITED:
            self.limited.discard(name)
        else:
            self.limited.add(name)
            wait = self._rates.find_wait(upstream, now)
            grants = 0 if wait else 1
        if self._scheduler.grants(name) != grants:
            self._execute(self._scheduler.set_grants(name, grants, now))
        return wait

    def check(self, request, allowed):
        """Raise `CallError` if rates leave no upstream for a request in time.

        Parameters
        ----------
        request : SlotRequest
            The request.
        allowed : list of Upstream
            Upstreams that may run it.
        """
        upstreams = [u for u in allowed if u.name not in request.excluded] or allowed
        if any(upstream.name not in self.limited for upstream in upstreams):
            return
        now = self._clock.monotonic()
        waits = [self._rates.find_wait(upstream, now) for upstream in upstreams]
        total = sum(self._rates.find_rate(upstream) for upstream in upstreams)
        queue = self._scheduler.waiting
        wait = max(min(waits), queue / total if total else math.inf)
        if now + wait <= request.deadline:
            return
        raise CallError(
            "overloaded",
            f"all upstreams of {request.pool!r} have stated rates that are used up",
            retry_after=min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS),
        )

    def _renew(self):
        self._renewed_at = math.inf
        self.update()
