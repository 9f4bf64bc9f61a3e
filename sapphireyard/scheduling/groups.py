"""Groups of a pool's upstreams, and the home host of each group."""

from dataclasses import dataclass

from sapphireyard._hashing import hash_text
from sapphireyard.ownership.assignment import ACTIVE
from sapphireyard.scheduling.scheduler import MAX_GROUP_SIZE

JUMP_MULTIPLIER = 2862933555777941757
"""Multiplier of the pseudo-random sequence in jump consistent hashing."""

HASH_SPAN = 1 << 64


@dataclass(frozen=True)
class Group:
    """A subset of the upstreams of a pool, scheduled by one home host.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Number of the group in the pool, from 0.
    upstreams : tuple
        Upstreams with name and address.
    """

    pool: str
    number: int
    upstreams: tuple

    @property
    def key(self):
        """str: Name of the group, unique in the fleet."""
        return f"{self.pool}/{self.number}"


def split_groups(pool, *, size=MAX_GROUP_SIZE):
    """Return the groups of a pool, the same on every host.

    Upstreams are assigned round-robin in the order of their hashes, so that
    the sizes of the groups differ by at most one.
    """
    upstreams = sorted(pool.upstreams, key=lambda upstream: hash_text(upstream.name))
    count = max(1, -(-len(upstreams) // size))
    return tuple(
        Group(pool.name, number, tuple(upstreams[number::count]))
        for number in range(count)
    )


def pick_group(groups, root):
    """Return the group that serves a root program and its sub-agents.

    Uses jump consistent hashing: a change of the number of groups moves few
    roots.
    """
    key = hash_text(root)
    number, following = 0, 0
    while following < len(groups):
        number = following
        key = (key * JUMP_MULTIPLIER + 1) % HASH_SPAN
        following = int((number + 1) * (1 << 31) / ((key >> 33) + 1))
    return groups[number]


def find_home(key, members):
    """Return the home host of a group among active members, or None.

    Parameters
    ----------
    key : str
        Key of the group.
    members : dict of str to Member
        Members by host.
    """
    hosts = [host for host, member in members.items() if member.state == ACTIVE]
    return max(hosts, key=lambda host: _score(key, host), default=None)


class HomeFinder:
    """Finds the homes of groups under the newest assignment, and caches them.

    Parameters
    ----------
    runtime : Runtime
        Its ``ownership.assignment`` lists the members.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        self._assignment = None
        self._homes = {}

    @property
    def members(self):
        """dict of str to Member: Members by host."""
        assignment = self._runtime.ownership.assignment
        return assignment.members if assignment else {}

    def find(self, key):
        """Return the home host of the group with this key, or None."""
        assignment = self._runtime.ownership.assignment
        if assignment is not self._assignment:
            self._assignment = assignment
            self._homes = {}
        if key not in self._homes:
            self._homes[key] = find_home(key, self.members)
        return self._homes[key]


def _score(key, host):
    return hash_text(f"{host}\0{key}"), host
