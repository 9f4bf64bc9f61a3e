"""The known hosts, and which of them are live."""

from collections import defaultdict
from dataclasses import dataclass

from sapphireyard.fleet.generated_fleet import Heartbeat

ENTRY = "entry"
"""Role of hosts that serve callers."""
HISTORY = "history"
"""Role of hosts that keep copies of histories."""
SILENCE_SECONDS = 0.7
"""Seven heartbeats of 0.1 s: silence after which a host counts as out of touch."""
SILENT_HEARTBEATS = 3.5
"""Heartbeats by which the silence grows in fleets with longer intervals: fewer than
seven, as a late heartbeat is missed by few hosts only."""
STANDBY_SILENCE_SECONDS = 3.5
"""The same between a standby host and the active ones: three heartbeats of 1 s."""
COUNTED_SILENCE_SECONDS = 1.3
"""Silence after which a standby host does not count for shares of rates. It is short,
as two parts of a divided fleet must not count the same host for long; a host that is
missed for a moment changes the shares little."""
REMOVAL_SECONDS = 20.0
"""Silence after which a host is removed: longer than a restart, and than a network
partition of some seconds."""


@dataclass
class Member:
    """A host as of its last heartbeat.

    Parameters
    ----------
    heartbeat : Heartbeat
        Its last heartbeat.
    heard_at : float
        Time of arrival, in monotonic seconds of this host.
    absence : float
        Seconds for which the host counted as out of touch before that.
    """

    heartbeat: Heartbeat
    heard_at: float
    absence: float = 0.0


@dataclass
class _DomainCount:
    """Entry hosts of a failure domain: heard here, registered, and as they report."""

    known: int = 0
    live: int = 0
    registered: int = 0
    reported_known: int = 0
    reported_live: int = 0


