"""Requests for slots, the actions of a scheduler, and its options."""

from dataclasses import dataclass

REASON_CACHED = "cached"
REASON_LEAST_LOADED = "least_loaded"
REASON_MOVED = "moved"
REASON_KEPT = "kept_parts"


@dataclass(frozen=True)
class SlotRequest:
    """A request for a slot of some upstream of a pool.

    Parameters
    ----------
    program, root : str
        The program, and the root program whose sub-agent it is; the same name
        for a root.
    customer, pool : str
        Customer of the request, and the pool it is for.
    prefix_tokens : int, optional
        Tokens of the program's history, which an upstream may hold already.
    new_tokens : int, optional
        Prompt tokens after the prefix.
    output_tokens : int, optional
        Expected number of generated tokens.
    deadline : float, optional
        Time until which a slot is useful, in monotonic seconds of the host
        that has the request; 0 for none.
    excluded : tuple of str, optional
        Upstreams to avoid while others are up.
    priority : int, optional
        Priority of the customer or route; 0 is the highest.
    aim_at : float, optional
        Monotonic seconds at which the program should be done, or a request without
        one; 0 if that is not known.
    started : bool, optional
        An earlier request of the program has run.
    prompt_parts : tuple of (str, int), optional
        Id and tokens of each part of the prompt, in order.
    expected_tokens : int, optional
        The caller's estimate of the generated tokens; 0 if there is none.
    regions : frozenset of str, optional
        Regions of the upstreams that may run it; None without a limit.
    request_id : str, optional
        Id that is unique in the fleet; the holder sets it.
    holder : str, optional
        Host that asks for the slot.
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
    priority: int = 0
    aim_at: float = 0.0
    started: bool = False
    prompt_parts: tuple[tuple[str, int], ...] = ()
    expected_tokens: int = 0
    regions: frozenset | None = None
    request_id: str = ""
    holder: str = ""

    @property
    def expected_output(self):
        """int: Tokens that it probably generates."""
        return self.expected_tokens or self.output_tokens

    @property
    def total_tokens(self):
        """int: Tokens of KV memory that the request needs when it ends."""
        return self.prefix_tokens + self.new_tokens + self.output_tokens

    def allows(self, region):
        """Return whether an upstream in a region may run the request."""
        return self.regions is None or region in self.regions


MESSAGE_FIELDS = (
    "program",
    "root",
    "customer",
    "prefix_tokens",
    "new_tokens",
    "output_tokens",
)
"""Fields of a `SlotRequest` that all messages about slots have."""


def copy_fields(source):
    """Return the fields that a request for a slot and a message about it share."""
    return {name: getattr(source, name) for name in MESSAGE_FIELDS}


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
        One of the ``REASON_`` constants.
    among : tuple of str
        Upstreams that were up.
    cached_tokens : int
        Prompt tokens expected in the upstream's cache.
    waited : float
        Seconds in the queue.
    kept_tokens : int
        Most prompt tokens that any upstream of `among` is expected to keep.
    """

    request: SlotRequest
    upstream: str
    reason: str
    among: tuple[str, ...]
    cached_tokens: int = 0
    waited: float = 0.0
    kept_tokens: int = 0


@dataclass(frozen=True)
class Refuse:
    """A request is refused and was not run; a retry may succeed later.

    Parameters
    ----------
    request : SlotRequest
        The request.
    retry_after : float
        Seconds after which it may be served.
    ahead : int, optional
        Waiting requests that go before it.
    """

    request: SlotRequest
    retry_after: float
    ahead: int = 0


@dataclass(frozen=True)
class Release:
    """`upstream` may free the memory of a program that ended or moved away."""

    upstream: str
    program: str


@dataclass(frozen=True)
class SchedulerOptions:
    """Switches and weights of a scheduler.

    Parameters
    ----------
    fair : bool, optional
        Whether customers get fair shares; otherwise all count as one.
    first_level : float, optional
        Bound of the first level of least attained service, in tokens; 0 to
        order by the start of the program alone.
    cache_affinity : bool, optional
        Whether requests prefer the upstream that holds their prefix.
    aging_seconds : float, optional
        Wait after which requests of a customer are ordered by arrival.
    aging_backlog : float, optional
        Expected wait in seconds of a customer above which its requests do not
        age: not all can be served in time, so programs that have started
        continue first.
    hold_new : bool, optional
        Whether a request without a prefix waits rather than evict fresh
        prefixes of others, unless its customer uses less than its share of
        the memory.
    hold_fill : float, optional
        Fraction of the slots or memory in use below which no request is held.
    hold_seconds : float, optional
        Maximum time for which a request is held.
    keep_seconds : float, optional
        Idle time after which the memory of a prefix counts as free.
    move : bool, optional
        Whether requests may leave the holder of their prefix while it is full.
    refuse : bool, optional
        Whether requests that cannot meet their deadline are refused at once.
    urgency : bool, optional
        Whether priority and aim order the requests of all customers, rather than the
        service that programs have attained; to be used without fair shares.
    tie_seed : str, optional
        Seed of the order among equally loaded upstreams; empty to order them
        by name.
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
    urgency: bool = False
    tie_seed: str = ""
