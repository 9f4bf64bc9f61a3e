"""Detection of connections that no longer make progress."""

from dataclasses import dataclass
from enum import Enum

FIRST_BYTE_SECONDS = 10.0
"""Longest silence before the first byte, on top of the time to prefill."""

NEXT_BYTE_SECONDS = 5.0
"""Longest silence between two bytes of an answer."""

PROBE_TIMEOUT_SECONDS = 2.0
"""Time-out of the probe on a fresh connection."""


class Step(Enum):
    """What to do about a connection."""

    WAIT = "wait"
    PROBE = "probe"
    """Try a fresh connection to the same upstream."""
    REPLACE = "replace"
    """The upstream answers, so this connection is dead. Close it."""
    JUDGE = "judge"
    """The upstream does not answer the probe. Close and report a failure."""


@dataclass(frozen=True)
class ProgressLimits:
    """Longest silences allowed on a connection, in seconds.

    Parameters
    ----------
    first_byte : float, optional
        Between the request and the first byte of the answer.
    next_byte : float, optional
        Between two bytes of an answer.
    probe : float, optional
        Between the probe on a fresh connection and its answer.
    """

    first_byte: float = FIRST_BYTE_SECONDS
    next_byte: float = NEXT_BYTE_SECONDS
    probe: float = PROBE_TIMEOUT_SECONDS


class ProgressWatch:
    """Decides about one exchange by the time since its last byte.

    A silent connection alone does not show that its upstream failed: a network
    device in between may have dropped the connection's state. The upstream is
    therefore probed on a fresh connection, and only counts as failed when that
    is silent too. Bytes that arrive on the connection cancel the probe.

    Parameters
    ----------
    now : float
        When the request was sent; monotonic seconds.
    limits : ProgressLimits, optional
        Longest silences allowed.
    """

    def __init__(self, now, *, limits=ProgressLimits()):
        self._limits = limits
        self._last_byte_at = now
        self._has_bytes = False
        self._probed_at = None
        self._probe_ok = None

    @property
    def limit(self):
        """float: Longest silence currently allowed, in seconds."""
        if self._has_bytes:
            return self._limits.next_byte
        return self._limits.first_byte

    def note_bytes(self, now):
        """Record that bytes of the answer arrived."""
        self._last_byte_at = now
        self._has_bytes = True
        self._probed_at = None
        self._probe_ok = None

    def note_probe(self, ok):
        """Record whether the probe was answered."""
        if self._probed_at is not None:
            self._probe_ok = ok

    def step(self, now):
        """Return the `Step` to take; `Step.PROBE` at most once per silence."""
        if now - self._last_byte_at < self.limit:
            return Step.WAIT
        if self._probed_at is None:
            self._probed_at = now
            return Step.PROBE
        if self._probe_ok:
            return Step.REPLACE
        if self._probe_ok is False or now - self._probed_at >= self._limits.probe:
            return Step.JUDGE
        return Step.WAIT

    def next_step_at(self):
        """Return the earliest time at which `step` may not return `Step.WAIT`."""
        if self._probed_at is None:
            return self._last_byte_at + self.limit
        return self._probed_at + self._limits.probe
