"""The orders that a model engine takes, with or without a fencing check."""

import asyncio

from aiohttp import web

ORDER_KINDS = ("load_model", "unload_model", "load_adapter", "unload_adapter", "role")


class OrderBook:
    """Orders applied so far and the state they led to.

    Parameters
    ----------
    models : sequence of str
        Models loaded at the start; when empty, any model is served.
    check_fencing : bool
        Whether orders with an old fencing number are refused.
    load_seconds : float
        Time that loading a model or adapter takes.
    """

    def __init__(self, *, models, check_fencing, load_seconds):
        self.applied = []
        self.highest_fencing = 0
        self._any_model = not models
        self._check_fencing = check_fencing
        self._load_seconds = load_seconds
        self._models = {name: "" for name in models}
        self._adapters = {}
        self._role = "serve"

    def add_routes(self, router):
        """Add the routes of orders."""
        router.add_post("/orders", self._take)
        router.add_get("/orders", self._show)

    def has_model(self, name):
        """Return whether requests for a model or adapter are served."""
        return self._any_model or name in self._models or name in self._adapters

    async def _take(self, request):
        order = await request.json()
        if order.get("kind") not in ORDER_KINDS:
            return web.json_response({"detail": "unknown kind"}, status=400)
        fencing = int(order.get("fencing", 0))
        if self._check_fencing and fencing < self.highest_fencing:
            detail = {"detail": "old fencing number", "highest": self.highest_fencing}
            return web.json_response(detail, status=409)
        self.highest_fencing = max(self.highest_fencing, fencing)
        if order["kind"].startswith("load"):
            await asyncio.sleep(self._load_seconds)
        self._apply(order)
        return web.json_response(self.to_json())

    def _apply(self, order):
        kind, name = order["kind"], order.get("name", "")
        self.applied.append(order)
        if kind == "load_model":
            self._models[name] = order.get("version", "")
        elif kind == "unload_model":
            self._models.pop(name, None)
        elif kind == "load_adapter":
            self._adapters[name] = order.get("version", "")
        elif kind == "unload_adapter":
            self._adapters.pop(name, None)
        else:
            self._role = name

    async def _show(self, request):
        return web.json_response(self.to_json())

    def to_json(self):
        """Return the log and the state for ``GET /orders``."""
        return {
            "orders": self.applied,
            "highest_fencing": self.highest_fencing,
            "models": self._models,
            "adapters": self._adapters,
            "role": self._role,
        }
