"""What is known of one call while its owner carries it out."""

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
    """One call under way on its owner.

    Parameters
    ----------
    run : Run
        Where its callers read the answer.
    program : Program
        The program; not in `Programs` when the call has none.
    partition : int or None
        Partition of the program; None when nothing of it is kept.
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
        Whether a token of the customer's rate was taken.
    reserved : bool
        Whether a reservation stands in the program's state.
    journalled : bool
        Whether the reservation may stand in the journal.
    sent : bool
        Whether an upstream may have received the call.
    cancel_error : CallError or None
        What callers get when the call is stopped.
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
        """str: What is known about an upstream having run the call."""
        return EXECUTED_UNKNOWN if self.sent else EXECUTED_NO

    @cached_property
    def content_digest(self):
        """str: Digest of all that an upstream is sent, history included.

        Short bodies are the same in many programs, so the body alone would not
        tell the program that crashes upstreams from the others.
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
        """bool: Whether the call is part of a durable program."""
        return self.partition is not None

    def make_loss_error(self):
        """Return the error for a call whose program moved or that was stopped."""
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
        """Return the error for a fault of this host."""
        return CallError("internal_error", "internal error", executed=self.executed)


@dataclass(frozen=True)
class UpstreamAnswer:
    """An upstream's whole answer.

    Parameters
    ----------
    status : int
        HTTP status, below 500.
    body : str
        JSON text.
    tokens : int
        Tokens used; negative when the upstream didn't say.
    last_chunks : tuple of str
        Events that tell a streaming caller that the answer is complete; they
        wait until it is journalled.
    """

    status: int
    body: str
    tokens: int = -1
    last_chunks: tuple = ()
