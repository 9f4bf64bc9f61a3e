"""What a holder keeps of one customer's tokens and waiting calls."""

from collections import deque
from dataclasses import dataclass, field

REPORT_SECONDS = 0.2
"""Longest time before used tokens are reported to the home."""


@dataclass(eq=False)
class Waiter:
    """A call that waits for tokens.

    Attributes
    ----------
    admitted : bool
        The call has its tokens.
    retry_after : float or None
        Seconds until a repeat may succeed, set when the call is refused.
    """

    customer: str
    tokens: int
    deadline: float
    admitted: bool = False
    retry_after: float | None = None

    @property
    def settled(self):
        """bool: The call is admitted or refused."""
        return self.admitted or self.retry_after is not None


@dataclass
class HeldGrant:
    """Tokens of one grant; `left` of them unused, none once `closed`."""

    left: int
    used: int
    expires_at: float
    return_at: float
    closed: bool = False
    reported: int = 0
    closing_ask: int = 0

    @property
    def unreported(self):
        """bool: The home has yet to hear of a use or a return."""
        return self.used > self.reported or (self.closed and not self.closing_ask)


@dataclass
class Share:
    """What this host holds and wants of one customer's tokens."""

    waiters: deque = field(default_factory=deque)
    waiting: int = 0
    grants: dict = field(default_factory=dict)
    asking: int = 0
    sent_at: float = float("-inf")
    next_ask_at: float = 0.0
    opens_at: float = 0.0
    free: float = float("inf")
    free_at: float = 0.0
    report_seconds: float = REPORT_SECONDS
    queued_elsewhere: int = 0
    queues_elsewhere: int = 0
    demand: float = 0.0
    demand_at: float = 0.0

    @property
    def held(self):
        """int: Unused tokens."""
        return sum(grant.left for grant in self.grants.values())

    def is_idle(self, now):
        """Return whether nothing would be lost with this share."""
        return not (self.waiters or self.grants or self.asking or now < self.opens_at)
