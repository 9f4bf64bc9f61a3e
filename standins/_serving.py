"""Common base of the stand-ins: options, startup, shutdown, faults over HTTP."""

import asyncio
import contextlib
import dataclasses
import os
import signal
from typing import Annotated, Literal

import cappa
from aiohttp import web
from pydantic import BaseModel, ConfigDict, ValidationError

LOOPBACK = "127.0.0.1"

SHUTDOWN_SECONDS = 0.2
"""Grace period for open requests at shutdown.

It is short because tests also cover requests that are cut off.
"""

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class ServerOptions:
    """Flags common to all stand-ins."""

    port: Annotated[int, cappa.Arg(long=True, help="Port; 0 picks a free one.")] = 0


class Faults(BaseModel):
    """Faults to inject into a stand-in; the defaults inject none."""

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    def merge(self, changes):
        """Return a copy updated with the fields in `changes`."""
        return type(self).model_validate({**self.model_dump(), **changes})


class StandIn:
    """Base class of the HTTP stand-ins.

    Attributes
    ----------
    faults : Faults
        Faults currently injected.
    app : aiohttp.web.Application
        The application to serve.
    exit : callable
        Terminates the process with an exit status; tests may replace it.
    """

    faults_class = Faults

    def __init__(self):
        self.faults = self.faults_class()
        self.exit = os._exit
        self.app = web.Application(
            middlewares=[self._middleware], client_max_size=64 * 1024 * 1024
        )
        self.app.router.add_get("/faults", self._get_faults)
        self.app.router.add_post("/faults", self._post_faults)
        self.app.router.add_delete("/faults", self._delete_faults)
        self.app.router.add_get("/healthz", self._get_health)
        self.add_routes(self.app.router)

    def add_routes(self, router):
        """Register the routes of the subclass."""

    async def apply_faults(self, request):
        """Inject faults before `request` is handled.

        Returns
        -------
        aiohttp.web.Response or None
            Response that replaces the handler's, if any.
        """

    def on_faults_changed(self):
        """Handle a change of `faults`."""

    @web.middleware
    async def _middleware(self, request, handler):
        if request.path == "/faults":
            return await handler(request)
        response = await self.apply_faults(request)
        return response if response is not None else await handler(request)

    async def _get_health(self, request):
        return web.json_response({"healthy": True})

    async def _get_faults(self, request):
        return web.json_response(self.faults.model_dump())

    async def _post_faults(self, request):
        try:
            self.faults = self.faults.merge(await request.json())
        except ValidationError as error:
            return web.json_response({"detail": str(error)}, status=400)
        self.on_faults_changed()
        return await self._get_faults(request)

    async def _delete_faults(self, request):
        self.faults = self.faults_class()
        self.on_faults_changed()
        return await self._get_faults(request)


def drop_connection(request):
    """Abort the connection of `request` without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def hang():
    """Block until the client or the server cancels the request."""
    await asyncio.Event().wait()


class StoreFaults(Faults):
    """Faults common to the stores.

    Attributes
    ----------
    outage : {'none', 'refuse', 'limit', 'hang', 'drop'}
        Effect on each call: status 503 or 429, no response, or an aborted connection.
    delay_seconds : float
        Delay before each call.
    lose_answers : int
        Number of upcoming writes that take effect but whose response is lost.
    """

    outage: Literal["none", "refuse", "limit", "hang", "drop"] = "none"
    delay_seconds: float = 0.0
    lose_answers: int = 0

    async def delay(self):
        """Wait for `delay_seconds`."""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)

    def consume_lost_answer(self):
        """Return whether to lose the response of this write, and count it down."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def apply_outage(self, request):
        """Apply the outage to a call; return None if there is none."""
        if self.outage == "refuse":
            return web.Response(status=503)
        if self.outage == "limit":
            return web.Response(status=429)
        if self.outage == "drop":
            return drop_connection(request)
        if self.outage == "hang":
            await hang()
        return None


@contextlib.asynccontextmanager
async def serving(app, *, port=0):
    """Serve `app` on 127.0.0.1; yield the address as ``IP:PORT``."""
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_SECONDS
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, LOOPBACK, port).start()
        yield f"{LOOPBACK}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


async def run_until_signal(app, *, port=0):
    """Print the address of `app` and serve it until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with serving(app, port=port) as address:
        print(f"listening on {address}", flush=True)
        await stop.wait()


def run_main(options_class, build):
    """Parse the flags of a stand-in, create it with `build(options)` and run it."""
    options = cappa.parse(options_class, completion=False)

    async def run():
        await run_until_signal(build(options).app, port=options.port)

    asyncio.run(run())
