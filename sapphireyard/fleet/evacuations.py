"""Failure domains whose upstreams are to get no requests."""

import logging

logger = logging.getLogger(__name__)


class Evacuations:
    """The evacuated failure domains, as far as this host knows.

    Handles an operator who empties a failure domain while hosts are cut off from the
    store: the newest view counts, whether this host read it or another one reported
    it. A host that hears nothing keeps its last view. It can't tell whether that still
    holds, but neither can its callers' keys be checked for longer than seconds.

    Parameters
    ----------
    on_change : callable, optional
        Called when the set of failure domains has changed.

    Attributes
    ----------
    domains : frozenset of str
        The evacuated failure domains.
    revision : int
        Revision of the store at which that was read; 0 before the first.
    """

    def __init__(self, *, on_change=lambda: None):
        self._on_change = on_change
        self.domains = frozenset()
        self.revision = 0

    def apply(self, domains, revision, *, source="store"):
        """Use a view unless a newer one is known.

        Parameters
        ----------
        domains : iterable of str
            All evacuated failure domains.
        revision : int
            Revision of the store at which they were read.
        source : str, optional
            Host that reported them.
        """
        if revision <= self.revision:
            return
        before = self.domains
        self.domains = frozenset(domains)
        self.revision = revision
        if self.domains == before:
            return
        logger.info(
            "evacuations",
            extra={
                "decision": "evacuations",
                "domains": sorted(self.domains),
                "before": sorted(before),
                "revision": revision,
                "source": source,
            },
        )
        self._on_change()

    def covers(self, upstream):
        """Return whether an upstream is in an evacuated failure domain."""
        return upstream.failure_domain in self.domains
