"""Order among the programs of one customer."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

FIRST_LEVEL_TOKENS = 4_000
"""Attained service below which a root program is on the first level."""

LEVEL_GROWTH = 4
"""Ratio of the bound of one level to that of the level before."""

MAX_ROOTS = 200_000
"""Maximum number of roots kept; the least recently used are dropped."""


class OrderKey(NamedTuple):
    """Sort key of a waiting request; the least goes first."""

    level: int
    root_start: float
    number: int


@dataclass
class _Root:
    start: float
    attained: float = 0.0


class ProgramOrder:
    """Least attained service first, by root program and in quantized levels.

    A root's service includes that of its sub-agents. Within one level the
    root that started first goes first, so that programs finish one after
    another rather than all at the same time.

    Parameters
    ----------
    first_level : float, optional
        Tokens of service below which a root is on level 0; 0 puts all roots
        on level 0, so that only their start decides.
    growth : float, optional
        Ratio of the bounds of successive levels.
    max_roots : int, optional
        Maximum number of roots kept.
    """

    def __init__(
        self,
        *,
        first_level=FIRST_LEVEL_TOKENS,
        growth=LEVEL_GROWTH,
        max_roots=MAX_ROOTS,
    ):
        self._first_level = first_level
        self._growth = growth
        self._max_roots = max_roots
        self._roots = OrderedDict()
        self._number = 0

    def key(self, request, now):
        """Return the key of a request that arrives at `now`."""
        self._number += 1
        entry = self._get_or_create(request.root, now)
        return OrderKey(self._level(entry.attained), entry.start, self._number)

    def add_service(self, root, tokens, now):
        """Add service to a root; negative to correct an earlier charge."""
        entry = self._get_or_create(root, now)
        entry.attained = max(0.0, entry.attained + tokens)

    def attained(self, root):
        """Return the attained service of a root in tokens."""
        entry = self._roots.get(root)
        return entry.attained if entry else 0.0

    def end(self, root):
        """Drop the state of an ended root."""
        self._roots.pop(root, None)

    def _get_or_create(self, root, now):
        entry = self._roots.get(root)
        if entry is None:
            entry = self._roots[root] = _Root(now)
            if len(self._roots) > self._max_roots:
                self._roots.popitem(last=False)
            return entry
        self._roots.move_to_end(root)
        return entry

    def _level(self, attained):
        level = 0
        bound = self._first_level
        while 0 < bound <= attained:
            level += 1
            bound *= self._growth
        return level
