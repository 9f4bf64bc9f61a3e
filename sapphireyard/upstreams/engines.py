"""HTTP client for the control interface of model engines: orders and memory."""

import asyncio
import json

import aiohttp

from sapphireyard.answers import build_connector, read_limited
from sapphireyard.exceptions import SapphireyardError
from sapphireyard.upstreams.orders import EngineState

REQUEST_TIMEOUT_SECONDS = 3.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Far above any report; what exceeds it is no answer."""

CONNECT_SECONDS = 1.0

STALE_FENCING_STATUS = 409
"""Status with which an engine refuses a stale fencing number."""


class EngineFailure(SapphireyardError):
    """An engine did not answer as expected; an order may have been applied."""

    code = "engine_failed"


class StaleFencing(EngineFailure):
    """An engine has already taken an order with a newer fencing number."""

    code = "old_fencing"


class EngineClient:
    """Client for the control interface of engines.

    Each request opens a new connection, so that a connection that went silent
    is never reused.
    """

    def __init__(self):
        self._session = None

    async def open(self):
        """Open the session; must be called on the running loop."""
        self._session = aiohttp.ClientSession(
            connector=build_connector(force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self):
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def read_state(self, address):
        """Return the `EngineState` of an engine."""
        answer = await self._request("GET", address, "/orders")
        return EngineState(
            models=answer.get("models", {}),
            adapters=answer.get("adapters", {}),
            role=answer.get("role", ""),
        )

    async def send_order(self, address, body, *, seconds):
        """Send one order and wait until it is applied.

        Raises
        ------
        StaleFencing
            The engine refused the order because its fencing number is stale.
        EngineFailure
            The order may or may not have been applied.
        """
        await self._request("POST", address, "/orders", body=body, seconds=seconds)

    async def read_cached_tokens(self, address):
        """Return the tokens that an engine's cache holds, by program digest."""
        return (await self._request("GET", address, "/cache")).get("programs", {})

    async def release(self, address, digest):
        """Ask an engine to drop the cached state of a program."""
        await self._request("POST", address, "/cache/release", body={"program": digest})

    async def read_load(self, address):
        """Return an engine's load report."""
        return await self._request("GET", address, "/load")

    async def _request(
        self, method, address, path, *, body=None, seconds=REQUEST_TIMEOUT_SECONDS
    ):
        timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        try:
            async with self._session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as response:
                text = (await read_limited(response, MAX_ANSWER_BYTES)).decode(
                    errors="replace"
                )
                status = response.status
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            raise EngineFailure(f"{method} {address}{path}: {error!r}") from error
        if status == STALE_FENCING_STATUS:
            raise StaleFencing(f"{address} refused: {text[:200]}")
        if status != 200:
            raise EngineFailure(f"{method} {address}{path}: status {status}")
        return _parse(text, address)


def _parse(text, address):
    try:
        answer = json.loads(text)
    except ValueError as error:
        raise EngineFailure(f"{address}: answer is not JSON") from error
    if not isinstance(answer, dict):
        raise EngineFailure(f"{address}: answer is not a JSON object")
    return answer
