"""A timing model of a model engine, without I/O or a clock of its own.

`EngineTiming` computes when an engine emits each token. It uses continuous
batching, admits requests first come, first served as batch size and memory
allow, never preempts, and caches finished prefixes in the memory not reserved
by running requests, evicting the least recently used blocks.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass


@dataclass(frozen=True)
class EngineEvent:
    """An event of the engine at `time` (seconds)."""

    time: float


@dataclass(frozen=True)
class Tokens(EngineEvent):
    """A request generated `count` tokens; `first` marks its first token."""

    request_id: str
    count: int
    first: bool = False


@dataclass(frozen=True)
class Finished(EngineEvent):
    """A request generated its last token."""

    request_id: str
    cached_tokens: int
    prefilled_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class Evicted(EngineEvent):
    """The cached prefix of `program` was cut to `tokens` tokens to free memory."""

    program: str
    tokens: int


@dataclass(frozen=True)
class EngineLoad:
    """Load of an engine: numbers of requests, and memory in tokens."""

    running: int
    waiting: int
    reserved_tokens: int
    cached_tokens: int


@dataclass
class _EngineRequest:
    request_id: str
    program: str
    history_tokens: int
    new_tokens: int
    output_tokens: int
    cached_tokens: int = 0
    finish_step: int = 0

    @property
    def prompt_tokens(self):
        return self.history_tokens + self.new_tokens

    @property
    def total_tokens(self):
        return self.prompt_tokens + self.output_tokens


class EngineTiming:
    """Timing of one engine with continuous batching and a prefix cache.

    A prefill occupies the whole engine; running requests resume after it. The
    `now` passed to the methods must not decrease.

    Parameters
    ----------
    batch_size : int, optional
        Maximum number of concurrently running requests.
    kv_tokens : int, optional
        Capacity of the KV memory, for running requests and cached prefixes.
    prefill_rate : float, optional
        Prompt tokens prefilled per second.
    decode_seconds : float, optional
        Duration of one decode step with one request in the batch.
    decode_slope : float, optional
        Increase of the step duration per additional request, as a fraction
        of `decode_seconds`.
    block_tokens : int, optional
        Tokens per block; prefixes are cached in whole blocks.
    token_events : bool, optional
        Whether `advance` reports each decode step, for engines that stream.
    """

    def __init__(
        self,
        *,
        batch_size=16,
        kv_tokens=64_000,
        prefill_rate=8_000.0,
        decode_seconds=0.02,
        decode_slope=0.03,
        block_tokens=16,
        token_events=False,
    ):
        self.batch_size = batch_size
        self.kv_tokens = kv_tokens
        self.prefill_rate = prefill_rate
        self.decode_seconds = decode_seconds
        self.decode_slope = decode_slope
        self.block_tokens = block_tokens
        self.token_events = token_events
        self._waiting = deque()
        self._requests = {}
        self._running = set()
        self._finish_queue = []
        self._prefilling = None
        self._prefill_end = 0.0
        self._prefixes = OrderedDict()
        self._prefix_tokens = 0
        self._reserved_tokens = 0
        self._step_count = 0
        self._step_start = 0.0
        self._events = []

    @property
    def load(self):
        """EngineLoad: The load as of the last method call."""
        running = len(self._running) + (self._prefilling is not None)
        return EngineLoad(
            running, len(self._waiting), self._reserved_tokens, self._prefix_tokens
        )

    def submit(
        self, request_id, program, history_tokens, new_tokens, output_tokens, now
    ):
        """Queue a request; `advance` returns its events.

        Parameters
        ----------
        request_id : str
            Unique among the requests of this engine.
        program : str
            Program whose cached prefix the history may use.
        history_tokens, new_tokens, output_tokens : int
            Tokens that may be cached, new prompt tokens, tokens to generate.
        now : float
            Current time in seconds.

        Raises
        ------
        ValueError
            If the id is in use or the request exceeds the KV memory.
        """
        if request_id in self._requests:
            raise ValueError(f"request {request_id} already exists")
        output_tokens = max(1, output_tokens)
        request = _EngineRequest(
            request_id, program, history_tokens, new_tokens, output_tokens
        )
        if request.total_tokens > self.kv_tokens:
            raise ValueError(
                f"request {request_id} needs {request.total_tokens} tokens of KV"
                f" memory, capacity is {self.kv_tokens}"
            )
        self._advance_to(now)
        self._requests[request_id] = request
        self._waiting.append(request)
        if self._is_idle():
            self._step_start = now
            self._admit(now)

    def cancel(self, request_id, now):
        """Cancel a request; return False if it is unknown.

        The cached prefix that a running request has taken over is dropped with it.
        """
        self._advance_to(now)
        request = self._requests.pop(request_id, None)
        if request is None:
            return False
        if request in self._waiting:
            self._waiting.remove(request)
            return True
        self._reserved_tokens -= request.total_tokens
        if request is self._prefilling:
            self._prefilling = None
            self._step_start = now
        else:
            self._running.discard(request_id)
        self._step_start = max(self._step_start, now - self._step_seconds())
        if self._prefilling is None:
            self._admit(now)
        return True

    def next_event_time(self):
        """Return the time of the next event for `advance`, or None if idle."""
        if self._events:
            return self._events[0].time
        if self._prefilling is not None:
            return self._prefill_end
        self._drop_cancelled_finishes()
        if not self._running:
            return None
        return self._step_start + self._steps_to_event() * self._step_seconds()

    def advance(self, now):
        """Run the engine up to `now` and return the events, oldest first."""
        while True:
            time = self._next_transition_time()
            if time is None or time > now:
                break
            self._run_transition(time)
        events, self._events = self._events, []
        return events

    def cached_tokens(self, program):
        """Return the number of cached tokens of the program's prefix."""
        return self._prefixes.get(program, 0)

    def release(self, program):
        """Drop the cached prefix of `program`; return its number of tokens."""
        tokens = self._prefixes.pop(program, 0)
        self._prefix_tokens -= tokens
        return tokens

    def export_prefix(self, program):
        """Return the number of tokens to import elsewhere; the prefix stays cached."""
        return self.cached_tokens(program)

    def import_prefix(self, program, tokens, now):
        """Cache a prefix from another engine; return the number of cached tokens."""
        tokens = self._round_to_blocks(tokens)
        if tokens > self.kv_tokens - self._reserved_tokens:
            return 0
        self._store_prefix(program, max(tokens, self.cached_tokens(program)), now)
        return self.cached_tokens(program)

    def _is_idle(self):
        return self._prefilling is None and not self._running

    def _round_to_blocks(self, tokens):
        return tokens - tokens % self.block_tokens

    def _step_seconds(self):
        extra = max(0, len(self._running) - 1)
        return self.decode_seconds * (1 + self.decode_slope * extra)

    def _can_admit(self):
        if not self._waiting or len(self._running) >= self.batch_size:
            return False
        return self._reserved_tokens + self._waiting[0].total_tokens <= self.kv_tokens

    def _drop_cancelled_finishes(self):
        while self._finish_queue and self._finish_queue[0][1] not in self._running:
            heapq.heappop(self._finish_queue)

    def _steps_to_event(self):
        if self.token_events or self._can_admit():
            return 1
        return max(1, self._finish_queue[0][0] - self._step_count)

    def _next_transition_time(self):
        if self._prefilling is not None:
            return self._prefill_end
        self._drop_cancelled_finishes()
        if not self._running:
            return None
        return self._step_start + self._steps_to_event() * self._step_seconds()

    def _run_transition(self, time):
        if self._prefilling is not None:
            self._end_prefill(time)
        else:
            self._decode(self._steps_to_event(), time)
        if self._prefilling is None:
            self._admit(time)

    def _advance_to(self, now):
        """Process all events up to `now`, so that a change is applied after them."""
        while True:
            time = self._next_transition_time()
            if time is None or time > now:
                break
            self._run_transition(time)
        if self._prefilling is not None or not self._running:
            return
        steps = int((now - self._step_start) / self._step_seconds())
        if steps > 0:
            self._step_count += steps
            self._step_start += steps * self._step_seconds()

    def _admit(self, time):
        self._drop_cancelled_finishes()
        if not self._can_admit():
            return
        request = self._waiting.popleft()
        cached = min(self.release(request.program), request.history_tokens)
        request.cached_tokens = self._round_to_blocks(cached)
        self._reserved_tokens += request.total_tokens
        self._evict(time)
        self._prefilling = request
        uncached = request.prompt_tokens - request.cached_tokens
        self._prefill_end = time + uncached / self.prefill_rate

    def _end_prefill(self, time):
        request, self._prefilling = self._prefilling, None
        self._step_start = time
        self._events.append(Tokens(time, request.request_id, 1, first=True))
        request.finish_step = self._step_count + request.output_tokens - 1
        if request.output_tokens == 1:
            self._finish(request, time)
            return
        self._running.add(request.request_id)
        heapq.heappush(self._finish_queue, (request.finish_step, request.request_id))

    def _decode(self, steps, time):
        self._step_count += steps
        self._step_start = time
        if self.token_events:
            for request_id in sorted(self._running):
                self._events.append(Tokens(time, request_id, steps))
        while self._finish_queue and self._finish_queue[0][0] <= self._step_count:
            _, request_id = heapq.heappop(self._finish_queue)
            if request_id in self._running:
                self._running.discard(request_id)
                self._finish(self._requests[request_id], time)

    def _finish(self, request, time):
        del self._requests[request.request_id]
        self._reserved_tokens -= request.total_tokens
        prefilled = request.prompt_tokens - request.cached_tokens
        self._events.append(
            Finished(
                time,
                request.request_id,
                request.cached_tokens,
                prefilled,
                request.output_tokens,
            )
        )
        self._store_prefix(
            request.program, self._round_to_blocks(request.total_tokens), time
        )

    def _store_prefix(self, program, tokens, time):
        self.release(program)
        self._prefixes[program] = tokens
        self._prefix_tokens += tokens
        self._evict(time)

    def _evict(self, time):
        excess = self._reserved_tokens + self._prefix_tokens - self.kv_tokens
        while excess > 0:
            program, tokens = next(iter(self._prefixes.items()))
            dropped = min(tokens, excess + -excess % self.block_tokens)
            self._prefix_tokens -= dropped
            excess -= dropped
            if dropped == tokens:
                del self._prefixes[program]
            else:
                self._prefixes[program] = tokens - dropped
            self._events.append(Evicted(time, program, tokens - dropped))
