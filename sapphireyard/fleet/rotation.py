"""Which entry hosts serve callers, and which stand by.

Handles a fleet with far more entry hosts than its load needs. Requests that are spread
over hundreds of hosts are placed on the same upstreams by hosts that each know little
of the others' load, and the heartbeats between all of them cost more than the
requests. So in each failure domain only some hosts serve callers, the largest first.
The others stand by: they run and are directed to when an active host is lost.

The active hosts of a domain hear all its hosts. Each of them names those that are to
be active in its heartbeats. A host that hears no active host of its domain follows the
registered order instead.
"""

import logging

from sapphireyard.fleet.membership import ENTRY, STANDBY_SILENCE_SECONDS

logger = logging.getLogger(__name__)

SMALL_FLEET_HOSTS = 12
"""Entry hosts up to which all are active: too few to save anything."""
MIN_ACTIVE_HOSTS = 2
"""Active hosts of a domain, so that one can be lost."""
MIN_ACTIVE_CORES = 4.0
"""Processor cores of a domain's active hosts. The peak of the known fleets needs less
in a domain; the rest is for bursts, until more hosts are active."""
CALLS_PER_CORE = 80.0
"""Requests per second and core from which more hosts become active: a third to a half
of what a core can serve."""
PEAK_SECONDS = 30.0
"""Time for which the highest load determines the number of active hosts."""
DEMOTE_SECONDS = 10.0
"""Time after which an active host that no host names stands by: twice as long as
callers cache addresses."""
RANK_SECONDS = 0.5
"""Delay between the hosts that become active because no active host is heard."""
MAX_CONTACTS = 6
"""Hosts to which a standby host sends heartbeats while it hears no active one."""
MAX_ADVERTISERS = 2
"""Active hosts of a domain that send heartbeats to its standby hosts."""


def rank_hosts(hosts):
    """Return hosts sorted for the rotation, the largest first.

    Parameters
    ----------
    hosts : iterable of HostProfile or Heartbeat
        Entry hosts of one failure domain.
    """
    return sorted(hosts, key=lambda each: (-each.cores, each.host))


def choose_active(hosts, *, cores=MIN_ACTIVE_CORES):
    """Return the names of the hosts of a domain that serve callers.

    Parameters
    ----------
    hosts : iterable of HostProfile or Heartbeat
        Available entry hosts of the domain.
    cores : float, optional
        Processor cores that the load needs.
    """
    chosen = []
    total = 0.0
    for each in rank_hosts(hosts):
        if len(chosen) >= MIN_ACTIVE_HOSTS and total >= cores:
            break
        chosen.append(each.host)
        total += each.cores
    return chosen


def is_small(membership):
    """Return whether the fleet is so small that all its entry hosts are active."""
    return membership.count_entry_hosts() <= SMALL_FLEET_HOSTS


def choose_registered(membership, domain):
    """Return the hosts of a domain that serve callers if all registered hosts run."""
    profiles = membership.list_registered(domain)
    if is_small(membership):
        return [each.host for each in profiles]
    return choose_active(profiles)


def list_expected(membership):
    """Return the hosts of all domains that serve callers if all registered hosts run.

    They get heartbeats also while they are silent, so that hosts that were cut off
    from each other, or started at the same time, find each other.
    """
    domains = {each.failure_domain for each in membership.profiles.values()}
    return [
        host
        for domain in sorted(domains)
        for host in choose_registered(membership, domain)
    ]


class PeakLoad:
    """Cores that the load of a domain needs: quick to grow, slow to shrink."""

    def __init__(self):
        self._cores = MIN_ACTIVE_CORES
        self._peak_at = float("-inf")

    def update(self, call_rate, now):
        """Return the cores needed for a domain that serves `call_rate` per second."""
        cores = max(MIN_ACTIVE_CORES, call_rate / CALLS_PER_CORE)
        if cores >= self._cores or now - self._peak_at > PEAK_SECONDS:
            self._cores = cores
            self._peak_at = now
        return self._cores


