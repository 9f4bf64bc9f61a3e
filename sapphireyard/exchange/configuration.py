"""The configuration in force on this host and how sure it is.

A key that was withdrawn must stop working within a bound on every host, also on
one that cannot hear of it. So the age of a confirmation counts from when the
read was sent: what the store answered then was in force at that time or later.
"""

import logging

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.routes import RouteTable

logger = logging.getLogger(__name__)

WITHDRAWAL_MARGIN_SECONDS = 0.1
"""Kept free of the bound for clocks that run at other speeds. No more is needed:
a read that lacks a withdrawal was answered before it, and a request that is
checked now was sent before now."""
DOUBT_SECONDS = 2.6
"""Age of the last confirmation from which "there is no such route" may be wrong:
one watch of the store, its answer, and a margin."""
RETRY_SECONDS = 0.5
"""When to come back for something that a newer version may allow."""
OUTAGE_RETRY_SECONDS = 1.0
"""When to come back while the store is out, which lasts some seconds."""


class Configuration:
    """The newest `RouteTable` and when it was last confirmed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    withdrawal_seconds : float
        Time after which a withdrawn key may be used no more.
    """

    def __init__(self, clock, *, withdrawal_seconds):
        self._clock = clock
        self._bound = withdrawal_seconds - WITHDRAWAL_MARGIN_SECONDS
        self._table = RouteTable()
        self._confirmed_at = float("-inf")
        self._listeners = []
        self._newest_heard = 0

    @property
    def outdated(self):
        """bool: Whether another host has a newer version."""
        return self._newest_heard > self._table.version

    @property
    def table(self):
        """RouteTable: What is in force."""
        return self._table

    @property
    def loaded(self):
        """bool: Whether any configuration has been read."""
        return self._table.version > 0

    @property
    def age(self):
        """float: Seconds since the newest confirmed read was sent."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def fresh(self):
        """bool: Whether keys may be accepted."""
        return self.loaded and self.age < self._bound

    def on_change(self, listener):
        """Call ``listener(table)`` whenever a newer version is taken."""
        self._listeners.append(listener)

    def apply(self, table):
        """Put a newer version in force; older ones are left out."""
        if table.version <= self._table.version:
            return
        logger.info(
            "configuration in force",
            extra={
                "decision": "configuration",
                "version": table.version,
                "before": self._table.version,
                "routes": len(table.routes),
                "customers": len(table.customers),
            },
        )
        self._table = table
        for listener in self._listeners:
            listener(table)

    def confirm(self, sent_at):
        """Note that the version at hand was the newest at `sent_at` or later."""
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def confirm_by_peer(self, version, age, answered_at):
        """Take in another host's confirmation.

        Parameters
        ----------
        version : int
            Version that was the newest at the other host's last read.
        age : float
            Age in seconds of that read when the other host said so; negative
            when there was none.
        answered_at : float or None
            Time before which it cannot have said so, by this host's clock.
        """
        self._newest_heard = max(self._newest_heard, version)
        if age < 0 or answered_at is None or version != self._table.version:
            return
        self.confirm(answered_at - age)

    def check(self):
        """Raise `CallError` unless requests with keys may be served."""
        if not self.loaded:
            raise CallError(
                "configuration_stale",
                "no configuration has been read yet",
                retry_after=OUTAGE_RETRY_SECONDS,
            )
        if not self.fresh:
            raise CallError(
                "configuration_stale",
                f"the configuration was last confirmed {self.age:.1f} s ago",
                retry_after=OUTAGE_RETRY_SECONDS,
            )

    def build_refusal(self, code, detail):
        """Return the error for something that is not in the configuration.

        While a newer version may exist that allows it, the caller is told to
        come back instead.
        """
        if self.age < DOUBT_SECONDS:
            return CallError(code, detail)
        return CallError(
            "configuration_stale",
            f"{detail} in version {self._table.version}, {self.age:.1f} s old",
            retry_after=RETRY_SECONDS,
        )
