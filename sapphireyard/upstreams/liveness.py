"""Whether an open connection still makes progress."""

from dataclasses import dataclass
from enum import Enum

FIRST_BYTE_SECONDS = 10.0
"""Silence before the first byte, beyond the time that the prompt takes."""

NEXT_BYTE_SECONDS = 5.0
"""Silence between two bytes of an answer."""

PROBE_SECONDS = 2.0
"""Time that a fresh connection has to answer before the upstream is judged."""


class Step(Enum):
    """What to do about a connection."""

    WAIT = "wait"
    PROBE = "probe"
    """Try a fresh connection to the same upstream."""
    REPLACE = "replace"
    """The upstream answers; this connection is dead. Give it up."""
    JUDGE = "judge"
    """The upstream does not answer either. Report a failure and give up."""


@dataclass(frozen=True)
class ProgressLimits:
    """Longest silences of a connection, in seconds.

    Parameters
    ----------
    first_byte : float, optional
        From the request to the first byte of the answer.
    next_byte : float, optional
        Between two bytes of an answer.
    probe : float, optional
        That a fresh connection has for its first byte.
    """

    first_byte: float = FIRST_BYTE_SECONDS
    next_byte: float = NEXT_BYTE_SECONDS
    probe: float = PROBE_SECONDS


class ProgressWatch:
    """Judges one exchange by the time since its last byte.

    A connection that goes silent says nothing about its upstream: something
    between the two may have lost track of it. So a fresh connection is tried
    first, and only when that is silent too is the upstream judged. Bytes that
    arrive meanwhile end the suspicion.

    Parameters
    ----------
    now : float
        When the request was sent; monotonic seconds.
    limits : ProgressLimits, optional
        Longest silences.
    """

    def __init__(self, now, *, limits=ProgressLimits()):
        self._limits = limits
        self._last_byte_at = now
        self._has_bytes = False
        self._probed_at = None
        self._probe_ok = None

    @property
    def limit(self):
        """float: The longest silence allowed now, in seconds."""
        if self._has_bytes:
            return self._limits.next_byte
        return self._limits.first_byte

    def note_bytes(self, now):
        """Note that bytes of the answer arrived."""
        self._last_byte_at = now
        self._has_bytes = True
        self._probed_at = None
        self._probe_ok = None

    def note_probe(self, ok):
        """Note whether a fresh connection answered."""
        if self._probed_at is not None:
            self._probe_ok = ok

    def step(self, now):
        """Return the `Step` to take; `Step.PROBE` once for each silence."""
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
        """Return when `step` may say something else than to wait."""
        if self._probed_at is None:
            return self._last_byte_at + self.limit
        return self._probed_at + self._limits.probe
