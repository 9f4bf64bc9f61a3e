"""Which entry hosts callers are sent to."""

from dataclasses import dataclass
from statistics import median

MAX_PREFERRED_STORE_AGE_SECONDS = 2.8
"""Age of a host's own last answer from the store from which callers are sent to
other hosts first: beyond it the host may soon have to refuse them."""
SLOW_RATIO = 2.5
"""Effort against the median from which a host counts as slow: machines that are
disturbed run several times slower, while the same work varies by a half."""


@dataclass(frozen=True)
class Candidate:
    """An entry host that may be named to callers.

    Parameters
    ----------
    address : str
        IP:PORT for callers.
    ready : bool
        It serves requests with keys.
    leaving : bool
        It is about to stop.
    store_age : float
        Seconds since its own last answer from the store; negative for none.
    keeps_turns : bool, optional
        It hears enough copies of histories to serve turns.
    effort : float, optional
        Seconds that the host takes for a piece of work that is the same on all.
    """

    address: str
    ready: bool
    leaving: bool
    store_age: float
    keeps_turns: bool = True
    effort: float = 0.0

    @property
    def connected(self):
        """bool: Whether it had an answer from the store lately, and hears copies."""
        return (
            self.keeps_turns and 0 <= self.store_age < MAX_PREFERRED_STORE_AGE_SECONDS
        )


def choose_addresses(candidates):
    """Return the addresses to give to callers, of the best kind there is.

    Answers two load patterns. Callers that all ask again while the store is out:
    with no host ready, the ones that are alive are named, so that a caller gets an
    honest refusal with a time to come back rather than none. And single machines
    that are cut off from the store or from the copies, or run several times slower
    than the others: callers are kept off them.
    """
    staying = [each for each in candidates if not each.leaving and each.address]
    ready = [each for each in staying if each.ready]
    connected = [each for each in ready if each.connected]
    return [each.address for each in _drop_slow(connected or ready or staying)]


def _drop_slow(candidates):
    """Return the hosts that are not slow, as long as they are the most."""
    if not candidates:
        return []
    limit = SLOW_RATIO * median(each.effort for each in candidates)
    return [each for each in candidates if each.effort <= limit]
