"""HTTP client for upstreams: model engines and plain services.

Customers' API keys are never sent to upstreams. A call that may not be
repeated gets a new connection, so that a pooled connection that was lost
unnoticed cannot make its outcome unknown.
"""

import asyncio
import contextlib
import json

import aiohttp
import mode

from sapphireyard.answers import (
    CONNECTION,
    READ_BUFFER_BYTES,
    build_connector,
    ended_its_answer,
    find_framing,
    is_listening,
    read_limited,
)
from sapphireyard.exceptions import SapphireyardError
from sapphireyard.tasks import start_task
from sapphireyard.unfinished import UnfinishedBodies
from sapphireyard.upstreams.completions import dump_json
from sapphireyard.upstreams.liveness import PROBE_TIMEOUT_SECONDS, ProgressWatch, Step

CONNECT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 20.0
"""Read time-out of requests that `Upstreams.watch_progress` does not watch."""

FIRST_FINAL_STATUS = 200
"""Lowest HTTP status of an answer that is not an interim one."""

FIRST_FAILURE_STATUS = 500
"""Lowest HTTP status that counts as a failure of the upstream."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Size limit of an upstream's answer, or of one event of a streamed answer."""

MAX_STREAM_BYTES = 64 * 1024 * 1024
"""Size limit of a streamed answer, in which each token takes some 200 bytes."""

MAX_UNFINISHED_BYTES = 64 * 1024 * 1024
"""Bytes of all answers that are being read, besides one of the largest size."""

UNAVAILABLE_STATUS = 503

NO_READ_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
"""Time-outs of requests that `Upstreams.watch_progress` watches for silence."""

STREAM_END = "[DONE]"


class UpstreamError(SapphireyardError):
    """An upstream gave no complete answer.

    Parameters
    ----------
    detail : str
        Description of the error.
    sent : bool
        False when the request cannot have reached the upstream.
    crashed : bool
        True when the connection broke while the request ran.
    """

    code = "upstream_failed"
    counts_as_failure = True
    """Whether it counts as a failure of the upstream."""

    def __init__(self, detail, *, sent, crashed=False):
        super().__init__(detail)
        self.sent = sent
        self.crashed = crashed


