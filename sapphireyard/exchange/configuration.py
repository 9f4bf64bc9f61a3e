"""The configuration in force on this host, and when it was last confirmed.

A withdrawn key must stop working within a bound on every host, including a host
that cannot learn of the withdrawal. The age of a confirmation is therefore counted
from when the read was sent: what the store returned was in force then or later.
"""

import logging

from sapphireyard.exceptions import CallError
from sapphireyard.exchange.routes import RouteTable

logger = logging.getLogger(__name__)

WITHDRAWAL_MARGIN_SECONDS = 0.1
"""Subtracted from the bound because clocks run at different rates. Network delays
need no margin: a read that lacks a withdrawal was answered before the withdrawal, and
a request was sent before it is checked."""
UNCERTAIN_AGE_SECONDS = 2.6
"""Age of the last confirmation from which "no such route" may be wrong: one watch
of the store, its answer, and a margin."""
MAX_SHARED_VERSION = 2**63 - 1
"""Heartbeats carry versions in 64 bits; each host confirms a larger one by itself."""
RETRY_SECONDS = 0.5
"""Retry-After for requests that a newer version may allow."""
OUTAGE_RETRY_SECONDS = 1.0
"""Retry-After while the store is unavailable, which lasts some seconds."""


class Configuration:
    """The newest `RouteTable` and when it was last confirmed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    withdrawal_seconds : float
        Time after which a withdrawn key must no longer be accepted.
    """

    def __init__(self, clock, *, withdrawal_seconds):
        self._clock = clock
        self._max_age = withdrawal_seconds - WITHDRAWAL_MARGIN_SECONDS
        self._table = RouteTable()
        self._confirmed_at = float("-inf")
        self._listeners = []
        self._newest_reported = 0
        self._unreadable = ""

    @property
    def outdated(self):
        """bool: Whether another host has reported a newer version."""
        return self._newest_reported > self._table.version

    @property
    def table(self):
        """RouteTable: The version in force."""
        return self._table

    @property
    def loaded(self):
        """bool: Whether any configuration has been loaded."""
        return self._table.version > 0

    @property
    def age(self):
        """float: Seconds since the newest confirmed read was sent."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def fresh(self):
        """bool: Whether keys may be accepted."""
        return self.loaded and self.age < self._max_age

    def on_change(self, listener):
        """Call ``listener(table)`` whenever a newer version is applied."""
        self._listeners.append(listener)

    def apply(self, table):
        """Put a newer version in force; older ones are ignored."""
        if table.version < self._table.version:
            return
        self._unreadable = ""
        if table.version == self._table.version:
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

    def reject(self, reason):
        """Record that the newest version cannot be read.

        Until another one is applied, nothing confirms the version in force: it may
        have keys that the newest one withdraws.
        """
        if reason == self._unreadable:
            return
        self._unreadable = reason
        logger.error(
            "configuration cannot be read",
            extra={
                "decision": "configuration",
                "why": reason,
                "version": self._table.version,
                "age": round(self.age, 2) if self.loaded else None,
            },
        )

    def confirm(self, sent_at):
        """Record that the version in force was the newest at `sent_at` or later."""
        if not self._unreadable:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def confirm_by_peer(self, version, age, answered_at):
        """Use another host's confirmation if it has the same version.

        Parameters
        ----------
        version : int
            Newest version at the other host's last read.
        age : float
            Age of that read in seconds when the other host reported it; negative
            if there was none.
        answered_at : float or None
            Earliest time at which it can have reported this, by this host's clock;
            None if unknown.
        """
        self._newest_reported = max(self._newest_reported, version)
        if age < 0 or answered_at is None or version != self._table.version:
            return
        self.confirm(answered_at - age)

    def describe(self):
        """Return the fields of a heartbeat that confirm the version to other hosts."""
        version = self._table.version
        if not 0 < version <= MAX_SHARED_VERSION:
            return {"configuration_version": 0, "configuration_age": -1.0}
        return {"configuration_version": version, "configuration_age": self.age}

    def check(self):
        """Raise `CallError` unless requests with keys may be served."""
        if not self.loaded:
            raise CallError(
                "configuration_stale",
                "no configuration has been loaded yet",
                retry_after=OUTAGE_RETRY_SECONDS,
            )
        if not self.fresh:
            detail = f"the configuration was last confirmed {self.age:.1f} s ago"
            if self._unreadable:
                detail += "; the newest version cannot be read"
            raise CallError(
                "configuration_stale", detail, retry_after=OUTAGE_RETRY_SECONDS
            )

    def build_refusal(self, code, detail):
        """Return the error for a name that is not in the configuration.

        If there may be a newer version that has the name, the error tells the
        caller to retry.
        """
        if self.age < UNCERTAIN_AGE_SECONDS:
            return CallError(code, detail)
        return CallError(
            "configuration_stale",
            f"{detail} in version {self._table.version}, {self.age:.1f} s old",
            retry_after=RETRY_SECONDS,
        )
