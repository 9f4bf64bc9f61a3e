"""Sending a call to an upstream and reading its answer."""

import contextlib
import functools
import json

from sapphireyard.configuration.tables import Pool
from sapphireyard.programs.executions import UpstreamAnswer
from sapphireyard.upstreams.completions import (
    CompletionAssembler,
    build_prompt,
    count_tokens,
    digest_program,
    dump_json,
)
from sapphireyard.upstreams.liveness import FIRST_BYTE_SECONDS, ProgressLimits
from sapphireyard.upstreams.upstreams import (
    FIRST_FAILURE_STATUS,
    UpstreamError,
    UpstreamRefusal,
    parse_chunk,
)

BYTES_PER_TOKEN = 4
"""Typical number of bytes of text per token; used only to estimate load."""


class Sender:
    """Sends calls; each kind of upstream has a subclass.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process this belongs to.
    """

    def __init__(self, runtime):
        self._runtime = runtime

    async def send(self, execution, grant, answer_tokens):
        """Return the `UpstreamAnswer` of a call.

        Parameters
        ----------
        execution : Execution
            The call; this marks it as sent.
        grant : Lease
            The slot, which names the upstream.
        answer_tokens : int
            Longest answer of a model in tokens.

        Raises
        ------
        UpstreamError
            The upstream gave no complete answer.
        """
        raise NotImplementedError


class ModelSender(Sender):
    """Streams a turn from a model engine."""

    async def send(self, execution, grant, answer_tokens):
        """Return the answer; its chunks are passed on as they arrive."""
        program = execution.program
        program.upstreams.add(grant.upstream.address)
        program.pools.add(execution.route.pool)
        assembler = CompletionAssembler()
        try:
            last_chunks = await self._stream(execution, grant, answer_tokens, assembler)
        except UpstreamRefusal as refusal:
            _check_status(refusal.status)
            return UpstreamAnswer(refusal.status, _ensure_json(refusal.text), tokens=0)
        if not assembler.finished:
            raise UpstreamError("the answer ended without a finish reason", sent=True)
        answer = assembler.build()
        self._report_usage(execution, grant, answer["usage"] or {})
        return UpstreamAnswer(
            200,
            dump_json(answer),
            tokens=count_tokens(answer, default=-1),
            last_chunks=tuple(last_chunks),
        )

    async def _stream(self, execution, grant, answer_tokens, assembler):
        program = execution.program
        prompt = build_prompt(program, execution.body, answer_tokens)
        events = self._runtime.upstreams.stream_completion(
            grant.upstream.address,
            prompt,
            program=digest_program(program.key) if program.key else "",
        )
        last_chunks = []
        execution.sent = True
        progress_watch = self._runtime.upstreams.watch_progress(
            grant.upstream.address, self._build_progress_limits(execution)
        )
        async with progress_watch as note_progress, contextlib.aclosing(events):
            async for data in events:
                note_progress()
                assembler.add(parse_chunk(data))
                if assembler.finished:
                    last_chunks.append(data)
                    continue
                execution.run.add_chunk(data)
        return last_chunks

    def _build_progress_limits(self, execution):
        """Return the progress limits, with time to prefill the prompt added."""
        pools = self._runtime.configuration.current.pools
        pool = pools.get(execution.route.pool, Pool)  # it may have been dropped since
        tokens = execution.program.context_tokens
        tokens += len(execution.call.body) // BYTES_PER_TOKEN
        seconds = FIRST_BYTE_SECONDS + tokens / pool.prefill_rate
        return ProgressLimits(first_byte=seconds)

    def _report_usage(self, execution, grant, usage):
        details = usage.get("prompt_tokens_details") or {}
        count = functools.partial(
            self._runtime.metrics.count, pool=execution.route.pool
        )
        count("prompt_tokens", usage.get("prompt_tokens", 0))
        count("cached_tokens", details.get("cached_tokens", 0))
        count("output_tokens", usage.get("completion_tokens", 0))
        grant.report(
            output_tokens=usage.get("completion_tokens", 0),
            cached_tokens=details.get("cached_tokens", -1),
        )


class ServiceSender(Sender):
    """Calls a plain service."""

    async def send(self, execution, grant, answer_tokens):
        """Return the service's answer."""
        route = execution.route
        execution.sent = True
        status, text = await self._runtime.upstreams.call_service(
            grant.upstream.address,
            route.path or route.name,
            dump_json(execution.body),
            idempotency_key=execution.call.idempotency_key,
            repeatable=route.repeatable,
        )
        _check_status(status)
        return UpstreamAnswer(status, _ensure_json(text), tokens=0)


SENDERS = {"model": ModelSender, "service": ServiceSender}
"""The subclass of `Sender` for each kind of route."""


def _check_status(status):
    if status >= FIRST_FAILURE_STATUS:
        raise UpstreamError(f"the upstream answered with status {status}", sent=True)


def _ensure_json(text):
    try:
        json.loads(text)
    except ValueError:
        return dump_json({"text": text})
    return text
