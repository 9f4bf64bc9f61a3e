"""Admission slots of one upstream: how many requests and tokens it can take."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

DURATION_SMOOTHING = 0.1
"""Weight of the newest duration in the moving average."""


class UpstreamState(Enum):
    """Whether an upstream may get requests."""

    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True)
class UpstreamLimits:
    """Capacity of an upstream.

    Parameters
    ----------
    name : str
        Name of the upstream.
    batch_size : int
        Requests that may run at once.
    kv_tokens : int, optional
        Tokens of KV memory; 0 for plain services.
    prefill_rate : float, optional
        Prompt tokens prefilled per second.
    decode_seconds : float, optional
        Duration of one decode step.
    region : str, optional
        Region in which it runs.
    """

    name: str
    batch_size: int
    kv_tokens: int = 0
    prefill_rate: float = 8_000.0
    decode_seconds: float = 0.02
    region: str = ""

    @property
    def output_cost(self):
        """float: Cost of one generated token, in prefilled tokens."""
        if not self.kv_tokens:
            return 1.0
        return max(1.0, self.prefill_rate * self.decode_seconds / self.batch_size)


@dataclass
class UpstreamSlots:
    """The slots of one upstream, by batch size and KV memory.

    The own count is exact for what this scheduler granted. A load report also
    shows what others sent, but lags: only its excess over the own count at the
    time of the report is added.

    Attributes
    ----------
    running : dict of str to tuple
        Tokens and customer of each request granted or adopted here, by id.
    reserved : int
        Tokens of the requests in `running`.
    foreign_running, foreign_reserved : int
        Requests and tokens of others, by the last load report.
    bound : int or None
        Limit on running requests besides the batch size; None for none.
    grants : int or None
        Requests that may still be granted; None for no limit.
    by_customer : Counter
        Reserved tokens by customer.
    """

    limits: UpstreamLimits
    state: UpstreamState = UpstreamState.UP
    running: dict = field(default_factory=dict)
    reserved: int = 0
    foreign_running: int = 0
    foreign_reserved: int = 0
    bound: int | None = None
    grants: int | None = None
    by_customer: Counter = field(default_factory=Counter)

    @property
    def is_up(self):
        """bool: Whether the upstream may get requests."""
        return self.state is UpstreamState.UP

    @property
    def batch_limit(self):
        """int: Requests that may run at once: the lower of batch size and bound."""
        if self.bound is None:
            return self.limits.batch_size
        return min(self.bound, self.limits.batch_size)

    @property
    def fill(self):
        """float: Fraction of the slots or of the memory in use, the greater one."""
        batch = (len(self.running) + self.foreign_running) / self.limits.batch_size
        if not self.limits.kv_tokens:
            return batch
        used = self.reserved + self.foreign_reserved
        return max(batch, used / self.limits.kv_tokens)

    @property
    def free(self):
        """int: Requests that may start now, their memory aside."""
        if not self.has_slot():
            return 0
        free = self.batch_limit - len(self.running) - self.foreign_running
        return free if self.grants is None else min(free, self.grants)

    def has_slot(self):
        """Return whether one more request may run, its memory aside."""
        if not self.is_up or self.grants == 0:
            return False
        return len(self.running) + self.foreign_running < self.batch_limit

    def fits(self, tokens):
        """Return whether a request of `tokens` may start now.

        A request larger than the memory may start alone, so that the upstream
        answers it; otherwise it would wait forever.
        """
        if not self.has_slot():
            return False
        if not self.limits.kv_tokens or not (self.running or self.foreign_running):
            return True
        used = self.reserved + self.foreign_reserved
        return used + tokens <= self.limits.kv_tokens

    def acquire(self, request_id, tokens, *, customer=""):
        """Acquire a slot; idempotent by request id."""
        if request_id in self.running:
            return
        self.running[request_id] = (tokens, customer)
        if self.grants:
            self.grants -= 1
        self.reserved += tokens
        self.by_customer[customer] += tokens

    def release(self, request_id):
        """Release a slot; return False when the request held none."""
        taken = self.running.pop(request_id, None)
        if taken is None:
            return False
        tokens, customer = taken
        self.reserved -= tokens
        self.by_customer[customer] -= tokens
        if not self.by_customer[customer]:
            del self.by_customer[customer]
        return True

    def report(self, running, reserved_tokens, own_running, own_reserved):
        """Apply a load report.

        Parameters
        ----------
        running, reserved_tokens : int
            Requests and tokens that the upstream reported.
        own_running, own_reserved : int
            Own counts when the report was taken.
        """
        self.foreign_running = max(0, running - own_running)
        self.foreign_reserved = max(0, reserved_tokens - own_reserved)


class MeanDuration:
    """Exponential moving average of the time for which a slot is held."""

    def __init__(self, *, seconds=1.0):
        self._seconds = seconds

    @property
    def seconds(self):
        """float: The average in seconds."""
        return self._seconds

    def add(self, seconds):
        """Add one duration to the average."""
        self._seconds += DURATION_SMOOTHING * (seconds - self._seconds)
