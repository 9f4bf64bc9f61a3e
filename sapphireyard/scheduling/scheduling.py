"""Requests for slots, the actions of a scheduler, and its options."""

from dataclasses import dataclass

REASON_CACHED = "cached"
REASON_LEAST_LOADED = "least_loaded"
REASON_MOVED = "moved"


@dataclass(frozen=True)
class SlotRequest:
    """A wish to send one request to some upstream of a pool.

    Parameters
    ----------
    program, root : str
        Program and the root that it is a sub-agent of; the same for a root.
    customer, pool : str
        Whose request it is, and for which pool.
    prefix_tokens : int, optional
        History of the program, which an upstream may hold already.
    new_tokens : int, optional
        Prompt tokens that are new.
    output_tokens : int, optional
        Tokens expected to be generated.
    deadline : float, optional
        Monotonic seconds of the host that has the request, until which a
        slot is useful; 0 for no bound.
    excluded : tuple of str, optional
        Upstreams to avoid while there are others.
    request_id : str, optional
        Unique in the fleet; the holder sets it.
    holder : str, optional
        Host that asks.
    """

    program: str
    root: str
    customer: str
    pool: str
    prefix_tokens: int = 0
    new_tokens: int = 0
    output_tokens: int = 1
    deadline: float = 0.0
    excluded: tuple[str, ...] = ()
    request_id: str = ""
    holder: str = ""

    @property
    def total_tokens(self):
        """int: KV memory that the request needs in the end."""
        return self.prefix_tokens + self.new_tokens + self.output_tokens


@dataclass(frozen=True)
class Grant:
    """A request may be sent to `upstream`.

    Parameters
    ----------
    request : SlotRequest
        The request.
    upstream : str
        Chosen upstream.
    reason : str
        Why: one of the ``REASON_`` constants.
    among : tuple of str
        Upstreams that were up.
    cached_tokens : int
        Prefix expected to be there.
    waited : float
        Seconds in the queue.
    """

    request: SlotRequest
    upstream: str
    reason: str
    among: tuple[str, ...]
    cached_tokens: int = 0
    waited: float = 0.0


@dataclass(frozen=True)
class Refuse:
    """A request is refused, and was not run; a repeat may do later."""

    request: SlotRequest
    retry_after: float


@dataclass(frozen=True)
class Release:
    """`upstream` may free the memory of an ended program."""

    upstream: str
    program: str


@dataclass(frozen=True)
class SchedulerOptions:
    """Switches and weights of a scheduler.

    Parameters
    ----------
    fair : bool, optional
        Whether customers get fair shares; else all count as one.
    first_level : float, optional
        Bound of the first level of least attained service, in tokens; 0 to
        go by the start of the program alone.
    cache_affinity : bool, optional
        Whether requests prefer the upstream that holds their prefix.
    aging_seconds : float, optional
        Wait after which requests of a customer go by arrival.
    aging_backlog : float, optional
        Expected wait in seconds of a customer above which its requests do not
        age: not all can be served in time, so programs that started go on.
    hold_new : bool, optional
        Whether a request without a prefix waits rather than push out the
        fresh prefixes of others, unless its customer holds less than its
        share of the memory.
    hold_fill : float, optional
        Share of the slots or memory in use below which nothing waits so.
    hold_seconds : float, optional
        Longest such wait.
    keep_seconds : float, optional
        Pause after which the memory of a prefix counts as free.
    move : bool, optional
        Whether requests may leave the holder of their prefix while it is full.
    refuse : bool, optional
        Whether requests that cannot make their deadline are refused at once.
    tie_seed : str, optional
        Name by which this scheduler orders upstreams that are equally loaded;
        empty for their own order.
    """

    fair: bool = True
    first_level: float = 4_000.0
    cache_affinity: bool = True
    aging_seconds: float = 30.0
    aging_backlog: float = float("inf")
    hold_new: bool = True
    hold_fill: float = 0.25
    hold_seconds: float = 120.0
    keep_seconds: float = 72.0
    move: bool = True
    refuse: bool = True
    tie_seed: str = ""
