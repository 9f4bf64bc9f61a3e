"""The store of the users' platform: objects by kind, conditional writes, watches."""

import asyncio
import itertools
import json
import weakref

from aiohttp import web

from standins._serving import StandIn, StoreFaults, drop_connection, hang

PAGE_ITEMS = 500
"""Maximum number of objects per page."""


class JsonText:
    """A value that is answered as it was written, whether or not it can be decoded."""

    def __init__(self, text):
        self.text = text


class SiteStoreFaults(StoreFaults):
    """Faults of the store.

    Attributes
    ----------
    history_from : int
        Watches that start before this revision get status 410.
    """

    history_from: int = 0


def _answer_json(value, *, status=200):
    texts = []

    def encode(part):
        texts.append(part.text)
        return f"\0{len(texts) - 1}\0"

    body = json.dumps(value, default=encode)
    for number, text in enumerate(texts):
        body = body.replace(f'"\\u0000{number}\\u0000"', text)
    return web.Response(
        body=body.encode(), status=status, content_type="application/json"
    )


class SiteStore(StandIn):
    """The in-memory store.

    Attributes
    ----------
    calls : int
        Number of calls so far.
    page_items : int
        Maximum number of objects per page.
    """

    faults_class = SiteStoreFaults

    def __init__(self):
        self._objects = {}
        self._events = []
        self._revisions = itertools.count(2)
        self._revision = 1
        self._changed = asyncio.Event()
        self._connections = weakref.WeakSet()
        self._silent = weakref.WeakSet()
        self.calls = 0
        self.page_items = PAGE_ITEMS
        super().__init__()

    def add_routes(self, router):
        router.add_get("/v1/objects/{kind}", self._list)
        router.add_post("/v1/objects/{kind}", self._create)
        router.add_get("/v1/objects/{kind}/{name}", self._get)
        router.add_put("/v1/objects/{kind}/{name}", self._put)
        router.add_put("/v1/objects/{kind}/{name}/status", self._put_status)
        router.add_delete("/v1/objects/{kind}/{name}", self._delete)

    def on_faults_changed(self):
        self._notify_watches()

    async def apply_faults(self, request):
        self.calls += 1
        if request.transport is not None:
            self._connections.add(request.transport)
        await self.faults.delay()
        await self._hang_if_silent(request)
        return await self.faults.apply_outage(request)

    def silence_connections(self):
        """Answer nothing more on the connections that are open now."""
        self._silent |= self._connections

    async def _hang_if_silent(self, request):
        if request.transport in self._silent:
            await hang()

    def put(self, kind, name, spec):
        """Write an object, as an operator or an upstream does."""
        return self._write(kind, name, spec=spec)

    def put_text(self, kind, name, text):
        """Write an object with any JSON text, as another writer may."""
        return self._write(kind, name, spec=JsonText(text))

    def remove(self, kind, name):
        """Remove an object."""
        item = self._objects.pop((kind, name))
        self._record_event(kind, item, deleted=True)

    def read(self, kind, name):
        """Return the object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def _write(self, kind, name, **fields):
        old = self._objects.get((kind, name))
        item = dict(old or {"spec": None, "status": None})
        item.update(fields)
        if old is not None and all(old[key] == item[key] for key in fields):
            return old
        revision = next(self._revisions)
        created = old["metadata"]["create-revision"] if old else revision
        item["metadata"] = {
            "name": name,
            "revision": revision,
            "create-revision": created,
            "finalizers": [],
            "deleting": False,
        }
        self._objects[kind, name] = item
        self._record_event(kind, item, deleted=False)
        return item

    def _record_event(self, kind, item, *, deleted):
        self._revision = item["metadata"]["revision"]
        if deleted:
            self._revision = next(self._revisions)
        self._events.append((self._revision, kind, item, deleted))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _list(self, request):
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[: self.page_items]]
        return _answer_json(
            {
                "items": items,
                "more-pages": len(names) > self.page_items,
                "current-rev": self._revision,
            }
        )

    async def _watch(self, request, kind):
        after = int(request.query["watch"])
        if after < self.faults.history_from:
            return web.Response(status=410)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["wait-ms"]) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, each, item, deleted in self._events
                if each == kind and revision > after
            ]
            remaining = deadline - loop.time()
            await self._hang_if_silent(request)
            if events or remaining <= 0:
                return _answer_json({"events": events, "current-rev": self._revision})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue
            response = await self.faults.apply_outage(request)
            if response is not None:
                return response

    async def _get(self, request):
        item = self._objects.get(self._key(request))
        if item is None:
            return web.Response(status=404)
        return _answer_json(item)

    async def _create(self, request):
        body = await request.json()
        key = request.match_info["kind"], body["metadata"]["name"]
        if key in self._objects:
            return _answer_json(self._objects[key], status=409)
        return self._answer(request, self._write(*key, spec=body.get("spec")))

    async def _put(self, request):
        return await self._replace(request, "spec")

    async def _put_status(self, request):
        return await self._replace(request, "status")

    async def _replace(self, request, field):
        body = await request.json()
        key = self._key(request)
        item = self._objects.get(key)
        if item is None:
            return web.Response(status=404)
        expected = body.get("metadata", {}).get("revision")
        if expected is not None and expected != item["metadata"]["revision"]:
            return _answer_json(item, status=409)
        return self._answer(request, self._write(*key, **{field: body.get(field)}))

    async def _delete(self, request):
        key = self._key(request)
        item = self._objects.get(key)
        if item is None:
            return web.Response(status=404)
        expected = request.query.get("revision")
        if expected is not None and int(expected) != item["metadata"]["revision"]:
            return _answer_json(item, status=409)
        self.remove(*key)
        return self._answer(request, item)

    def _answer(self, request, item):
        if self.faults.consume_lost_answer():
            return drop_connection(request)
        return _answer_json(item)

    @staticmethod
    def _key(request):
        return request.match_info["kind"], request.match_info["name"]