class Upstreams(mode.Service):
    """HTTP client for upstreams.

    Use `stream_completion` for model engines and `call_service` for plain
    services.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._pooled = None
        self._unpooled = None
        self._unfinished = UnfinishedBodies(MAX_UNFINISHED_BYTES)

    async def on_start(self):
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS, sock_read=READ_TIMEOUT_SECONDS
        )
        self._pooled = self._open_session(timeout, force_close=False)
        self._unpooled = self._open_session(timeout, force_close=True)

    async def on_stop(self):
        for session in (self._pooled, self._unpooled):
            if session is not None:
                await session.close()

    def _open_session(self, timeout, *, force_close):
        connector = build_connector(
            limit=0, force_close=force_close, use_dns_cache=False
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=True,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def stream_completion(self, address, body, *, program):
        """Yield the data of the events of a streamed chat completion.

        Parameters
        ----------
        address : str
            IP:PORT of the engine.
        body : str
            JSON text of the request.
        program : str
            Opaque digest of the program.

        Raises
        ------
        UpstreamError
            The engine gave no complete answer.
        UpstreamRefusal
            The engine answered with an error status.
        """
        headers = {"Sapphireyard-Program-Digest": program}
        url = f"http://{address}/v1/chat/completions"
        post = self._post(self._pooled, url, body, headers, timeout=NO_READ_TIMEOUT)
        async with post as response:
            if response.status != 200:
                text = await self._read_text(response)
                raise UpstreamRefusal(response.status, text)
            async for data in self._read_events(response):
                if data == STREAM_END:
                    return
                yield data
        raise UpstreamError(f"{address}: stream ended early", sent=True, crashed=True)

    async def call_service(self, address, path, body, *, idempotency_key, repeatable):
        """Return status and text of a plain service's answer.

        Raises
        ------
        UpstreamError
            The service gave no complete answer.
        """
        session = self._pooled if repeatable else self._unpooled
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        url = f"http://{address}/{path}"
        async with self._post(session, url, body, headers) as response:
            text = await self._read_text(response)
            await _check_end(address, response)
            return response.status, text

    async def _read_text(self, response):
        data = bytearray()
        with self._unfinished.open() as grow:
            async for piece in response.content.iter_any():
                if len(data) + len(piece) > MAX_ANSWER_BYTES:
                    raise UpstreamError(
                        f"the answer exceeds {MAX_ANSWER_BYTES} bytes", sent=True
                    )
                await grow(len(piece))
                data += piece
            return data.decode(errors="replace")

    async def _read_events(self, response):
        buffer = bytearray()
        size = searched = counted = 0
        with self._unfinished.open() as grow:
            async for piece in response.content.iter_any():
                size += len(piece)
                buffer += piece.replace(b"\r", b"")
                while (end := buffer.find(b"\n\n", searched)) >= 0:
                    searched = 0
                    event = bytes(buffer[:end]).decode(errors="replace")
                    del buffer[: end + 2]
                    data = _join_data(event)
                    if data is not None:
                        yield data
                searched = max(0, len(buffer) - 1)
                if len(buffer) > MAX_ANSWER_BYTES:
                    raise UpstreamError(
                        f"an event exceeds {MAX_ANSWER_BYTES} bytes", sent=True
                    )
                if size > MAX_STREAM_BYTES:
                    raise UpstreamError(
                        f"a stream exceeds {MAX_STREAM_BYTES} bytes", sent=True
                    )
                await grow(len(buffer) - counted)
                counted = len(buffer)

    async def release_program(self, address, program):
        """Ask an engine to drop the cached state of a program."""
        url = f"http://{address}/cache/release"
        body = dump_json({"program": program})
        async with self._post(self._pooled, url, body, {}) as response:
            await read_limited(response, MAX_ANSWER_BYTES)

    async def probe(self, address):
        """Return whether an upstream answers on a new connection."""
        url = f"http://{address}/healthz"
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        try:
            async with self._unpooled.get(url, timeout=timeout) as response:
                return FIRST_FINAL_STATUS <= response.status < FIRST_FAILURE_STATUS
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    @contextlib.asynccontextmanager
    async def watch_progress(self, address, limits):
        """Cancel the exchange inside when its connection goes silent.

        Before it is cancelled the upstream is probed on a new connection, to
        tell whether only the connection failed.

        Parameters
        ----------
        address : str
            IP:PORT of the upstream.
        limits : ProgressLimits
            Longest silences allowed.

        Yields
        ------
        callable
            To be called for each piece of the answer.

        Raises
        ------
        UpstreamSilent
            The connection made no progress.
        """
        clock = self._runtime.clock
        watch = ProgressWatch(clock.monotonic(), limits=limits)
        try:
            async with asyncio.timeout(None) as timeout:
                monitor = start_task(
                    self._monitor(address, watch, timeout), name="progress watch"
                )
                try:
                    yield lambda: watch.note_bytes(clock.monotonic())
                finally:
                    monitor.cancel()
        except TimeoutError as error:
            if not timeout.expired():
                raise
            answers = monitor.result() is Step.REPLACE
            detail = f"{address}: silent, fresh connection answers: {answers}"
            raise UpstreamSilent(detail, answers=answers) from error

    async def _monitor(self, address, watch, timeout):
        """Expire `timeout` when the connection is dead; return the last step."""
        while True:
            now = self._runtime.clock.monotonic()
            step = watch.step(now)
            if step is Step.PROBE:
                watch.note_probe(await self.probe(address))
            elif step is Step.WAIT:
                await asyncio.sleep(watch.next_step_at() - now)
            else:
                timeout.reschedule(asyncio.get_running_loop().time())
                return step

    @contextlib.asynccontextmanager
    async def _post(self, session, url, body, headers, **options):
        data = body.encode()
        headers = {"Content-Type": "application/json", **headers}
        try:
            post = session.post(url, data=data, headers=headers, **options)
            async with post as response:
                _check_final(url, response)
                _check_leaving(url, response)
                yield response
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(str(error), sent=False) from error
        except aiohttp.ServerTimeoutError as error:
            unsent = isinstance(error, aiohttp.ConnectionTimeoutError)
            detail = f"{url}: {type(error).__name__}"
            raise UpstreamError(detail, sent=not unsent) from error
        except (aiohttp.ClientError, ConnectionError, asyncio.TimeoutError) as error:
            detail = f"{url}: {type(error).__name__}"
            raise UpstreamError(detail, sent=True, crashed=True) from error


class UpstreamLeaving(UpstreamError):
    """An upstream is shutting down and refuses new requests.

    Parameters
    ----------
    seconds : float
        Time after which it may be tried again.
    """

    counts_as_failure = False

    def __init__(self, detail, *, seconds):
        super().__init__(detail, sent=True)
        self.seconds = seconds


class UpstreamSilent(UpstreamError):
    """A connection went silent while the upstream ran a request.

    Parameters
    ----------
    answers : bool
        Whether the upstream answers on a new connection.
    """

    def __init__(self, detail, *, answers):
        super().__init__(detail, sent=True)
        self.counts_as_failure = not answers


class UpstreamRefusal(SapphireyardError):
    """An upstream gave a complete answer with an error status."""

    code = "upstream_failed"

    def __init__(self, status, text):
        super().__init__(f"the upstream answered with status {status}")
        self.status = status
        self.text = text


def _check_final(url, response):
    """Raise `UpstreamError` for an interim answer, which answers no request."""
    if response.status < FIRST_FINAL_STATUS:
        detail = f"{url}: status {response.status} is no final answer"
        raise UpstreamError(detail, sent=True)


def _check_leaving(url, response):
    """Raise `UpstreamLeaving` for a closing 503 answer with ``Retry-After``."""
    seconds = response.headers.get("Retry-After", "")
    closing = response.headers.get("Connection", "").lower() == "close"
    if response.status == UNAVAILABLE_STATUS and closing and seconds.isdecimal():
        raise UpstreamLeaving(f"{url}: upstream is leaving", seconds=float(seconds))


async def _check_end(address, response):
    """Raise `UpstreamError` if a service crashed while it answered.

    If only the end of the connection ends an answer, the service must still accept
    connections: those of a crashed process may be closed in order.
    """
    if find_framing(response) != CONNECTION:
        return
    if await ended_its_answer(lambda: is_listening(address)):
        return
    raise UpstreamError(
        f"{address}: down after an answer without a length", sent=True, crashed=True
    )


def _join_data(event):
    """Return the data of an event; None if it has none."""
    lines = [line[5:].strip() for line in event.split("\n") if line[:5] == "data:"]
    return "\n".join(lines) if lines else None


def parse_chunk(data):
    """Return a streamed event's JSON object.

    Raises
    ------
    UpstreamError
        It is not a JSON object, or the engine reports an error in it.
    """
    try:
        chunk = json.loads(data)
    except ValueError as error:
        raise UpstreamError("an event is not JSON", sent=True) from error
    if not isinstance(chunk, dict) or "error" in chunk:
        raise UpstreamError(
            "an event is not a JSON object or reports an error", sent=True
        )
    return chunk
