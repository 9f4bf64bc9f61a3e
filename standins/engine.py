"""A model engine with an OpenAI-compatible HTTP API, timed by `EngineTiming`."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections import deque
from typing import Annotated

import cappa
from aiohttp import web

from standins._orders import OrderHandler
from standins._request_counts import RequestCounts
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
    count_tokens,
    digest_messages,
    digest_prefixes,
)
from standins.timing import EngineTiming, Evicted, Finished, Tokens

EXIT_STATUS = 1
"""Exit status of an injected crash."""


@dataclasses.dataclass
class EngineOptions(ServerOptions):
    """Flags of the engine.

    Attributes
    ----------
    scale : float
        Real seconds per second of the timing model.
    lag_seconds : float
        Age of the reported load and cache events.
    event_gap : int
        Interval at which a cache event is omitted; 0 omits none.
    load_seconds : float
        Time taken to load a model or adapter.
    fencing : {'check', 'ignore'}
        Whether orders with a stale fencing number are rejected.
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
    models: Annotated[str, cappa.Arg(long=True, help="Comma-separated names.")] = ""
    fencing: Annotated[str, cappa.Arg(long=True, choices=["check", "ignore"])] = "check"


class EngineFaults(Faults):
    """Faults of the engine.

    Attributes
    ----------
    die : bool
        Exit the process immediately.
    refuse : bool
        Answer every request with 503.
    hang : bool
        Accept requests and never answer.
    silent_after_tokens : int
        Stop sending after this many tokens of each answer; -1 for never.
    die_after_tokens : int
        Exit the process after this many tokens of an answer; -1 for never.
    crash_marker : str
        Exit the process when a request body contains this string.
    delay_seconds : float
        Delay before each request.
    lose_release : bool
        Acknowledge a cache release without performing it.
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
    """The engine; `timing` determines when tokens are sent."""

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
        self.counts = RequestCounts()
        self.orders = OrderHandler(
            models=[name for name in self.options.models.split(",") if name],
            check_fencing=self.options.fencing == "check",
            load_seconds=self.options.load_seconds,
        )
        self._requests = {}
        self._last_request_number = 0
        self._known_prefixes = {}
        self._cache_events = []
        self._load_history = deque()
        self._wake = asyncio.Event()
        self._started_at = time.monotonic()
        super().__init__()
        self.app.cleanup_ctx.append(self._run_engine)

    def add_routes(self, router):
        router.add_post("/v1/chat/completions", self._complete)
        router.add_get("/load", self._get_load)
        router.add_get("/executions", self._get_executions)
        router.add_get("/cache", self._get_cache)
        router.add_get("/cache/events", self._get_cache_events)
        router.add_post("/cache/release", self._release)
        router.add_post("/cache/export", self._export)
        router.add_post("/cache/import", self._import)
        self.orders.add_routes(router)

    def on_faults_changed(self):
        if self.faults.die:
            self.exit(EXIT_STATUS)

    async def apply_faults(self, request):
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

    async def _run_engine(self, app):
        task = asyncio.create_task(self._run())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _run(self):
        while True:
            self._wake.clear()
            self._advance()
            due_at = self.timing.next_event_time()
            if due_at is None:
                await self._wake.wait()
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((due_at - self._now()) * self.options.scale):
                    await self._wake.wait()

    def _advance(self):
        for event in self.timing.advance(self._now()):
            if isinstance(event, Evicted):
                self._record_cache_event("evicted", event.program, event.tokens)
            elif event.request_id in self._requests:
                self._requests[event.request_id].put_nowait(event)
        self._load_history.append((time.monotonic(), self.timing.load))

    async def _complete(self, request):
        text = await request.text()
        self.counts.inspect(request, text)
        body = json.loads(text)
        messages = body.get("messages")
        if not messages:
            return _answer_error(400, "invalid_request_error", "messages are missing")
        model = body.get("model", "")
        if not self.orders.has_model(model):
            return _answer_error(404, "model_not_found", f"no such model: {model!r}")
        marker = self.faults.crash_marker
        if marker and marker in text:
            self.exit(EXIT_STATUS)
        self.counts.executions[digest_messages(messages)] += 1
        answer = EngineAnswer(request, body, messages)
        try:
            queue = self._submit(answer)
        except ValueError as error:
            return _answer_error(400, "context_length_exceeded", str(error))
        try:
            return await self._answer(answer, queue)
        finally:
            self._cancel(answer)

    def _submit(self, answer):
        self._last_request_number += 1
        answer.request_id = f"{self.options.name}-{self._last_request_number}"
        history = self._count_known_tokens(answer)
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

    def _cancel(self, answer):
        del self._requests[answer.request_id]
        self.timing.cancel(answer.request_id, self._now())
        self._wake.set()

    def _count_known_tokens(self, answer):
        known = self._known_prefixes.get(answer.program, ())
        digests = digest_prefixes(answer.messages)
        for length in range(len(answer.messages), 0, -1):
            if digests[length] in known:
                return sum(map(count_tokens, answer.messages[:length]))
        return 0

    def _store_prefixes(self, answer):
        reply = {"role": "assistant", "content": " ".join(answer.tokens)}
        digests = digest_prefixes([*answer.messages, reply])
        self._known_prefixes.setdefault(answer.program, set()).update(digests[1:])
        tokens = self.timing.cached_tokens(answer.program)
        self._record_cache_event("stored", answer.program, tokens)

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
                await self._apply_token_faults(sent)
                if response is not None:
                    await response.write(answer.encode_token(sent))
                sent += 1
        self._store_prefixes(answer)
        if response is None:
            return web.json_response(answer.encode_completion(event))
        for data in answer.encode_stream_end(event):
            await response.write(data)
        await response.write_eof()
        return response

    async def _apply_token_faults(self, sent):
        if sent == self.faults.die_after_tokens:
            self.exit(EXIT_STATUS)
        if sent == self.faults.silent_after_tokens:
            await hang()

    def _record_cache_event(self, kind, program, tokens):
        number = len(self._cache_events) + 1
        event = {"number": number, "kind": kind, "program": program, "tokens": tokens}
        self._cache_events.append((time.monotonic(), event))

    async def _get_load(self, request):
        limit = time.monotonic() - self.options.lag_seconds
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit:
            self._load_history.popleft()
        load = self._load_history[0][1] if self._load_history else self.timing.load
        limits = {
            "batch_size": self.options.batch_size,
            "kv_tokens": self.options.kv_tokens,
        }
        return web.json_response({**dataclasses.asdict(load), **limits})

    async def _get_executions(self, request):
        return web.json_response(self.counts.to_json())

    async def _get_cache(self, request):
        cached = {n: self.timing.cached_tokens(n) for n in self._known_prefixes}
        programs = {name: tokens for name, tokens in cached.items() if tokens}
        return web.json_response({"programs": programs})

    async def _get_cache_events(self, request):
        after = int(request.query.get("after", "0"))
        limit = time.monotonic() - self.options.lag_seconds
        gap = self.options.event_gap
        events = [
            event
            for recorded_at, event in self._cache_events[after:]
            if recorded_at <= limit and not (gap and event["number"] % gap == 0)
        ]
        return web.json_response({"events": events})

    async def _release(self, request):
        program = (await request.json())["program"]
        if self.faults.lose_release:
            return web.json_response({"tokens": 0})
        self._known_prefixes.pop(program, None)
        tokens = self.timing.release(program)
        self._record_cache_event("released", program, 0)
        return web.json_response({"tokens": tokens})

    async def _export(self, request):
        program = (await request.json())["program"]
        tokens = self.timing.export_prefix(program)
        known = sorted(self._known_prefixes.get(program, ()))
        return web.json_response(
            {"program": program, "tokens": tokens, "prefixes": known}
        )

    async def _import(self, request):
        body = await request.json()
        program = body["program"]
        tokens = self.timing.import_prefix(program, body["tokens"], self._now())
        if tokens:
            self._known_prefixes.setdefault(program, set()).update(body["prefixes"])
            self._record_cache_event("stored", program, tokens)
        return web.json_response({"tokens": tokens})


def _answer_error(status, code, message):
    error = {"error": {"code": code, "type": code, "message": message}}
    return web.json_response(error, status=status)


if __name__ == "__main__":
    run_main(EngineOptions, EngineServer)
