"""The way of calls and queries to the owner of their program."""

import asyncio
import contextlib
import itertools
import logging

from sapphireyard.exceptions import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    CallError,
    PeerUnavailable,
)
from sapphireyard.streams.generated_messages import ProgramElsewhere

logger = logging.getLogger(__name__)

REROUTE_DELAY_SECONDS = 0.05
"""Pause before a call is sent to a new owner."""

MAX_IMMEDIATE_HOPS = 8
"""Most times a call follows a moved program without a pause."""

NOT_OWNER = "not_owner"


class Forwarder:
    """Sends calls to the owner of their program, also while owners change.

    Parameters
    ----------
    yard : Yard
        The process this belongs to.
    """

    def __init__(self, yard):
        self._yard = yard

    async def forward(self, call, deadline):
        """Yield the messages of a call's answer, from whoever owns it.

        A call of a program has an idempotency key, so it can be sent again
        when an owner was lost before the answer began.

        Parameters
        ----------
        call : ForwardCall
            The call; its root is changed when the program lives elsewhere.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        CallError
            The call was refused or failed.
        """
        sent = False
        for hop in itertools.count():
            seconds_left = deadline - self._yard.clock.monotonic()
            if seconds_left <= 0:
                raise self._build_deadline_error(sent)
            attempt = _Attempt()
            messages = self._stream_from_owner(call, seconds_left, attempt)
            async with contextlib.aclosing(messages):
                async for message in messages:
                    yield message
            if attempt.finished:
                return
            sent = sent or attempt.sent
            call.hops = hop + 1
            if not attempt.new_root or hop >= MAX_IMMEDIATE_HOPS:
                await asyncio.sleep(REROUTE_DELAY_SECONDS)
            call.root = attempt.new_root or call.root

    async def _stream_from_owner(self, call, seconds_left, attempt):
        """Yield what the owner answers; note in `attempt` how it ended."""
        owner = self._find_owner(call)
        self._record_forwarding(call, owner)
        call.deadline_seconds = seconds_left
        answers = self._yard.peers.stream(owner, call, timeout=seconds_left)
        try:
            async with contextlib.aclosing(answers):
                async for message in answers:
                    if isinstance(message, ProgramElsewhere):
                        attempt.new_root = message.root
                        return
                    attempt.started = True
                    yield message
            attempt.finished = True
        except CallError as error:
            if error.code != NOT_OWNER:
                raise
        except PeerUnavailable as error:
            attempt.sent = error.sent
            if attempt.started or (error.sent and not call.program):
                raise CallError(
                    "outcome_unknown",
                    "the owner was lost while the call ran; repeat its sequence",
                    executed=EXECUTED_UNKNOWN,
                    retry_after=1,
                ) from error

    def _build_deadline_error(self, sent):
        return CallError(
            "deadline_exceeded",
            "no answer before the deadline",
            executed=EXECUTED_UNKNOWN if sent else EXECUTED_NO,
        )

    def _find_owner(self, call):
        if not call.program:
            return self._yard.host
        return self._yard.ownership.locate(call.root).host

    def _record_forwarding(self, call, owner):
        if owner == self._yard.host:
            return
        self._yard.metrics.count("forwarded")
        logger.info(
            "call forwarded",
            extra={
                "decision": "forward",
                "program": f"{call.customer}/{call.program}",
                "sequence": call.sequence,
                "owner": owner,
                "attempt": call.hops,
                "reason": "the owner of the program's partition",
            },
        )

    async def query(self, query, deadline):
        """Return the answer of a program's owner to an `InspectProgram`.

        Raises
        ------
        CallError
            The owner refused, or nobody answered before the deadline.
        """
        clock = self._yard.clock
        while (seconds_left := deadline - clock.monotonic()) > 0:
            owner = self._yard.ownership.locate(query.root).host
            try:
                view = await self._yard.peers.ask(owner, query, timeout=seconds_left)
            except CallError as error:
                if error.code != NOT_OWNER:
                    raise
                await asyncio.sleep(REROUTE_DELAY_SECONDS)
            except PeerUnavailable:
                await asyncio.sleep(REROUTE_DELAY_SECONDS)
            else:
                if not isinstance(view, ProgramElsewhere):
                    return view
                query.root = view.root
        raise CallError(
            "deadline_exceeded", "the program's owner did not answer", retry_after=1
        )


class _Attempt:
    """How one try to reach the owner ended."""

    def __init__(self):
        self.started = False
        self.finished = False
        self.sent = False
        self.new_root = ""
