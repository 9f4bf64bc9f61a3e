"""Clocks: the only module of the package that reads the time."""

import time


class Clock:
    """The system clock of this host; tests use subclasses with virtual time."""

    def monotonic(self):
        """Return seconds from an arbitrary start; never goes back."""
        return time.monotonic()

    def wall(self):
        """Return seconds since the epoch; for records and logs, not decisions."""
        return time.time()


class SuspendClock(Clock):
    """A clock whose monotonic time also counts while the host is suspended.

    Information from before a suspend thus has the same age here as on other hosts.
    """

    def monotonic(self):
        """Return seconds from an arbitrary start, suspends included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
