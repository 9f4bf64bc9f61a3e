"""The state of one call while its owner executes it."""

from dataclasses import dataclass
from functools import cached_property

from sapphireyard.configuration.tables import Route
from sapphireyard.exceptions import EXECUTED_NO, EXECUTED_UNKNOWN, CallError
from sapphireyard.programs.programs import Program
from sapphireyard.programs.runs import Run
from sapphireyard.streams.generated_messages import ForwardCall
from sapphireyard.upstreams.suspicion import digest_chain

LOSS_RETRY_SECONDS = 1.0


@dataclass
class Execution:
    """One call in progress on the owner of its program.

    Parameters
    ----------
    run : Run
        The run from which its callers read the answer.
    program : Program
        The program. A call without a program gets an empty one that is not in
        `Programs`.
    partition : int or None
        Partition of the program. None for a call without a program; nothing of
        such a call is stored.
    call : ForwardCall
        The request.
    body : dict
        The request's parsed JSON body.
    route : Route
        The route it was sent to.
    deadline : float
        Monotonic seconds.

    Attributes
    ----------
    rate_acquired : bool
        Whether a token was taken from the customer's rate limit.
    reserved : bool
        Whether the program's state holds a reservation of the call.
    journalled : bool
        Whether the journal may hold the reservation.
    sent : bool
        Whether an upstream may have received the call.
    cancel_error : CallError or None
        The error that callers get when the call is cancelled.
    """

    run: Run
    program: Program
    partition: int | None
    call: ForwardCall
    body: dict
    route: Route
    deadline: float
    rate_acquired: bool = False
    reserved: bool = False
    journalled: bool = False
    sent: bool = False
    cancel_error: CallError | None = None

    @property
    def executed(self):
        """str: Whether an upstream may have executed the call."""
        return EXECUTED_UNKNOWN if self.sent else EXECUTED_NO

    @cached_property
    def content_digest(self):
        """str: Digest of everything sent to an upstream, history included.

        Many programs send the same short bodies, so the body alone would not
        distinguish the program that crashes upstreams from the others.
        """
        if self.route.kind != "model":
            return self.run.digest
        earlier = [
            call.digest
            for sequence, call in self.program.calls.items()
            if call.is_model_turn and sequence < self.run.sequence
        ]
        return digest_chain([*earlier, self.run.digest])

    @property
    def is_durable(self):
        """bool: Whether the call belongs to a program, which is stored."""
        return self.partition is not None

    def make_loss_error(self):
        """Return the error for a call that was cancelled or whose program moved."""
        if self.cancel_error is not None:
            return self.cancel_error
        if self.sent:
            return CallError(
                "outcome_unknown",
                "the host lost the program while the call ran; repeat its sequence",
                executed=EXECUTED_UNKNOWN,
                retry_after=LOSS_RETRY_SECONDS,
            )
        return CallError(
            "draining", "the program moved to another host", retry_after=0.0
        )

    def make_internal_error(self):
        """Return the error for an unexpected exception on this host."""
        return CallError("internal_error", "internal error", executed=self.executed)


@dataclass(frozen=True)
class UpstreamAnswer:
    """An upstream's complete answer.

    Parameters
    ----------
    status : int
        HTTP status, below 500.
    body : str
        JSON text.
    tokens : int
        Tokens used; negative when the upstream did not report them.
    last_chunks : tuple of str
        Events that tell a streaming caller that the answer is complete; they
        are held back until it is journalled.
    """

    status: int
    body: str
    tokens: int = -1
    last_chunks: tuple = ()
