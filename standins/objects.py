"""The platform's object API over HTTP, backed by an in-memory object store."""

import asyncio
import math
import time
from collections import Counter

from aiohttp import web

from sapphireyard.exceptions import StoreConflict, WatchExpired
from standins._serving import (
    ServerOptions,
    StandIn,
    StoreFaults,
    drop_connection,
    run_main,
)
from standins.memory import MemoryStore

VERSION_HEADER = "Object-Version"

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value."""

WRITES = {"create", "update", "delete"}


class ObjectFaults(StoreFaults):
    """Faults of the object API.

    Attributes
    ----------
    lose_every : int
        Interval at which a write loses its response; 0 for never.
    reads_per_second, writes_per_second : float
        Rates above which calls are answered with 429; 0 for no limit.
    """

    lose_every: int = 0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0


class TokenBucket:
    """A token bucket that holds at most the calls of one second."""

    def __init__(self):
        self._level = math.inf
        self._updated_at = 0.0

    def take(self, now, per_second):
        """Take a token at time `now`; return whether the call is within the rate."""
        if not per_second:
            return True
        refilled = (now - self._updated_at) * per_second
        self._level = min(max(per_second, 1.0), self._level + refilled)
        self._updated_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class ObjectServer(StandIn):
    """The object API.

    Attributes
    ----------
    store : Store
        Holds the objects.
    calls : Counter
        Number of calls by kind; a watch counts once, however long it waits.
    """

    faults_class = ObjectFaults

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.calls = Counter()
        self._write_count = 0
        self._read_bucket = TokenBucket()
        self._write_bucket = TokenBucket()
        self._faults_changed = asyncio.Event()
        super().__init__()

    def add_routes(self, router):
        router.add_get("/statistics", self._get_statistics)
        router.add_get("/objects", self._list)
        router.add_get("/objects/{name:.+}", self._get)
        router.add_put("/objects/{name:.+}", self._put)
        router.add_delete("/objects/{name:.+}", self._delete)
        router.add_get("/watch", self._watch)

    def on_faults_changed(self):
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    async def apply_faults(self, request):
        if request.path in ("/statistics", "/healthz"):
            return None
        kind = _classify_call(request)
        self.calls[kind] += 1
        await self.faults.delay()
        response = await self.faults.apply_outage(request)
        if response is not None:
            return response
        if not self._within_rate(kind):
            return web.Response(status=429, headers={"Retry-After": "1"})
        return None

    def _within_rate(self, kind):
        now = time.monotonic()
        if kind in WRITES:
            return self._write_bucket.take(now, self.faults.writes_per_second)
        return self._read_bucket.take(now, self.faults.reads_per_second)

    async def _get_statistics(self, request):
        return web.json_response(dict(self.calls))

    async def _get(self, request):
        stored = await self.store.get(request.match_info["name"])
        if stored is None:
            return web.Response(status=404)
        headers = {VERSION_HEADER: str(stored.version)}
        return web.Response(body=stored.value, headers=headers)

    async def _put(self, request):
        name = request.match_info["name"]
        value = await request.read()
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        try:
            if request.headers.get("If-None-Match") == "*":
                version = await self.store.create(name, value)
            else:
                expected = int(request.headers["If-Match"])
                version = await self.store.update(
                    name, value, expected_version=expected
                )
        except StoreConflict as error:
            return web.Response(status=412, text=str(error))
        except (KeyError, ValueError) as error:
            return web.Response(status=400, text=f"If-Match: {error}")
        headers = {VERSION_HEADER: str(version)}
        return self._answer_write(request, web.Response(headers=headers))

    async def _delete(self, request):
        try:
            expected = int(request.headers["If-Match"])
            name = request.match_info["name"]
            await self.store.delete(name, expected_version=expected)
        except StoreConflict as error:
            return web.Response(status=412, text=str(error))
        except (KeyError, ValueError) as error:
            return web.Response(status=400, text=f"If-Match: {error}")
        return self._answer_write(request, web.Response())

    def _answer_write(self, request, response):
        self._write_count += 1
        every = self.faults.lose_every
        if self.faults.consume_lost_answer():
            return drop_connection(request)
        if every and self._write_count % every == 0:
            return drop_connection(request)
        return response

    async def _list(self, request):
        pairs = await self.store.list(
            request.query.get("prefix", ""),
            after=request.query.get("after", ""),
            limit=int(request.query.get("limit", "1000")),
        )
        return web.json_response(
            [{"name": name, "version": version} for name, version in pairs]
        )

    async def _watch(self, request):
        after = request.query.get("after")
        watch = asyncio.ensure_future(
            self.store.watch(
                request.query.get("prefix", ""),
                after_revision=None if after is None else int(after),
                timeout_seconds=float(request.query.get("timeout", "30")),
            )
        )
        changed = asyncio.ensure_future(self._faults_changed.wait())
        try:
            await asyncio.wait({watch, changed}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done() and self.faults.outage != "none":
                return await self.faults.apply_outage(request)
            return _encode_watch(await watch)
        except WatchExpired as error:
            return web.Response(status=410, text=str(error))
        finally:
            watch.cancel()
            changed.cancel()


def _encode_watch(result):
    changes = [
        {"name": change.name, "version": change.version, "revision": change.revision}
        for change in result.changes
    ]
    return web.json_response({"changes": changes, "revision": result.revision})


def _classify_call(request):
    if request.path == "/watch":
        return "watch"
    if request.path == "/objects":
        return "list"
    if request.method == "PUT":
        return "create" if "If-None-Match" in request.headers else "update"
    return request.method.lower()


if __name__ == "__main__":
    run_main(ServerOptions, lambda options: ObjectServer())
