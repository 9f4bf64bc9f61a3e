"""Calls of a program: their state, and the rules by which they are admitted.

`admit` decides how to handle an incoming call and has no side effects.
"""

import enum
from dataclasses import dataclass, field

from sapphireyard.exceptions import EXECUTED_UNKNOWN, CallError
from sapphireyard.journal.generated_records import CallSource

CALL_RESERVED = "reserved"
CALL_COMPLETED = "completed"
CALL_UNKNOWN = "unknown"
HTTP_OK = 200

GAP_RETRY_SECONDS = 1.0
TAIL_RETRY_SECONDS = 5.0


@dataclass(slots=True)
class Call:
    """The durable state of one call of a program.

    Parameters
    ----------
    sequence : int
        Position in the program, from 1.
    state : str
        ``reserved``, ``completed`` or ``unknown``.
    digest : str
        Digest of the request's content.
    route : str
        Name of the route.
    repeatable : bool
        Whether the call may be executed more than once.
    tokens : int
        Tokens reserved or, once completed, used.
    status : int
        HTTP status of the answer, 0 while there is none.
    request, answer : str
        JSON texts, empty until there is an answer or while unloaded.
    idempotency_key : str
        The caller's key; may be empty.
    is_model : bool
        Whether a model engine serves the route.
    source : CallSource or None
        Position of request and answer in a journal.
    turn_text : str
        The turn's messages as sent to engines; built on first use.
    """

    sequence: int
    state: str
    digest: str
    route: str
    repeatable: bool = False
    tokens: int = 0
    status: int = 0
    request: str = ""
    answer: str = ""
    idempotency_key: str = ""
    is_model: bool = False
    source: CallSource | None = None
    turn_text: str = field(default="", compare=False, repr=False)

    @property
    def is_loaded(self):
        """bool: Whether the call has no texts or they are in memory."""
        return self.state != CALL_COMPLETED or bool(self.answer)

    @property
    def text_bytes(self):
        """int: Size of the texts in memory, counted in characters."""
        return len(self.request) + len(self.answer) + len(self.turn_text)

    def unload(self):
        """Drop the texts from memory; they can be read back from `source`."""
        assert self.source is not None, f"call {self.sequence} is not journalled"
        self.request = self.answer = self.turn_text = ""

    @property
    def is_model_turn(self):
        """bool: Whether the call is a turn of the conversation."""
        return self.is_model and self.status == HTTP_OK


class Admission(enum.Enum):
    """How to handle an incoming call."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    WAIT = "wait"


@dataclass(frozen=True)
class Decision:
    """An admission and the sequence that it applies to."""

    admission: Admission
    sequence: int


def admit(program, *, sequence, digest, idempotency_key):
    """Decide how to handle an incoming call.

    Parameters
    ----------
    program : Program
        The program it belongs to.
    sequence : int
        The caller's number; 0 for the next one.
    digest : str
        Digest of the content.
    idempotency_key : str
        The caller's key; may be empty.

    Returns
    -------
    Decision

    Raises
    ------
    CallError
        The call conflicts with an earlier one or has an unknown outcome, or
        the program has ended.
    """
    existing = (
        program.sequences_by_key.get(idempotency_key) if idempotency_key else None
    )
    if existing is not None:
        return _decide_repeat(program, existing, digest)
    if sequence in program.calls:
        return _decide_repeat(program, sequence, digest)
    if program.ended:
        raise CallError("program_ended", f"the program ended: {program.ended}")
    expected = program.next_sequence
    if program.running is not None:
        return Decision(Admission.WAIT, sequence)
    if sequence > expected:
        return Decision(Admission.WAIT, sequence)
    return Decision(Admission.RUN, expected)


def _decide_repeat(program, sequence, digest):
    call = program.calls[sequence]
    if call.digest != digest:
        raise CallError(
            "sequence_conflict",
            f"sequence {sequence} was issued with different content",
        )
    if call.state == CALL_COMPLETED:
        return Decision(Admission.REPLAY, sequence)
    if call.state == CALL_UNKNOWN:
        raise CallError(
            "outcome_unknown",
            f"sequence {sequence} may have run and must not be repeated",
            executed=EXECUTED_UNKNOWN,
        )
    return Decision(Admission.JOIN, sequence)


def make_gap_error(program, sequence):
    """Return the error for a call whose predecessors have not arrived."""
    if program.tail_uncertain:
        return CallError(
            "history_unavailable",
            "the program's last calls cannot be read yet",
            retry_after=TAIL_RETRY_SECONDS,
        )
    return CallError(
        "sequence_gap",
        f"sequence {sequence} was issued, {program.next_sequence} is next",
        retry_after=GAP_RETRY_SECONDS,
    )
