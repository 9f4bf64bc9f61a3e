"""Adapter for the platform's object API over HTTP."""

import asyncio
import json
from collections import Counter
from urllib.parse import quote

import aiohttp
from yarl import URL

from sapphireyard.answers import (
    CONNECTION,
    build_connector,
    find_framing,
    read_limited,
)
from sapphireyard.exceptions import StoreConflict, StoreUnavailable, WatchExpired
from sapphireyard.storage.stores import ObjectChange, Store, StoredObject, WatchResult

VERSION_HEADER = "Object-Version"

CALL_SECONDS = 2.0
"""Timeout of a call other than a watch."""

CONNECT_SECONDS = 0.5
"""Timeout of opening a connection."""

WATCH_GRACE_SECONDS = 2.0
"""Extra time for the answer to a watch after the watch's own timeout."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Far above any object or page; what exceeds it is no answer."""

CONNECTIONS = 32
"""Limit on open connections, including those of pending watches."""


class ObjectStore(Store):
    """A `Store` at an HTTP address.

    After a call times out, the connection pool it used gets no new calls and
    is closed once its other calls have ended, so that unresponsive
    connections are not reused.

    Parameters
    ----------
    address : str
        For example ``http://127.0.0.1:8080``.
    call_seconds : float, optional
        Timeout of a call other than a watch.

    Attributes
    ----------
    calls : Counter
        Number of calls by kind: get, create, update, delete, list, watch.
    """

    def __init__(self, address, *, call_seconds=CALL_SECONDS):
        self._address = address.rstrip("/")
        self._call_seconds = call_seconds
        self._session = None
        self._running = Counter()
        self.calls = Counter()

    async def get(self, name):
        status, headers, body = await self._call("get", "GET", _object_path(name))
        if status == 404:
            return None
        _check_status(status, body)
        return StoredObject(name, body, _read_version(headers))

    async def create(self, name, value):
        status, headers, body = await self._call(
            "create",
            "PUT",
            _object_path(name),
            headers={"If-None-Match": "*"},
            data=value,
        )
        _check_status(status, body)
        return _read_version(headers)

    async def update(self, name, value, *, expected_version):
        status, headers, body = await self._call(
            "update",
            "PUT",
            _object_path(name),
            headers={"If-Match": str(expected_version)},
            data=value,
        )
        _check_status(status, body)
        return _read_version(headers)

    async def delete(self, name, *, expected_version):
        status, _, body = await self._call(
            "delete",
            "DELETE",
            _object_path(name),
            headers={"If-Match": str(expected_version)},
        )
        _check_status(status, body)

    async def list(self, prefix, *, after="", limit=1000):
        query = f"?prefix={_quote(prefix)}&after={_quote(after)}&limit={limit}"
        status, _, body = await self._call("list", "GET", "/objects" + query)
        _check_status(status, body)
        return [(entry["name"], entry["version"]) for entry in _load_json(body)]

    async def watch(self, prefix, *, after_revision, timeout_seconds):
        query = f"?prefix={_quote(prefix)}&timeout={timeout_seconds:g}"
        if after_revision is not None:
            query += f"&after={after_revision}"
        status, _, body = await self._call(
            "watch",
            "GET",
            "/watch" + query,
            seconds=timeout_seconds + WATCH_GRACE_SECONDS,
        )
        if status == 410:
            raise WatchExpired(f"revision {after_revision} is no longer kept")
        _check_status(status, body)
        answer = _load_json(body)
        changes = tuple(ObjectChange(**change) for change in answer["changes"])
        return WatchResult(changes, answer["revision"])

    async def close(self):
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _call(self, kind, method, path, *, seconds=None, **options):
        self.calls[kind] += 1
        session = self._open_session()
        self._running[session] += 1
        timeout = aiohttp.ClientTimeout(
            total=seconds or self._call_seconds, sock_connect=CONNECT_SECONDS
        )
        url = URL(self._address + path, encoded=True)
        try:
            async with session.request(
                method, url, timeout=timeout, trace_request_ctx=_Attempts(), **options
            ) as response:
                body = await read_limited(response, MAX_ANSWER_BYTES)
                if find_framing(response) == CONNECTION:
                    # A value that broke off could not be told from a whole one.
                    raise StoreUnavailable(f"{kind} {path}: answer without a length")
                return response.status, response.headers, body
        except (asyncio.TimeoutError, TimeoutError) as error:
            self._discard_session(session)
            raise StoreUnavailable(f"no answer to {kind} {path}") from error
        except (aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(f"{kind} {path}: {error!r}") from error
        finally:
            await self._release_session(session)

    def _open_session(self):
        if self._session is None:
            tracing = aiohttp.TraceConfig()
            tracing.on_connection_create_start.append(_refuse_second_attempt)
            tracing.on_connection_reuseconn.append(_refuse_second_attempt)
            self._session = aiohttp.ClientSession(
                connector=build_connector(limit=CONNECTIONS),
                trace_configs=[tracing],
                auto_decompress=False,
            )
        return self._session

    def _discard_session(self, session):
        if self._session is session:
            self._session = None

    async def _release_session(self, session):
        self._running[session] -= 1
        if self._running[session]:
            return
        del self._running[session]
        if self._session is not session:
            await session.close()


class _Attempts:
    """Counts the connections that one call was given."""

    def __init__(self):
        self.count = 0


async def _refuse_second_attempt(session, context, parameters):
    # The client library retries a PUT whose connection was closed. A retried
    # conditional write could report a conflict with its own first attempt.
    attempts = context.trace_request_ctx
    attempts.count += 1
    if attempts.count > 1:
        raise aiohttp.ServerDisconnectedError("connection closed before the answer")


def _object_path(name):
    return "/objects/" + quote(name)


def _quote(text):
    return quote(text, safe="")


def _check_status(status, body):
    if status == 200:
        return
    detail = body[:200].decode(errors="replace")
    if status == 412:
        raise StoreConflict(detail)
    raise StoreUnavailable(f"the store answered status {status}: {detail}")


def _read_version(headers):
    try:
        return int(headers[VERSION_HEADER])
    except (KeyError, ValueError) as error:
        raise StoreUnavailable(f"answer without a version: {error}") from error


def _load_json(body):
    try:
        return json.loads(body)
    except ValueError as error:
        raise StoreUnavailable(f"answer is not JSON: {error}") from error
