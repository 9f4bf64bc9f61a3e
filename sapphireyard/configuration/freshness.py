"""Whether a host may still trust the configuration that it has."""

QUORUM_DOMAINS = 3
"""Least failure domains, one's own included, that can attest an outage."""


class Freshness:
    """Tracks when the version at hand was last known to be the newest.

    Confirmations come from the store or from peers. A peer's carries the age
    of the store's answer behind it, so that hosts which are cut from the
    store cannot keep each other fresh.

    While the store is out for the whole fleet nobody can change the
    configuration. A host that keeps hearing from more than half of all failure
    domains, and of no newer version, goes on with the one it has: a version
    that has reached more than half of the domains cannot be missed so.

    Parameters
    ----------
    bound_seconds : float
        Age of the last confirmation beyond which the version is stale.
    """

    def __init__(self, bound_seconds):
        self._bound = bound_seconds
        self._version = 0
        self._newest_heard = 0
        self._confirmed_at = None
        self._heard_at = {}

    @property
    def version(self):
        """int: Version in force; 0 before the first."""
        return self._version

    def hear(self, version):
        """Note that `version` exists; return whether it is newer than ours."""
        self._newest_heard = max(self._newest_heard, version)
        return version > self._version

    def confirm(self, version, *, asked_at, age):
        """Take in that `version` holds all that the store held at some time.

        Versions grow in one line, so this also confirms a newer one.

        Parameters
        ----------
        version : int
            Version that the source holds.
        asked_at : float
            When the source was asked, by this host's clock in seconds.
        age : float
            Age in seconds of the store's answer when the source replied;
            0 for the store itself, negative when there was none.
        """
        self.hear(version)
        if not 0 < version <= self._version or age < 0:
            return
        confirmed_at = asked_at - age
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def hear_domain(self, domain, asked_at):
        """Note that a host of a failure domain answered a question.

        Parameters
        ----------
        domain : str
            Its failure domain.
        asked_at : float
            When it was asked, by this host's clock in seconds.
        """
        self._heard_at[domain] = max(asked_at, self._heard_at.get(domain, asked_at))

    def install(self, version):
        """Put a newer version in force; it is confirmed separately."""
        assert version > self._version, f"{version} would revert {self._version}"
        self._version = version
        self.hear(version)

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
            Seconds.
        domains : collection of str, optional
            All failure domains of the fleet; none rules an outage out.
        """
        if not self._version or self._confirmed_at is None:
            return False
        if now - self._confirmed_at <= self._bound:
            return True
        return self._newest_heard == self._version and self._has_quorum(now, domains)

    def _has_quorum(self, now, domains):
        heard = sum(
            1
            for domain in domains
            if now - self._heard_at.get(domain, float("-inf")) <= self._bound
        )
        return heard >= QUORUM_DOMAINS and 2 * heard > len(domains)
