"""Clocks: the only place where the package reads the time."""

import time


class Clock:
    """The time of this host. Tests pass a subclass with virtual time."""

    def monotonic(self):
        """Return seconds from an arbitrary start; never goes back."""
        return time.monotonic()

    def wall(self):
        """Return seconds since the epoch; for records and logs, not decisions."""
        return time.time()


class SuspendClock(Clock):
    """A clock whose monotonic time also counts while the host is suspended.

    What was known before a suspend is as old as it is for everybody else.
    """

    def monotonic(self):
        """Return seconds from an arbitrary start, suspends included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
