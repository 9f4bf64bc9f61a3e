"""A model engine: the OpenAI form over HTTP, timed by `EngineTiming`."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections import deque
from typing import Annotated

import cappa
from aiohttp import web

from standins._evidence import Evidence
from standins._orders import OrderBook
from standins._serving import (
    Faults,
    Flag,
    ServerOptions,
    StandIn,
    hang,
    run_main,
)
from standins.answers import (
    EngineAnswer,
    chain_digests,
    count_tokens,
    digest_messages,
)
from standins.timing import EngineTiming, Evicted, Finished, Tokens

EXIT_STATUS = 1
"""Exit status of a death that was ordered."""


@dataclasses.dataclass
class EngineOptions(ServerOptions):
    """Flags of the engine.

    Attributes
    ----------
    scale : float
        Real seconds for each second of the timing rule.
    lag_seconds : float
        Age of load reports and cache events.
    event_gap : int
        Every so many cache events one is left out; 0 for none.
    """

    name: Annotated[str, Flag] = "engine"
    scale: Annotated[float, Flag] = 1.0
    batch_size: Annotated[int, Flag] = 16
    kv_tokens: Annotated[int, Flag] = 64_000
    prefill_rate: Annotated[float, Flag] = 8_000.0
    decode_seconds: Annotated[float, Flag] = 0.02
    lag_seconds: Annotated[float, Flag] = 0.5
    event_gap: Annotated[int, Flag] = 0
    load_seconds: Annotated[float, Flag] = 0.0
    models: Annotated[str, cappa.Arg(long=True, help="Names with commas.")] = ""
    fencing: Annotated[str, cappa.Arg(long=True, choices=["check", "ignore"])] = "check"


class EngineFaults(Faults):
    """Faults of the engine.

    Attributes
    ----------
    die : bool
        End the process at once.
    refuse : bool
        Answer every request with 503.
    hang : bool
        Accept requests and never answer.
    silent_after_tokens : int
        Stop sending after so many tokens of each answer; -1 for never.
    die_after_tokens : int
        End the process after so many tokens of an answer; -1 for never.
    crash_marker : str
        End the process when a message has this word.
    delay_seconds : float
        Time that each request waits first.
    lose_release : bool
        Answer a release of memory without carrying it out.
    """

    die: bool = False
    refuse: bool = False
    hang: bool = False
    silent_after_tokens: int = -1
    die_after_tokens: int = -1
    crash_marker: str = ""
    delay_seconds: float = 0.0
    lose_release: bool = False


class EngineServer(StandIn):
    """The engine; requests run at the pace of `timing`."""

    faults_class = EngineFaults

    def __init__(self, options=None):
        self.options = options or EngineOptions()
        self.timing = EngineTiming(
            batch_size=self.options.batch_size,
            kv_tokens=self.options.kv_tokens,
            prefill_rate=self.options.prefill_rate,
            decode_seconds=self.options.decode_seconds,
            token_events=True,
        )
        self.evidence = Evidence()
        self.orders = OrderBook(
            models=[name for name in self.options.models.split(",") if name],
            check_fencing=self.options.fencing == "check",
            load_seconds=self.options.load_seconds,
        )
        self._requests = {}
        self._last_request = 0
        self._known = {}
        self._cache_events = []
        self._loads = deque()
        self._wake = asyncio.Event()
        self._started_at = time.monotonic()
        super().__init__()
        self.app.cleanup_ctx.append(self._drive)

    def add_routes(self, router):
        router.add_post("/v1/chat/completions", self._complete)
        router.add_get("/load", self._show_load)
        router.add_get("/executions", self._show_executions)
        router.add_get("/cache", self._show_cache)
        router.add_get("/cache/events", self._show_cache_events)
        router.add_post("/cache/release", self._release)
        router.add_post("/cache/export", self._export)
        router.add_post("/cache/import", self._import)
        self.orders.add_routes(router)

    def faults_changed(self):
        if self.faults.die:
            self.exit(EXIT_STATUS)

    async def strike(self, request):
        if request.path == "/executions":
            return None
        if self.faults.hang:
            await hang()
        if self.faults.refuse:
            return _answer_error(503, "refused", "the engine refuses requests")
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        return None

    def _now(self):
        return (time.monotonic() - self._started_at) / self.options.scale

    async def _drive(self, app):
        task = asyncio.create_task(self._run())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _run(self):
        while True:
            self._wake.clear()
            self._advance()
            at = self.timing.next_event_time()
            if at is None:
                await self._wake.wait()
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((at - self._now()) * self.options.scale):
                    await self._wake.wait()

    def _advance(self):
        for event in self.timing.advance(self._now()):
            if isinstance(event, Evicted):
                self._note_cache("evicted", event.program, event.tokens)
            elif event.request_id in self._requests:
                self._requests[event.request_id].put_nowait(event)
        self._loads.append((time.monotonic(), self.timing.load))

    async def _complete(self, request):
        text = await request.text()
        self.evidence.inspect(request, text)
        body = json.loads(text)
        messages = body.get("messages")
        if not messages:
            return _answer_error(400, "invalid_request_error", "messages are missing")
        if not self.orders.has_model(body.get("model", "")):
            return _answer_error(404, "model_not_found", "no such model here")
        marker = self.faults.crash_marker
        if marker and marker in text:
            self.exit(EXIT_STATUS)
        self.evidence.executions[digest_messages(messages)] += 1
        answer = EngineAnswer(request, body, messages)
        try:
            queue = self._submit(answer)
        except ValueError as error:
            return _answer_error(400, "context_length_exceeded", str(error))
        try:
            return await self._answer(answer, queue)
        finally:
            self._leave(answer)

    def _submit(self, answer):
        self._last_request += 1
        answer.request_id = f"{self.options.name}-{self._last_request}"
        history = self._count_known(answer)
        queue = asyncio.Queue()
        self.timing.submit(
            answer.request_id,
            answer.program,
            history,
            answer.prompt_tokens - history,
            len(answer.tokens),
            self._now(),
        )
        self._requests[answer.request_id] = queue
        self._wake.set()
        return queue

    def _leave(self, answer):
        del self._requests[answer.request_id]
        self.timing.cancel(answer.request_id, self._now())
        self._wake.set()

    def _count_known(self, answer):
        known = self._known.get(answer.program, ())
        digests = chain_digests(answer.messages)
        for length in range(len(answer.messages), 0, -1):
            if digests[length] in known:
                return sum(map(count_tokens, answer.messages[:length]))
        return 0

    def _remember(self, answer):
        reply = {"role": "assistant", "content": " ".join(answer.tokens)}
        digests = chain_digests([*answer.messages, reply])
        self._known.setdefault(answer.program, set()).update(digests[1:])
        tokens = self.timing.cached_tokens(answer.program)
        self._note_cache("stored", answer.program, tokens)

    async def _answer(self, answer, queue):
        response = None
        if answer.streamed:
            response = web.StreamResponse()
            response.content_type = "text/event-stream"
            await response.prepare(answer.request)
        sent = 0
        while True:
            event = await queue.get()
            if isinstance(event, Finished):
                break
            assert isinstance(event, Tokens)
            for _ in range(event.count):
                await self._strike_token(sent)
                if response is not None:
                    await response.write(answer.encode_token(sent))
                sent += 1
        self._remember(answer)
        if response is None:
            return web.json_response(answer.encode_whole(event))
        for line in answer.encode_end(event):
            await response.write(line)
        await response.write_eof()
        return response

    async def _strike_token(self, sent):
        if sent == self.faults.die_after_tokens:
            self.exit(EXIT_STATUS)
        if sent == self.faults.silent_after_tokens:
            await hang()

    def _note_cache(self, kind, program, tokens):
        number = len(self._cache_events) + 1
        event = {"number": number, "kind": kind, "program": program, "tokens": tokens}
        self._cache_events.append((time.monotonic(), event))

    async def _show_load(self, request):
        limit = time.monotonic() - self.options.lag_seconds
        while len(self._loads) > 1 and self._loads[1][0] <= limit:
            self._loads.popleft()
        load = self._loads[0][1] if self._loads else self.timing.load
        limits = {
            "batch_size": self.options.batch_size,
            "kv_tokens": self.options.kv_tokens,
        }
        return web.json_response({**dataclasses.asdict(load), **limits})

    async def _show_executions(self, request):
        return web.json_response(self.evidence.to_json())

    async def _show_cache(self, request):
        held = {name: self.timing.cached_tokens(name) for name in self._known}
        programs = {name: tokens for name, tokens in held.items() if tokens}
        return web.json_response({"programs": programs})

    async def _show_cache_events(self, request):
        after = int(request.query.get("after", "0"))
        limit = time.monotonic() - self.options.lag_seconds
        gap = self.options.event_gap
        events = [
            event
            for noted_at, event in self._cache_events[after:]
            if noted_at <= limit and not (gap and event["number"] % gap == 0)
        ]
        return web.json_response({"events": events})

    async def _release(self, request):
        program = (await request.json())["program"]
        if self.faults.lose_release:
            return web.json_response({"tokens": 0})
        self._known.pop(program, None)
        tokens = self.timing.release(program)
        self._note_cache("released", program, 0)
        return web.json_response({"tokens": tokens})

    async def _export(self, request):
        program = (await request.json())["program"]
        tokens = self.timing.export_prefix(program)
        known = sorted(self._known.get(program, ()))
        return web.json_response(
            {"program": program, "tokens": tokens, "prefixes": known}
        )

    async def _import(self, request):
        body = await request.json()
        program = body["program"]
        tokens = self.timing.import_prefix(program, body["tokens"], self._now())
        if tokens:
            self._known.setdefault(program, set()).update(body["prefixes"])
            self._note_cache("stored", program, tokens)
        return web.json_response({"tokens": tokens})


def _answer_error(status, code, message):
    error = {"error": {"code": code, "type": code, "message": message}}
    return web.json_response(error, status=status)


if __name__ == "__main__":
    run_main(EngineOptions, EngineServer)
