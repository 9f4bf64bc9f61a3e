"""Which requests a host still takes before it stops."""

import math
from dataclasses import dataclass

from sapphireyard.exceptions import CallError

ELSEWHERE_SECONDS = 0.1
"""Retry-After while other hosts serve callers."""
RESTART_SECONDS = 1.0
"""Time after the end of a process by which its successor may serve callers."""


@dataclass
class Closing:
    """The last seconds of a host.

    Parameters
    ----------
    finish_at : float
        Monotonic seconds at which requests that are still open are ended.
    accept_until : float, optional
        Monotonic seconds until which callers may not know yet that this host leaves.
        It takes all their requests; later only those that end before `finish_at`.
    has_others : callable, optional
        Returns whether other hosts serve callers.

    Attributes
    ----------
    ended : bool
        Open requests have been ended, and no more are taken.
    """

    finish_at: float
    accept_until: float = -math.inf
    has_others: object = bool
    ended: bool = False

    def takes(self, deadline, now):
        """Return whether a request with a deadline is still taken."""
        if self.ended:
            return False
        return now <= self.accept_until or deadline <= self.finish_at

    def may_finish(self, deadline, seconds, now):
        """Return whether an upstream may still get a request that was taken.

        Parameters
        ----------
        deadline : float
            Deadline of the request in monotonic seconds.
        seconds : float
            Time in which its answer is expected.
        now : float
            Monotonic seconds.
        """
        return min(deadline, now + seconds) <= self.finish_at

    def build_refusal(self, now):
        """Return the `CallError` for a request that is not taken."""
        seconds = ELSEWHERE_SECONDS
        if not self.has_others():
            seconds = max(0.0, self.finish_at - now) + RESTART_SECONDS
        return CallError(
            "draining",
            f"the host stops in {max(0.0, self.finish_at - now):.1f} s",
            retry_after=seconds,
        )
