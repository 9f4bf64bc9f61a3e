"""The timing rule of a model engine, without I/O or a clock of its own.

`EngineTiming` answers when an engine would emit each token. It batches
continuously, admits requests first come first served as batch and memory
allow, never preempts, and keeps finished prefixes in the memory that running
requests leave free, evicting the least recently used blocks.
"""

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass


@dataclass(frozen=True)
class EngineEvent:
    """Something the engine did at `time` (seconds)."""

    time: float


@dataclass(frozen=True)
class Tokens(EngineEvent):
    """`count` further tokens of a request; ``first`` marks its first one."""

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
    """The prefix of `program` shrank to `tokens` tokens for lack of memory."""

    program: str
    tokens: int


@dataclass(frozen=True)
class EngineLoad:
    """What an engine reports: counts of requests, and tokens of memory."""

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
    """One engine with continuous batching and a prefix cache.

    A prefill takes the whole engine; running requests go on after it. All
    methods take `now`, which must not go back.

    Parameters
    ----------
    batch_size : int, optional
        Most requests that run at once.
    kv_tokens : int, optional
        Tokens that the KV memory holds, for running requests and prefixes.
    prefill_rate : float, optional
        Prompt tokens prefilled per second.
    decode_seconds : float, optional
        Duration of one decode step with one request in the batch.
    decode_slope : float, optional
        Growth of a step for each further request, as a share of the first.
    block_tokens : int, optional
        Tokens of one block; prefixes are kept in whole blocks.
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
        self._finishes = []
        self._prefilling = None
        self._prefill_end = 0.0
        self._prefixes = OrderedDict()
        self._prefix_total = 0
        self._reserved = 0
        self._steps = 0
        self._step_start = 0.0
        self._events = []

    @property
    def load(self):
        """EngineLoad: The load at the last call."""
        running = len(self._running) + (self._prefilling is not None)
        return EngineLoad(
            running, len(self._waiting), self._reserved, self._prefix_total
        )

    def submit(
        self, request_id, program, history_tokens, new_tokens, output_tokens, now
    ):
        """Queue a request; its answer comes from `advance`.

        Parameters
        ----------
        request_id : str
            Unique among requests of this engine.
        program : str
            Whose prefix the history is.
        history_tokens, new_tokens, output_tokens : int
            Tokens that may be cached, new prompt tokens, tokens to generate.
        now : float
            Seconds.

        Raises
        ------
        ValueError
            If the id is in use or the request can never fit the memory.
        """
        if request_id in self._requests:
            raise ValueError(f"request {request_id} is already here")
        output_tokens = max(1, output_tokens)
        request = _EngineRequest(
            request_id, program, history_tokens, new_tokens, output_tokens
        )
        if request.total_tokens > self.kv_tokens:
            raise ValueError(f"request {request_id} exceeds the KV memory")
        self._catch_up(now)
        self._requests[request_id] = request
        self._waiting.append(request)
        if self._is_idle():
            self._step_start = now
            self._admit(now)

    def cancel(self, request_id, now):
        """Stop a request; False when it is not here. Its prefix is dropped."""
        self._catch_up(now)
        request = self._requests.pop(request_id, None)
        if request is None:
            return False
        if request in self._waiting:
            self._waiting.remove(request)
            return True
        self._reserved -= request.total_tokens
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
        """Return when `advance` has something to do, or None when idle."""
        if self._events:
            return self._events[0].time
        if self._prefilling is not None:
            return self._prefill_end
        self._drop_cancelled()
        if not self._running:
            return None
        return self._step_start + self._steps_to_event() * self._step_seconds()

    def advance(self, now):
        """Run the engine up to `now` and return the events, oldest first."""
        while True:
            time = self._next_transition()
            if time is None or time > now:
                break
            self._transition(time)
        events, self._events = self._events, []
        return events

    def cached_tokens(self, program):
        """Return how many tokens of the program's prefix are kept."""
        return self._prefixes.get(program, 0)

    def release(self, program):
        """Drop the prefix of `program`; return its tokens."""
        tokens = self._prefixes.pop(program, 0)
        self._prefix_total -= tokens
        return tokens

    def export_prefix(self, program):
        """Return the tokens of a prefix for another engine; it stays here."""
        return self.cached_tokens(program)

    def import_prefix(self, program, tokens, now):
        """Take in a prefix from another engine; return the tokens kept."""
        tokens = self._whole_blocks(tokens)
        if tokens > self.kv_tokens - self._reserved:
            return 0
        self._keep_prefix(program, max(tokens, self.cached_tokens(program)), now)
        return self.cached_tokens(program)

    def _is_idle(self):
        return self._prefilling is None and not self._running

    def _whole_blocks(self, tokens):
        return tokens - tokens % self.block_tokens

    def _step_seconds(self):
        extra = max(0, len(self._running) - 1)
        return self.decode_seconds * (1 + self.decode_slope * extra)

    def _can_admit(self):
        if not self._waiting or len(self._running) >= self.batch_size:
            return False
        return self._reserved + self._waiting[0].total_tokens <= self.kv_tokens

    def _drop_cancelled(self):
        while self._finishes and self._finishes[0][1] not in self._running:
            heapq.heappop(self._finishes)

    def _steps_to_event(self):
        if self.token_events or self._can_admit():
            return 1
        return max(1, self._finishes[0][0] - self._steps)

    def _next_transition(self):
        if self._prefilling is not None:
            return self._prefill_end
        self._drop_cancelled()
        if not self._running:
            return None
        return self._step_start + self._steps_to_event() * self._step_seconds()

    def _transition(self, time):
        if self._prefilling is not None:
            self._end_prefill(time)
        else:
            self._decode(self._steps_to_event(), time)
        if self._prefilling is None:
            self._admit(time)

    def _catch_up(self, now):
        """Process all events up to `now`, so that a change applies after them."""
        while True:
            time = self._next_transition()
            if time is None or time > now:
                break
            self._transition(time)
        if self._prefilling is not None or not self._running:
            return
        steps = int((now - self._step_start) / self._step_seconds())
        if steps > 0:
            self._steps += steps
            self._step_start += steps * self._step_seconds()

    def _admit(self, time):
        self._drop_cancelled()
        if not self._can_admit():
            return
        request = self._waiting.popleft()
        cached = min(self.release(request.program), request.history_tokens)
        request.cached_tokens = self._whole_blocks(cached)
        self._reserved += request.total_tokens
        self._evict(time)
        self._prefilling = request
        missing = request.prompt_tokens - request.cached_tokens
        self._prefill_end = time + missing / self.prefill_rate

    def _end_prefill(self, time):
        request, self._prefilling = self._prefilling, None
        self._step_start = time
        self._events.append(Tokens(time, request.request_id, 1, first=True))
        request.finish_step = self._steps + request.output_tokens - 1
        if request.output_tokens == 1:
            self._finish(request, time)
            return
        self._running.add(request.request_id)
        heapq.heappush(self._finishes, (request.finish_step, request.request_id))

    def _decode(self, steps, time):
        self._steps += steps
        self._step_start = time
        if self.token_events:
            for request_id in sorted(self._running):
                self._events.append(Tokens(time, request_id, steps))
        while self._finishes and self._finishes[0][0] <= self._steps:
            _, request_id = heapq.heappop(self._finishes)
            if request_id in self._running:
                self._running.discard(request_id)
                self._finish(self._requests[request_id], time)

    def _finish(self, request, time):
        del self._requests[request.request_id]
        self._reserved -= request.total_tokens
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
        self._keep_prefix(
            request.program, self._whole_blocks(request.total_tokens), time
        )

    def _keep_prefix(self, program, tokens, time):
        self.release(program)
        self._prefixes[program] = tokens
        self._prefix_total += tokens
        self._evict(time)

    def _evict(self, time):
        excess = self._reserved + self._prefix_total - self.kv_tokens
        while excess > 0:
            program, tokens = next(iter(self._prefixes.items()))
            dropped = min(tokens, excess + -excess % self.block_tokens)
            self._prefix_total -= dropped
            excess -= dropped
            if dropped == tokens:
                del self._prefixes[program]
            else:
                self._prefixes[program] = tokens - dropped
            self._events.append(Evicted(time, program, tokens - dropped))
