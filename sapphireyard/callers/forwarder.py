"""Forwards calls and queries to the owners of their programs."""

import asyncio
import contextlib
import itertools
import logging

from sapphireyard.exceptions import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    CallError,
    NotOwner,
    PeerUnavailable,
)
from sapphireyard.streams.generated_messages import ProgramElsewhere

logger = logging.getLogger(__name__)

REROUTE_DELAY_SECONDS = 0.05
"""Delay before a call or query is sent to the owner again."""

MAX_IMMEDIATE_HOPS = 8
"""Number of attempts after which redirected calls are delayed as well."""


class Forwarder:
    """Forwards calls to the owner of their program, even while ownership changes.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime

    async def forward(self, call, deadline):
        """Forward a call to its owner and yield the messages of the answer.

        A call of a program has an idempotency key, so it is sent again if the
        owner is lost before the answer begins.

        Parameters
        ----------
        call : ForwardCall
            The call; its root changes if another owner holds the program.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        CallError
            The call was refused or failed.
        """
        sent = False
        for hop in itertools.count():
            seconds_left = deadline - self._runtime.clock.monotonic()
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
        """Yield the owner's messages and record the outcome in `attempt`."""
        owner = self._find_owner(call)
        self._record_forwarding(call, owner)
        call.deadline_seconds = seconds_left
        answers = self._runtime.peers.stream(owner, call, timeout=seconds_left)
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
            if error.code != NotOwner.CODE:
                raise
        except PeerUnavailable as error:
            attempt.sent = error.sent
            if attempt.started or (error.sent and not call.program):
                raise CallError(
                    "outcome_unknown",
                    "the owner was lost during the call; retry with the same sequence",
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
            return self._runtime.host
        return self._runtime.ownership.locate(call.root).host

    def _record_forwarding(self, call, owner):
        if owner == self._runtime.host:
            return
        self._runtime.metrics.count("forwarded")
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
            The owner refused the query, or no owner answered before the deadline.
        """
        clock = self._runtime.clock
        while (seconds_left := deadline - clock.monotonic()) > 0:
            owner = self._runtime.ownership.locate(query.root).host
            try:
                view = await self._runtime.peers.ask(owner, query, timeout=seconds_left)
            except CallError as error:
                if error.code != NotOwner.CODE:
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
    """Outcome of one attempt to reach the owner."""

    def __init__(self):
        self.started = False
        self.finished = False
        self.sent = False
        self.new_root = ""
