"""A request on its way from its admission to its end."""

from dataclasses import dataclass, field
from functools import cached_property

from sapphireyard.answers import BodyEnd
from sapphireyard.exchange.calls import Handover
from sapphireyard.exchange.events import EventReader
from sapphireyard.exchange.routes import Customer, Route
from sapphireyard.fleet.crashes import digest_request


@dataclass
class AdmittedRequest:
    """A request that may run.

    Parameters
    ----------
    call : ProgramCall
        The caller's request.
    route : Route
        Route that it matches.
    customer : Customer
        Customer that sent it.
    service : str
        Service that runs it.
    deadline : float
        Monotonic seconds by which it must be answered.
    tokens_per_event : int
        Tokens that each event of its answer counts, as configured when it was admitted.
    sends : int
        Number of times that it was sent to an upstream.
    sent_at : float
        Monotonic seconds at which it was sent last.
    upstream : str
        Upstream chosen last.
    relay : str
        Host through which the last answer came; empty for a connection of this host.
    answered : bool
        The upstream chosen last has begun to answer, with an event if it streams.
    may_have_run : bool
        An upstream may have run it, even if a later one refuses it.
    handover : Handover or None
        Whether the upstream chosen last may have got it; None once that has answered,
        refused it or failed.
    abandoned : bool
        Its caller has left.
    body : bytes
        Body sent by the caller.
    end : BodyEnd
        How the body of the last answer ended.
    reader : EventReader or None
        Events of the answer to a turn.
    marks : dict of str to float
        Milliseconds from the arrival to the end of each step, for the log.
    token_host : str
        Host that counted it against the customer's rate; empty for this host.
    rate_state : dict
        State of the customer's rate at the last decision on it, for the log.
    placed : dict
        Why the last upstream was chosen, for the log.
    """

    call: object
    route: Route
    customer: Customer
    service: str
    deadline: float
    tokens_per_event: int = 1
    sends: int = 0
    sent_at: float = 0.0
    upstream: str = ""
    relay: str = ""
    answered: bool = False
    may_have_run: bool = False
    handover: Handover | None = None
    abandoned: bool = False
    body: bytes = b""
    end: BodyEnd = field(default_factory=BodyEnd)
    reader: EventReader | None = None
    marks: dict = field(default_factory=dict)
    token_host: str = ""
    rate_state: dict = field(default_factory=dict)
    placed: dict = field(default_factory=dict)

    @property
    def in_flight(self):
        """bool: Whether an upstream may have it and has neither answered nor failed."""
        return self.handover is not None and self.handover.begun

    @property
    def time_limit(self):
        """float: Seconds from the arrival to the deadline."""
        return self.deadline - self.call.arrived_at

    def mark(self, step, now):
        """Record that a step of the request ended."""
        self.marks[f"{step}_ms"] = round((now - self.call.arrived_at) * 1000, 1)

    def describe_end(self):
        """Return how the last answer ended, as fields of a log line."""
        if not self.end.framing:
            return {}
        fields = {"framing": self.end.framing, "ending": self.end.outcome}
        if self.reader is not None:
            fields["events"] = self.reader.events
            fields["trailing_bytes"] = self.reader.trailing_bytes
        return fields

    @property
    def priority(self):
        """int: Priority of the request; 0 is the highest."""
        if self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def regions(self):
        """frozenset of str or None: Regions that it may be sent to; None for all."""
        limits = [each for each in (self.route.regions, self.customer.regions) if each]
        return frozenset.intersection(*limits) if limits else None

    @cached_property
    def digest(self):
        """str: Equal for all repeats of the request; needs the body."""
        turn = self.call.previous_turn if self.route.retention is not None else ""
        return digest_request(
            self.customer.name, self.call.path, self.body, previous_turn=turn
        )

    @property
    def aim_at(self):
        """float: Monotonic seconds at which the program, or else this, should end."""
        seconds = self.call.program_timeout
        if seconds is None:
            seconds = self.route.target_latency
        return self.call.arrived_at + seconds

    @property
    def continues_program(self):
        """bool: Whether an earlier request of the program has run."""
        return bool(self.call.program) and not self.opens_program

    @property
    def opens_program(self):
        """bool: Whether no earlier request of the program has run."""
        return self.route.retention is not None and not self.call.previous_turn