class Rotation:
    """Decides whether this host is active, and which others of its domain are.

    Parameters
    ----------
    profile : HostProfile
        This host.
    membership : Membership
        The other hosts.
    now : float
        Monotonic seconds at which the process started.

    Attributes
    ----------
    active : bool
        Whether this host serves callers.
    activation : int
        How often it has become active.
    names : list of str
        Hosts of its domain that are to be active, as it sees the domain.
    outgoing : list of str
        Active hosts of its domain that are to stand by.
    """

    def __init__(self, profile, membership, now):
        self._profile = profile
        self._membership = membership
        self._peak = PeakLoad()
        self._started_at = now
        self._heard_at = now
        self._named_at = now
        self.active = False
        self.activation = 0
        self.names = []
        self.outgoing = []
        membership.active = False
        membership.own = profile

    @property
    def _domain(self):
        return self._profile.failure_domain

    def update(self, now, *, call_rate=0.0, leaving=False, registered=True):
        """Decide anew; call this before each heartbeat.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        call_rate : float, optional
            Requests per second that this host serves.
        leaving : bool, optional
            This host is about to stop.
        registered : bool, optional
            The registered hosts have been read.
        """
        others = self._list_active_others(now)
        if others:
            hosts = [self._membership.find(each.host) for each in others]
            self._heard_at = max(member.heard_at for member in hosts)
        self.names = self._plan(others, call_rate, leaving, now)
        self.outgoing = [
            each.host for each in others if self.active and each.host not in self.names
        ]
        named = self._profile.host in self.names or self.is_named(now)
        if named:
            self._named_at = now
        may_start = not leaving and self._may_start(others, named, registered, now)
        if not self.active and may_start:
            self._switch(True, others)
        elif self.active and others and now - self._named_at > DEMOTE_SECONDS:
            self._switch(False, others)

    def advertises(self, now):
        """Return whether this host sends heartbeats to its domain's standby hosts."""
        if not self.active:
            return False
        active = rank_hosts([self._profile, *self._list_active_others(now)])
        return self._profile in active[:MAX_ADVERTISERS]

    def is_named(self, now):
        """Return whether an active host of the domain wants this host to be active."""
        others = self._list_active_others(now)
        return any(self._profile.host in each.rotation for each in others)

    def leads(self, now):
        """Return whether this host is the first active one of its domain."""
        if not self.active:
            return False
        active = rank_hosts([self._profile, *self._list_active_others(now)])
        return active[0] == self._profile

    def list_contacts(self, now):
        """Return the hosts to which this host sends heartbeats while it stands by."""
        others = rank_hosts(self._list_active_others(now))
        if others:
            return [each.host for each in others[:MAX_ADVERTISERS]]
        ranked = rank_hosts(self._membership.list_registered(self._domain))
        return [*self._choose_registered(), *(h.host for h in ranked[:MAX_CONTACTS])]

    def _choose_registered(self):
        return choose_registered(self._membership, self._domain)

    def _list_active_others(self, now):
        known = self._membership.list_known(ENTRY, domain=self._domain)
        return [
            member.heartbeat
            for member in known
            if member.heartbeat.active and self._membership.is_live(member, now)
        ]

    def _plan(self, others, call_rate, leaving, now):
        """Return the hosts that are to be active, as this host sees the domain.

        Right after the start, hosts that were not heard yet count as live.
        """
        if not self.active:
            return []
        members = self._membership.list_known(ENTRY, domain=self._domain)
        hosts = [
            member.heartbeat
            for member in members
            if not member.heartbeat.leaving and self._membership.is_live(member, now)
        ]
        if not leaving:
            hosts.append(self._profile)
        if now - self._started_at < STANDBY_SILENCE_SECONDS:
            heard = {member.heartbeat.host for member in members}
            registered = self._membership.list_registered(self._domain)
            own = self._profile.host
            hosts += [p for p in registered if p.host not in heard and p.host != own]
        if is_small(self._membership):
            return [each.host for each in hosts]
        load = call_rate + sum(each.call_rate for each in others)
        return choose_active(hosts, cores=self._peak.update(load, now))

    def _may_start(self, others, named, registered, now):
        """Return whether a standby host becomes active."""
        if named or (registered and is_small(self._membership)):
            return True
        if registered and self._profile.host in self._choose_registered():
            return True
        if others or not registered:
            return False
        ranked = rank_hosts(self._membership.list_registered(self._domain))
        delay = STANDBY_SILENCE_SECONDS + RANK_SECONDS * ranked.index(self._profile)
        return now - self._heard_at > delay

    def _switch(self, active, others):
        self.active = self._membership.active = active
        self.activation += active
        logger.info(
            "active" if active else "standing by",
            extra={
                "decision": "rotation",
                "active": active,
                "others": [each.host for each in others],
            },
        )
