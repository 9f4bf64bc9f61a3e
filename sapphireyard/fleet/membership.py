"""Which hosts there are, and which of them can be heard."""

from dataclasses import dataclass

from sapphireyard.fleet.generated_fleet import Heartbeat, HostAddress

ENTRY = "entry"
"""Role of hosts that serve callers."""
HISTORY = "history"
"""Role of hosts that keep copies of histories."""
SILENCE_SECONDS = 0.7
"""Seven heartbeats of 0.1 s: silence after which a host counts as out of touch."""
EXTRA_ROUND_SILENCE_SECONDS = 0.35
"""The same for each further beat between two heartbeats of one host to another:
three and a half of them, as a late one is awaited by few."""
REMOVAL_SECONDS = 20.0
"""Longer than a restart and a network partition of some seconds."""


@dataclass
class Member:
    """One host as last heard.

    Parameters
    ----------
    heartbeat : Heartbeat
        What it said last.
    heard_at : float
        Monotonic seconds of this host when that arrived.
    absence : float
        Seconds for which the host counted as out of touch before that.
    """

    heartbeat: Heartbeat
    heard_at: float
    absence: float = 0.0


class Membership:
    """The hosts heard so far.

    Answers the load pattern of a fleet of some tens of hosts whose members die,
    pause and are replaced at any time: a host is judged only by the time since
    its last heartbeat, on the clock of the observer.

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

        Entry hosts of a large fleet hear each other only every `fanout_rounds` beats.
        """
        if role != ENTRY:
            return SILENCE_SECONDS
        return SILENCE_SECONDS + (self.fanout_rounds - 1) * EXTRA_ROUND_SILENCE_SECONDS

    def add_address(self, host, address, now):
        """Note the address of a host that was not heard itself."""
        if host != self._host and host not in self._members:
            self._addresses.setdefault(host, address)

    def record_heartbeat(self, heartbeat, now):
        """Take in a heartbeat.

        Returns
        -------
        Member or None
            None for an old or repeated heartbeat.
        """
        if heartbeat.host == self._host:
            return None
        known = self._members.get(heartbeat.host)
        silence = now - known.heard_at if known else 0.0
        if known is not None and self._is_old(heartbeat, known.heartbeat, silence):
            return None
        limit = self.silence_limit(heartbeat.role)
        member = Member(heartbeat, now, max(0.0, silence - limit))
        self._members[heartbeat.host] = member
        self._addresses[heartbeat.host] = heartbeat.address
        return member

    def list_receivers(self):
        """Return the IP:PORT of every host that may be alive, each once.

        A seed is known by its address alone until the host there was heard.
        """
        heard = {member.heartbeat.address for member in self._members.values()}
        return {
            host: address
            for host, address in self._addresses.items()
            if host in self._members or address not in heard
        }

    def find(self, host):
        """Return the `Member` called `host`, or None."""
        return self._members.get(host)

    def silent_for(self, host, now):
        """Return the seconds since a host was heard; infinity if it never was."""
        member = self._members.get(host)
        return now - member.heard_at if member else float("inf")

    def list_known(self, role):
        """Return the members of a role that are not forgotten, by name."""
        members = self._members.values()
        return sorted(
            (member for member in members if member.heartbeat.role == role),
            key=lambda member: member.heartbeat.host,
        )

    def list_live(self, role, now):
        """Return the members of a role that were heard lately, by name."""
        limit = self.silence_limit(role)
        return [
            member for member in self.list_known(role) if now - member.heard_at <= limit
        ]

    def remove_silent(self, now):
        """Drop hosts that have been silent for long; return their names."""
        gone = [
            host
            for host, member in self._members.items()
            if now - member.heard_at > REMOVAL_SECONDS
        ]
        for host in gone:
            del self._members[host]
            self._addresses.pop(host, None)
        return gone

    def heard_numbers(self, hosts):
        """Return incarnation and number of the newest heartbeat of some hosts."""
        return {
            host: [
                self._members[host].heartbeat.incarnation,
                self._members[host].heartbeat.number,
            ]
            for host in hosts
            if host in self._members
        }

    def list_addresses(self):
        """Return the `HostAddress` of each member, for hosts that are new."""
        return [
            HostAddress(host, member.heartbeat.address, member.heartbeat.role)
            for host, member in self._members.items()
        ]

    def _is_old(self, heartbeat, known, silence):
        """Return whether a heartbeat was overtaken by another.

        Incarnations come from the time of day, which may have been set back
        while the host was down: after a silence a lower one is a new run.
        """
        if heartbeat.incarnation < known.incarnation:
            return silence <= self.silence_limit(known.role)
        if heartbeat.incarnation > known.incarnation:
            return False
        return heartbeat.number <= known.number
