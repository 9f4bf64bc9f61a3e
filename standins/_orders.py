"""The orders that a model engine accepts, with or without a fencing check."""

import asyncio

from aiohttp import web

ORDER_KINDS = ("load_model", "unload_model", "load_adapter", "unload_adapter", "role")


class OrderHandler:
    """Applies orders and keeps the log of orders and the resulting state.

    Parameters
    ----------
    models : sequence of str
        Models loaded at startup; if empty, every model is served.
    check_fencing : bool
        Whether to reject orders whose fencing number is below the highest so far.
    load_seconds : float
        Time taken to load a model or adapter.
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
        """Register the ``/orders`` routes."""
        router.add_post("/orders", self._post)
        router.add_get("/orders", self._get)

    def has_model(self, name):
        """Return whether the model or adapter `name` is served."""
        return self._any_model or name in self._models or name in self._adapters

    async def _post(self, request):
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

    async def _get(self, request):
        return web.json_response(self.to_json())

    def to_json(self):
        """Return the body of ``GET /orders``: the log of orders and the state."""
        return {
            "orders": self.applied,
            "highest_fencing": self.highest_fencing,
            "models": self._models,
            "adapters": self._adapters,
            "role": self._role,
        }
