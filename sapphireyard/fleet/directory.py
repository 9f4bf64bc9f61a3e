"""Which entry hosts callers are sent to."""

from dataclasses import dataclass

PREFERRED_STORE_SECONDS = 2.8
"""Age of a host's own last answer from the store from which callers are sent to
other hosts first: beyond it the host may soon have to refuse them."""


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
    """

    address: str
    ready: bool
    leaving: bool
    store_age: float

    @property
    def in_touch(self):
        """bool: Whether it had an answer from the store lately."""
        return 0 <= self.store_age < PREFERRED_STORE_SECONDS


def choose_addresses(candidates):
    """Return the addresses to give to callers, of the best kind there is.

    Answers the load pattern of callers that all ask again while the store is
    out: with no host ready, the ones that are alive are named, so that a
    caller gets an honest refusal with a time to come back rather than none.
    """
    staying = [each for each in candidates if not each.leaving and each.address]
    ready = [each for each in staying if each.ready]
    preferred = [each for each in ready if each.in_touch]
    return [each.address for each in preferred or ready or staying]
