"""The known hosts, and which of them are live."""

from dataclasses import dataclass

from sapphireyard.fleet.generated_fleet import Heartbeat, HostAddress

ENTRY = "entry"
"""Role of hosts that serve callers."""
HISTORY = "history"
"""Role of hosts that keep copies of histories."""
SILENCE_SECONDS = 0.7
"""Seven heartbeats of 0.1 s: silence after which a host counts as out of touch."""
EXTRA_ROUND_SILENCE_SECONDS = 0.35
"""Added for each further beat between two heartbeats to the same host: three and a
half beats rather than seven, as a late heartbeat is missed by few hosts only."""
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


class Membership:
    """The hosts from which heartbeats were received.

    Handles a fleet of some tens of hosts that die, pause and are replaced at any
    time: whether a host is live depends only on the time since its last heartbeat,
    on the clock of the observer.

    Parameters
    ----------
    host : str
        Name of this host.
    """

    def __init__(self, host):
        self._host = host
        self._members = {}
        self._addresses = {}
        self.fanout_rounds = 1

    def silence_limit(self, role):
        """Return the seconds of silence after which a host is out of touch.

        In a large fleet, entry hosts get each other's heartbeats only every
        `fanout_rounds` beats.
        """
        if role != ENTRY:
            return SILENCE_SECONDS
        return SILENCE_SECONDS + (self.fanout_rounds - 1) * EXTRA_ROUND_SILENCE_SECONDS

    def add_address(self, host, address, now):
        """Add the address of a host from which no heartbeat was received yet."""
        if host != self._host and host not in self._members:
            self._addresses.setdefault(host, address)

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
        limit = self.silence_limit(heartbeat.role)
        member = Member(heartbeat, now, max(0.0, silence - limit))
        self._members[heartbeat.host] = member
        self._addresses[heartbeat.host] = heartbeat.address
        return member

    def list_receivers(self):
        """Return the IP:PORT of every host that may be alive, by host, each once.

        A seed is known only by its address until a heartbeat of its host arrives.
        """
        member_addresses = {m.heartbeat.address for m in self._members.values()}
        return {
            host: address
            for host, address in self._addresses.items()
            if host in self._members or address not in member_addresses
        }

    def find(self, host):
        """Return the `Member` called `host`, or None."""
        return self._members.get(host)

    def silent_for(self, host, now):
        """Return the seconds since a host's last heartbeat; infinity without one."""
        member = self._members.get(host)
        return now - member.heard_at if member else float("inf")

    def list_known(self, role):
        """Return the members with a role, sorted by name."""
        members = self._members.values()
        return sorted(
            (member for member in members if member.heartbeat.role == role),
            key=lambda member: member.heartbeat.host,
        )

    def list_live(self, role, now):
        """Return the members with a role that are not out of touch, sorted by name."""
        limit = self.silence_limit(role)
        return [
            member for member in self.list_known(role) if now - member.heard_at <= limit
        ]

    def remove_silent(self, now):
        """Remove hosts that have been silent for long; return their names."""
        removed = [
            host
            for host, member in self._members.items()
            if now - member.heard_at > REMOVAL_SECONDS
        ]
        for host in removed:
            del self._members[host]
            self._addresses.pop(host, None)
        return removed

    def heard_numbers(self, hosts):
        """Return incarnation and number of the newest heartbeat of the given hosts."""
        return {
            host: [
                self._members[host].heartbeat.incarnation,
                self._members[host].heartbeat.number,
            ]
            for host in hosts
            if host in self._members
        }

    def list_addresses(self):
        """Return the `HostAddress` of each member, for new hosts."""
        return [
            HostAddress(host, member.heartbeat.address, member.heartbeat.role)
            for host, member in self._members.items()
        ]

    def _is_outdated(self, heartbeat, known, silence):
        """Return whether a heartbeat is older than the last one received.

        Incarnations derive from the wall clock, which may have been set back while
        the host was down: after a silence a lower incarnation is a new run.
        """
        if heartbeat.incarnation < known.incarnation:
            return silence <= self.silence_limit(known.role)
        if heartbeat.incarnation > known.incarnation:
            return False
        return heartbeat.number <= known.number