class Membership:
    """The hosts that are registered, and those from which heartbeats were received.

    Handles a fleet of some hundreds of hosts that die, pause and are replaced at any
    time: whether a host is live depends only on the time since its last heartbeat,
    on the clock of the observer. Active entry hosts hear each other and the standby
    hosts of their failure domain; standby hosts hear the active ones of their domain.

    Parameters
    ----------
    host : str
        Name of this host.
    failure_domain : str, optional
        Its failure domain.

    Attributes
    ----------
    own : HostProfile or None
        This host, if it is an entry host.
    active : bool
        Whether this host itself is an active entry host.
    heartbeat_seconds : float
        Interval of the active hosts' heartbeats.
    """

    def __init__(self, host, failure_domain=""):
        self._host = host
        self._failure_domain = failure_domain
        self._members = {}
        self._profiles = {}
        self._seeds = set()
        self._removed = set()
        self.own = None
        self.active = True
        self.heartbeat_seconds = 0.1

    @property
    def failure_domain(self):
        """str: Failure domain of this host; empty if unknown."""
        return self._failure_domain

    @property
    def profiles(self):
        """dict of str to HostProfile: The other registered hosts by name."""
        return self._profiles

    def list_registered(self, domain):
        """Return the `HostProfile` of each entry host of a domain, with this host."""
        found = [
            each
            for each in self._profiles.values()
            if each.role == ENTRY and each.failure_domain == domain
        ]
        if self.own is not None and self.own.failure_domain == domain:
            found.append(self.own)
        return found

    def silence_limit(self, heartbeat):
        """Return the seconds of silence after which a host is out of touch.

        Parameters
        ----------
        heartbeat : Heartbeat
            Last heartbeat of the host.
        """
        if heartbeat.role != ENTRY:
            return SILENCE_SECONDS
        if not (self.active and heartbeat.active):
            return STANDBY_SILENCE_SECONDS
        longer = self.heartbeat_seconds - 0.1
        return SILENCE_SECONDS + SILENT_HEARTBEATS * max(0.0, longer)

    def add_seed(self, address):
        """Add the IP:PORT of a host whose name is not known."""
        self._seeds.add(address)

    def set_profiles(self, profiles):
        """Replace the registered hosts by a newer list of `HostProfile`."""
        self._profiles = {
            profile.host: profile for profile in profiles if profile.host != self._host
        }

    def record_heartbeat(self, heartbeat, now):
        """Record a heartbeat.

        Returns
        -------
        Member or None
            None for an outdated or repeated heartbeat.
        """
        if heartbeat.host == self._host:
            return None
        known = self._members.get(heartbeat.host)
        silence = now - known.heard_at if known else 0.0
        if known is not None and self._is_outdated(heartbeat, known.heartbeat, silence):
            return None
        limit = self.silence_limit(known.heartbeat if known else heartbeat)
        member = Member(heartbeat, now, max(0.0, silence - limit))
        self._members[heartbeat.host] = member
        self._removed.discard(heartbeat.host)
        return member

    def find_address(self, host):
        """Return the IP:PORT of a host's datagrams, or None if it is not known."""
        member = self._members.get(host)
        if member is not None:
            return member.heartbeat.address
        profile = self._profiles.get(host)
        return profile.address if profile else None

    def list_seeds(self):
        """Return the IP:PORT of each seed whose host was not heard yet."""
        heard = {member.heartbeat.address for member in self._members.values()}
        return self._seeds - heard

    def find(self, host):
        """Return the `Member` called `host`, or None."""
        return self._members.get(host)

    def silent_for(self, host, now):
        """Return the seconds since a host's last heartbeat; infinity without one."""
        member = self._members.get(host)
        return now - member.heard_at if member else float("inf")

    def is_live(self, member, now):
        """Return whether a member is not out of touch."""
        return now - member.heard_at <= self.silence_limit(member.heartbeat)

    def list_known(self, role, *, domain=None):
        """Return the members with a role, in one domain or all, sorted by name."""
        found = [
            member
            for member in self._members.values()
            if member.heartbeat.role == role
            and (domain is None or member.heartbeat.failure_domain == domain)
        ]
        return sorted(found, key=lambda member: member.heartbeat.host)

    def list_live(self, role, now):
        """Return the members with a role that are not out of touch, sorted by name."""
        return [member for member in self.list_known(role) if self.is_live(member, now)]

    def list_active(self, now):
        """Return the live entry hosts that serve callers, sorted by name."""
        return [
            member for member in self.list_live(ENTRY, now) if member.heartbeat.active
        ]

    def count_entry_hosts(self):
        """Return how many entry hosts are registered or were heard, with this one."""
        registered = {p.host for p in self._profiles.values() if p.role == ENTRY}
        heard = {m.heartbeat.host for m in self.list_known(ENTRY)}
        return len(registered | heard | {self._host})

    def count_domain(self, now):
        """Return how many entry hosts of the own domain are known, and how many live.

        Both count this host.
        """
        known = self.list_known(ENTRY, domain=self._failure_domain)
        return len(known) + 1, sum(self._counts(m, now) for m in known) + 1

    def count_fleet(self, now):
        """Return how many entry hosts are known in the fleet, and how many live.

        Each host counts those of its own domain that it hears. If live hosts of a
        domain report more than are heard from here, their counts are used. Hosts that
        have just become active have heard few others: registered hosts are known as
        well, unless they were removed for their silence.
        """
        domains = defaultdict(_DomainCount)
        own = domains[self._failure_domain]
        own.known = own.live = 1
        for member in self.list_known(ENTRY):
            heartbeat = member.heartbeat
            domain = domains[heartbeat.failure_domain]
            domain.known += 1
            domain.reported_known = max(domain.reported_known, heartbeat.domain_known)
            if self._counts(member, now):
                domain.live += 1
                domain.reported_live = max(domain.reported_live, heartbeat.domain_live)
        for profile in self._profiles.values():
            if profile.role == ENTRY and profile.host not in self._removed:
                domains[profile.failure_domain].registered += 1
        own.registered += 1
        known = sum(
            max(d.known, d.reported_known, d.registered) for d in domains.values()
        )
        live = sum(max(d.live, d.reported_live) for d in domains.values())
        return known, live

    def _counts(self, member, now):
        """Return whether a member counts as live for shares of rates."""
        if member.heartbeat.active:
            return self.is_live(member, now)
        return now - member.heard_at <= COUNTED_SILENCE_SECONDS

    def remove_silent(self, now):
        """Remove hosts that have been silent for long; return their names.

        Their registered addresses are kept, so that a partition that heals is noticed.
        """
        removed = [
            host
            for host, member in self._members.items()
            if now - member.heard_at > REMOVAL_SECONDS
        ]
        for host in removed:
            del self._members[host]
        self._removed.update(removed)
        self._removed &= self._profiles.keys()
        return removed

    def heard_number(self, host):
        """Return incarnation and number of a host's newest heartbeat, or nothing."""
        member = self._members.get(host)
        if member is None:
            return []
        return [member.heartbeat.incarnation, member.heartbeat.number]

    def _is_outdated(self, heartbeat, known, silence):
        """Return whether a heartbeat is older than the last one received.

        Incarnations derive from the wall clock, which may have been set back while
        the host was down: after a silence a lower incarnation is a new run.
        """
        if heartbeat.incarnation < known.incarnation:
            return silence <= self.silence_limit(known)
        if heartbeat.incarnation > known.incarnation:
            return False
        return heartbeat.number <= known.number
