"""Tells when this process was held up: suspended, frozen, or out of processor time."""

import asyncio

from sapphireyard.clocks import SuspendClock

BEAT_SECONDS = 0.25
HELD_UP_SECONDS = 0.9
"""Time between two beats from which the process was held up: shorter than a restart of
an upstream, which takes some seconds."""
SETTLE_SECONDS = 0.25
"""Time after which all that arrived while the process was held up has been read."""


class LoopPulse:
    """Notes the time at regular intervals, and whether the last one took too long.

    Parameters
    ----------
    clock : Clock, optional
        Its monotonic time counts while the host is suspended.
    """

    def __init__(self, clock=None):
        self._clock = clock or SuspendClock()
        self._beat_at = self._clock.monotonic()
        self._held_up_until = float("-inf")
        self._timer = None

    def start(self):
        """Begin to beat."""
        self._beat_at = self._clock.monotonic()
        self._schedule()

    def stop(self):
        """End the beat."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def held_up_since(self, loop_time):
        """Return whether what was read since then may have arrived long before.

        Parameters
        ----------
        loop_time : float
            Time of the event loop.
        """
        self._note()
        return loop_time <= self._held_up_until + SETTLE_SECONDS

    def _schedule(self):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(BEAT_SECONDS, self._beat)

    def _beat(self):
        self._note()
        self._schedule()

    def _note(self):
        now = self._clock.monotonic()
        if now - self._beat_at > HELD_UP_SECONDS:
            self._held_up_until = asyncio.get_running_loop().time()
        self._beat_at = now
