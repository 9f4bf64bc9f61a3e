"""Requests, upstreams and replies, independent of the callers' interface."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from sapphireyard.answers import BodyEnd
from sapphireyard.exceptions import CallError, HistoryLost


async def _keep_uncounted(size):
    """Keep bytes for a request that no caller waits for."""


@dataclass
class ProgramCall:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Identifies one attempt; chosen by the caller.
    method, target, host : str
        Method, request target as received, and host name.
    key : str
        The caller's key; empty if there is none.
    arrived_at : float
        Arrival time in monotonic seconds.
    timeout : float or None
        Seconds that the caller waits; None if not given.
    program, session : str
        Program that the request belongs to, and the sequence of turns within it;
        empty if there is none.
    program_timeout : float or None
        Seconds in which the program should finish.
    token_budget : int or None
        Maximum number of tokens that all turns of the program generate.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and maximum number of generated tokens.
    expected_output_tokens : int
        The caller's estimate of the generated tokens; 0 if there is none.
    prompt_parts : tuple of (str, int)
        Id and tokens of each part of the prompt, in order; equal parts have equal ids.
    previous_turn : str
        Turn that this one continues; empty at the start of a chain.
    headers : tuple of (bytes, bytes)
        Headers to forward to an upstream.
    read_body : callable
        ``await read_body(limit)`` returns the body.
    keep : callable
        ``await keep(size)`` counts bytes that are kept for the request, fewer if
        negative; it waits for room.
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
    expected_output_tokens: int = 0
    prompt_parts: tuple = ()
    previous_turn: str = ""
    headers: tuple = ()
    read_body: object = None
    keep: object = _keep_uncounted

    @property
    def path(self):
        """str: The target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class Upstream:
    """An upstream as listed by the platform.

    Parameters
    ----------
    name : str
        Identity of the upstream.
    service : str
        Service that it provides.
    address : str
        IP:PORT.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Requests that it runs concurrently.
    leaving : bool
        It is being drained and gets no new requests.
    started_at : float
        Start time, which differs between two runs under the same name.
    cold_until : float
        Monotonic seconds of this host until which it is cold. Each entry tells it
        anew, so that it does not count when upstreams are compared.
    region : str
        Region of its failure domain; empty if that is unknown.
    """

    name: str
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 1
    leaving: bool = False
    started_at: float = 0.0
    cold_until: float = field(default=0.0, compare=False)
    region: str = ""


@dataclass
class Handover:
    """Whether an upstream may have got a request.

    Parameters
    ----------
    begun : bool
        Bytes of it may have been sent, perhaps by another host.
    abandoned : bool
        Its caller has left since: no further host may send it.
    """

    begun: bool = False
    abandoned: bool = False


@dataclass
class Dispatch:
    """A request to be sent to an upstream.

    Parameters
    ----------
    call : ProgramCall
        The caller's request.
    upstream : Upstream
        The upstream that runs it.
    customer : str
        Name of the customer; empty on public routes.
    body : bytes
        Body that the upstream receives, after `history` if there is one.
    timeout : float
        Seconds left until the request's deadline.
    regions : frozenset of str or None
        Regions that the request may be sent to; None without a limit.
    handover : Handover
        Shared by all copies; set by the sender.
    history : LongText or None
        Beginning of the body that is not kept in memory.
    """

    call: ProgramCall
    upstream: Upstream
    customer: str
    body: bytes
    timeout: float
    regions: frozenset | None = None
    handover: Handover = field(default_factory=Handover)
    history: object = None

    @property
    def size(self):
        """int: Bytes that the upstream receives."""
        return len(self.body) + (self.history.size if self.history else 0)

    async def stream(self):
        """Yield the history, and then the body.

        Raises
        ------
        HistoryLost
            The history cannot be read to its end.
        """
        try:
            async for window in self.history.stream():
                yield window
        except CallError as error:
            raise HistoryLost(f"history not read: {error}") from error
        yield self.body


@dataclass
class UpstreamAnswer:
    """The head of an upstream's answer, and its body as a stream.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers to forward.
    refused : bool
        The upstream states that it has not run the request and will not.
    signed : bool
        The answer carries the upstream's signature.
    leaving : bool
        The upstream states that it is leaving.
    rate : float or None
        Requests per second that the upstream takes from all hosts, infinity without a
        limit; None if the answer does not tell.
    relay : str
        Host through which the answer came; empty for this host's own connection.
    size : int
        Bytes of the body as the head states them; 0 if it does not.
    chunks : async iterator of bytes
        The body; raises `UpstreamFailed` if it ends early.
    end : BodyEnd
        How the body ended; complete once `chunks` has been read.
    """

    status: int
    headers: tuple = ()
    refused: bool = False
    signed: bool = False
    leaving: bool = False
    rate: float | None = None
    relay: str = ""
    size: int = 0
    chunks: object = field(default=None, repr=False)
    end: BodyEnd = field(default_factory=BodyEnd)


class UpstreamSender(ABC):
    """Sends requests to upstreams in the protocol of the deployment."""

    @abstractmethod
    def send(self, dispatch):
        """Return an async context manager that yields an `UpstreamAnswer`.

        Begins the handover of the dispatch before anything is sent: a request that may
        not be repeated is cancelled with its caller until then.

        Raises
        ------
        UpstreamFailed
            No answer; ``sent`` tells whether the request may have run.
        """

    @abstractmethod
    async def is_listening(self, upstream):
        """Return whether an upstream accepts connections; None if that is unknown.

        Silence does not count as a refusal: the network may be at fault.
        """


class DirectSender(UpstreamSender):
    """Sends requests over this host's own connections to upstreams."""

    @abstractmethod
    async def try_connect(self, upstream, *, timeout):
        """Open a connection and close it; see `sapphireyard.answers.try_connect`."""


class Reply(ABC):
    """Sends the answer to a caller."""

    @property
    @abstractmethod
    def started(self):
        """bool: Whether a status has been sent to the caller."""

    @property
    @abstractmethod
    def finished(self):
        """bool: Whether the answer is complete; its caller may not have read it."""

    @property
    def connected(self):
        """bool: Whether the caller's connection is open, as far as this host knows."""
        return True

    def note_admitted(self, admitted):
        """Record the `AdmittedRequest` that this answers."""

    @abstractmethod
    async def send_complete(self, status, headers, body):
        """Send a complete answer."""

    @abstractmethod
    async def start(self, status, headers):
        """Start an answer whose body is streamed."""

    @abstractmethod
    async def write(self, chunk):
        """Send a chunk of the body."""

    @abstractmethod
    async def finish(self):
        """End the body, which completes the answer."""

    @abstractmethod
    async def refuse(self, error):
        """Send the error answer for a `CallError`."""

    @abstractmethod
    def abort(self):
        """Abort the connection, so that the answer does not look complete."""
