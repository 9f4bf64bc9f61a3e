"""What a scheduler would do with a request, without doing it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class UpstreamView:
    """An upstream as a scheduler sees it.

    Parameters
    ----------
    upstream : str
        Name.
    state : str
        ``up``, ``leaving`` or ``down``.
    running, running_elsewhere : int
        Requests of this host and of others.
    slots : int
        Requests that it takes at once.
    reserved_tokens, memory_tokens : int
        Tokens of its memory that requests have reserved, and all; 0 for plain services.
    kept_tokens : int
        Tokens of the request's prompt that it is expected to keep.
    grants : int or None
        Requests that its stated rate allows now; None without a limit.
    has_room : bool
        The request could start there now.
    """

    upstream: str
    state: str
    running: int
    running_elsewhere: int
    slots: int
    reserved_tokens: int
    memory_tokens: int
    kept_tokens: int
    grants: int | None
    has_room: bool


@dataclass(frozen=True)
class Preview:
    """What would happen to a request now.

    Parameters
    ----------
    action : Grant, Refuse or None
        None if it would wait.
    waiting : int
        Requests that wait for the service on this host.
    expected_wait : float
        Seconds that the customer's next request is expected to wait.
    upstreams : tuple of UpstreamView
        All upstreams of the service.
    """

    action: object
    waiting: int
    expected_wait: float
    upstreams: tuple = ()


def view_upstream(slots, request, *, kept_tokens):
    """Return the `UpstreamView` of the slots of one upstream for a request."""
    limits = slots.limits
    return UpstreamView(
        upstream=limits.name,
        state=slots.state.value,
        running=len(slots.running),
        running_elsewhere=slots.foreign_running,
        slots=slots.batch_limit,
        reserved_tokens=slots.reserved + slots.foreign_reserved,
        memory_tokens=limits.kv_tokens,
        kept_tokens=kept_tokens,
        grants=slots.grants,
        has_room=slots.fits(request.total_tokens),
    )
