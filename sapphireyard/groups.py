"""Groups of a pool's upstreams, and the home host of each group."""

from dataclasses import dataclass

from sapphireyard._hashing import hash_text
from sapphireyard.assignment import ACTIVE
from sapphireyard.scheduler import MAX_GROUP


@dataclass(frozen=True)
class Group:
    """Some upstreams of a pool that one home host schedules.

    Parameters
    ----------
    pool : str
        Name of the pool.
    number : int
        Number of the group in the pool, from 0.
    upstreams : tuple
        The upstreams, each with name and address.
    """

    pool: str
    number: int
    upstreams: tuple

    @property
    def key(self):
        """str: Name of the group in the fleet."""
        return f"{self.pool}/{self.number}"


def split_groups(pool, *, size=MAX_GROUP):
    """Return the groups of a pool, the same on every host.

    Upstreams are dealt out in the order of their hashes, so that the groups
    have nearly the same size.
    """
    upstreams = sorted(pool.upstreams, key=lambda upstream: hash_text(upstream.name))
    count = max(1, -(-len(upstreams) // size))
    return tuple(
        Group(pool.name, number, tuple(upstreams[number::count]))
        for number in range(count)
    )


def pick_group(groups, root):
    """Return the group that serves a root program and its sub-agents."""
    return max(groups, key=lambda group: _score(root, group.key))


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


def _score(key, candidate):
    return hash_text(f"{candidate}\0{key}"), candidate
