"""State of one customer at a holder: granted tokens and waiting calls."""

from collections import deque
from dataclasses import dataclass, field

REPORT_INTERVAL_SECONDS = 0.2
"""Maximum delay before used tokens are reported to the home."""


@dataclass(eq=False)
class Waiter:
    """A call that waits for tokens.

    Attributes
    ----------
    admitted : bool
        Whether the call has been given its tokens.
    retry_after : float or None
        Seconds until a retry may succeed, set when the call is refused.
    """

    customer: str
    tokens: int
    deadline: float
    admitted: bool = False
    retry_after: float | None = None

    @property
    def decided(self):
        """bool: Whether the call is admitted or refused."""
        return self.admitted or self.retry_after is not None


@dataclass
class HeldGrant:
    """Tokens of one grant.

    Attributes
    ----------
    remaining : int
        Unused tokens; 0 once the grant is closed.
    used : int
        Tokens used so far.
    expires_at : float
        End of the lease.
    return_at : float
        Time from which unused tokens are given back to the home.
    closed : bool
        Whether this holder uses no more tokens of the grant.
    reported : int
        Used tokens that an ask has already reported to the home.
    closing_ask : int
        Number of the ask that reported the grant as closed; 0 for none.
    """

    remaining: int
    used: int
    expires_at: float
    return_at: float
    closed: bool = False
    reported: int = 0
    closing_ask: int = 0

    @property
    def unreported(self):
        """bool: Whether a use or the close is not yet reported to the home."""
        return self.used > self.reported or (self.closed and not self.closing_ask)


@dataclass
class CustomerState:
    """Tokens held, calls waiting and the home's last answer for one customer.

    Attributes
    ----------
    waiters : deque of Waiter
        Waiting calls in order of arrival.
    waiting_tokens : int
        Sum of the tokens of the waiters.
    grants : dict of int to HeldGrant
        Grants by the number of their ask.
    pending_ask : int
        Number of the ask without an answer yet; 0 for none.
    sent_at : float
        Time of the last ask.
    next_ask_at : float
        Earliest time of the next ask.
    opens_at : float
        Time from which the home is expected to grant tokens.
    home_available, home_available_at : float
        Tokens left at the home, and when it reported them.
    report_seconds : float
        Maximum delay before used tokens are reported.
    queued_elsewhere, queues_elsewhere : int
        Tokens waited for at other holders, and the number of these holders.
    demand, demand_at : float
        Average demand in tokens per second, and when it was updated.
    """

    waiters: deque = field(default_factory=deque)
    waiting_tokens: int = 0
    grants: dict = field(default_factory=dict)
    pending_ask: int = 0
    sent_at: float = float("-inf")
    next_ask_at: float = 0.0
    opens_at: float = 0.0
    home_available: float = float("inf")
    home_available_at: float = 0.0
    report_seconds: float = REPORT_INTERVAL_SECONDS
    queued_elsewhere: int = 0
    queues_elsewhere: int = 0
    demand: float = 0.0
    demand_at: float = 0.0

    @property
    def held(self):
        """int: Unused tokens of all grants."""
        return sum(grant.remaining for grant in self.grants.values())

    def is_idle(self, now):
        """Return whether this state can be dropped without loss."""
        return not (
            self.waiters or self.grants or self.pending_ask or now < self.opens_at
        )
