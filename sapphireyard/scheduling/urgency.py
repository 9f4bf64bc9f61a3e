"""Order of waiting requests by what a delay of each costs its caller."""

from itertools import count
from typing import NamedTuple

import xxhash

SHARE_PROGRAMS = 4
"""One in so many programs of each lower priority is ordered like the highest, so that
none of them is left without service however much of a higher priority waits."""


class UrgencyKey(NamedTuple):
    """Sort key of a waiting request; the least goes first."""

    priority: int
    opens: bool
    aim_at: float
    number: int


class UrgencyOrder:
    """Orders requests by priority, work already spent on the program, and aim.

    Handles a surge in which not all programs can end in time. Priority decides first;
    then a program that has run before one that has not, as earlier work is lost with
    it; then the earliest aim. A fixed part of the programs of lower priority counts as
    the highest. It is chosen by name, so that all hosts choose the same ones and such
    a program is served in all its turns.

    Parameters
    ----------
    share_programs : int, optional
        One in so many programs is ordered like the highest priority.
    """

    def __init__(self, *, share_programs=SHARE_PROGRAMS):
        self._share_programs = share_programs
        self._numbers = count()

    def key(self, request, now):
        """Return the key of a request that arrives at `now`."""
        return UrgencyKey(
            self.rank(request),
            not request.started,
            request.aim_at or now,
            next(self._numbers),
        )

    def rank(self, request):
        """Return the priority by which a request is ordered; 0 is the highest."""
        digest = xxhash.xxh3_64_intdigest(request.root.encode())
        return 0 if digest % self._share_programs == 0 else request.priority

    def add_service(self, root, tokens, now):
        """Do nothing: service that a program has attained does not change its order."""

    def end(self, root):
        """Do nothing: no state is kept of programs."""
