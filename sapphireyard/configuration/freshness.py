"""Decides whether the configuration of a host is recent enough to use."""

QUORUM_DOMAINS = 3
"""Minimum number of failure domains, own included, that must answer in an outage."""


class Freshness:
    """Tracks when the current version was last known to be the newest.

    Confirmations come from the store or from peers. A peer's confirmation
    carries the age of the store's answer that it is based on, so that hosts
    which are cut off from the store cannot keep each other fresh.

    While the store is down for the whole fleet, the configuration cannot
    change. A host that keeps receiving answers from more than half of all
    failure domains, and learns of no newer version, continues to use the one
    it has. It cannot miss a version that has reached more than half of the
    domains, because any two majorities have a domain in common.

    Parameters
    ----------
    bound_seconds : float
        Age of the last confirmation beyond which the version is stale.
    """

    def __init__(self, bound_seconds):
        self._bound = bound_seconds
        self._version = 0
        self._newest_known = 0
        self._confirmed_at = None
        self._answered_at = {}

    @property
    def version(self):
        """int: Installed version; 0 before the first."""
        return self._version

    def note_version(self, version):
        """Record that `version` exists; return whether it is newer than ours."""
        self._newest_known = max(self._newest_known, version)
        return version > self._version

    def note_unreadable(self):
        """Record that the store has a version that this host cannot read.

        The store is not down: no quorum vouches for the installed version until a
        newer one is installed.
        """
        self.note_version(self._version + 1)

    def confirm(self, version, *, asked_at, age):
        """Record that `version` was the newest when the store last confirmed it.

        Versions form a linear sequence, so this also confirms a newer one.

        Parameters
        ----------
        version : int
            Version that the source holds.
        asked_at : float
            When the source was queried, by this host's clock in seconds.
        age : float
            Age in seconds of the store's answer when the source replied;
            0 for the store itself, negative when there was none.
        """
        self.note_version(version)
        if not 0 < version <= self._version or age < 0:
            return
        confirmed_at = asked_at - age
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def note_domain(self, domain, asked_at):
        """Record that a host of a failure domain answered a query.

        Parameters
        ----------
        domain : str
            Its failure domain.
        asked_at : float
            When it was queried, by this host's clock in seconds.
        """
        self._answered_at[domain] = max(
            asked_at, self._answered_at.get(domain, asked_at)
        )

    def install(self, version):
        """Set a newer version as installed; it is confirmed separately."""
        assert version > self._version, f"{version} would revert {self._version}"
        self._version = version
        self.note_version(version)

    def age(self, now):
        """Return the age of the last confirmation; negative if there was none."""
        if self._confirmed_at is None:
            return -1.0
        return max(0.0, now - self._confirmed_at)

    def is_fresh(self, now, domains=()):
        """Return whether the version may be used.

        Parameters
        ----------
        now : float
            Time by this host's clock in seconds.
        domains : collection of str, optional
            All failure domains of the fleet; if empty, an outage of the store
            is not considered.
        """
        if not self._version or self._confirmed_at is None:
            return False
        if now - self._confirmed_at <= self._bound:
            return True
        return self._newest_known == self._version and self._has_quorum(now, domains)

    def _has_quorum(self, now, domains):
        answered = sum(
            1
            for domain in domains
            if now - self._answered_at.get(domain, float("-inf")) <= self._bound
        )
        return answered >= QUORUM_DOMAINS and 2 * answered > len(domains)
