"""The platform's list of live and leaving hosts, which lags behind reality."""

import dataclasses
import time
from collections import deque
from typing import Annotated, Literal

from aiohttp import web
from pydantic import BaseModel, TypeAdapter

from standins._serving import Faults, Flag, ServerOptions, StandIn, run_main


@dataclasses.dataclass
class HostsOptions(ServerOptions):
    """Flags of the host list; `lag_seconds` is the age of the returned list."""

    lag_seconds: Annotated[float, Flag] = 0.0


class ListedHost(BaseModel):
    """One host in the list."""

    name: str
    address: str = ""
    state: Literal["live", "leaving"] = "live"


class HostsFaults(Faults):
    """Faults of the host list; a `lag_seconds` of None uses the flag's value."""

    refuse: bool = False
    lag_seconds: float | None = None


class HostsServer(StandIn):
    """The host list: ``PUT /hosts`` sets it, ``GET /hosts`` returns it with a lag."""

    faults_class = HostsFaults

    def __init__(self, options=None):
        self.options = options or HostsOptions()
        self._lists = deque([(float("-inf"), [])])
        super().__init__()

    def add_routes(self, router):
        router.add_get("/hosts", self._get)
        router.add_put("/hosts", self._put)

    async def apply_faults(self, request):
        if self.faults.refuse and request.method == "GET":
            return web.Response(status=503)

    async def _get(self, request):
        lag = self.faults.lag_seconds
        if lag is None:
            lag = self.options.lag_seconds
        limit = time.monotonic() - lag
        rows = [rows for since, rows in self._lists if since <= limit][-1]
        return web.json_response({"hosts": [row.model_dump() for row in rows]})

    async def _put(self, request):
        rows = TypeAdapter(list[ListedHost]).validate_python(await request.json())
        self._lists.append((time.monotonic(), rows))
        return web.json_response({"hosts": [row.model_dump() for row in rows]})


if __name__ == "__main__":
    run_main(HostsOptions, HostsServer)
