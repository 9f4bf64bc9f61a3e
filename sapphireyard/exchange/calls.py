"""Requests as the core sees them, whichever interface took them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field


@dataclass
class ProgramCall:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Drawn by the caller for each attempt.
    method, target, host : str
        Method, request target as it came, and host name.
    key : str
        The caller's key; empty without one.
    arrived_at : float
        Monotonic seconds.
    timeout : float or None
        How long the caller waits; None when it did not say.
    program, session : str
        Program and line of turns that the request belongs to; may be empty.
    program_timeout : float or None
        Time in which the program should be finished.
    token_budget : int or None
        Tokens that all turns of the program may generate.
    prompt_tokens, output_tokens : int
        Size of the prompt and most tokens generated.
    previous_turn : str
        Turn that this one continues; empty at the start of a chain.
    headers : tuple of (bytes, bytes)
        Headers to pass on to an upstream.
    read_body : callable
        ``await read_body(limit)`` returns the body.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    arrived_at: float
    timeout: float | None = None
    program: str = ""
    session: str = ""
    program_timeout: float | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    previous_turn: str = ""
    headers: tuple = ()
    read_body: object = None

    @property
    def path(self):
        """str: The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class Upstream:
    """One upstream as the platform lists it.

    Parameters
    ----------
    name : str
        Identity of this run of it.
    service : str
        What it is.
    address : str
        IP:PORT.
    failure_domain : str
        Where it stands.
    slots : int
        Requests that it runs at once.
    leaving : bool
        It is to get nothing new.
    started_at : float
        Tells one run of it from the next.
    """

    name: str
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 1
    leaving: bool = False
    started_at: float = 0.0


@dataclass
class Dispatch:
    """One request on its way to an upstream.

    Parameters
    ----------
    call : ProgramCall
        What the caller sent.
    upstream : Upstream
        Where it goes.
    customer : str
        Name of the customer; empty on public routes.
    body : bytes
        What the upstream is to receive.
    timeout : float
        Time that is left.
    """

    call: ProgramCall
    upstream: Upstream
    customer: str
    body: bytes
    timeout: float


@dataclass
class UpstreamAnswer:
    """The beginning of an upstream's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers to pass on.
    refused : bool
        The upstream says that it has not run the request and will not.
    signed : bool
        The answer bears the upstream's signature.
    chunks : async iterator of bytes
        The body; raises `UpstreamFailed` when it ends early.
    """

    status: int
    headers: tuple = ()
    refused: bool = False
    signed: bool = False
    chunks: object = field(default=None, repr=False)


class UpstreamSender(ABC):
    """Sends requests to upstreams in the site's own form."""

    @abstractmethod
    def send(self, dispatch):
        """Return an async context manager that gives an `UpstreamAnswer`.

        Raises
        ------
        UpstreamFailed
            No answer; ``sent`` tells whether it may have run.
        """

    @abstractmethod
    async def is_listening(self, upstream):
        """Return False when an upstream refuses connections.

        Silence is no refusal: the network may be at fault.
        """


class Reply(ABC):
    """The way back to a caller."""

    @property
    @abstractmethod
    def started(self):
        """bool: Whether the caller has got a status."""

    @abstractmethod
    async def send_complete(self, status, headers, body):
        """Send an answer that is complete."""

    @abstractmethod
    async def start(self, status, headers):
        """Begin an answer whose body comes in parts."""

    @abstractmethod
    async def write(self, chunk):
        """Send a part of the body."""

    @abstractmethod
    async def finish(self):
        """End the body, so that the answer is complete."""

    @abstractmethod
    async def refuse(self, error):
        """Send the answer for a `CallError`."""

    @abstractmethod
    def abort(self):
        """Break the connection off, so that the answer does not look complete."""
