"""What all stand-ins share: options, start and end, and faults over HTTP."""

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

STOP_SECONDS = 0.2
"""Time that open requests get at the end; tests also cover cut ones."""

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class ServerOptions:
    """Flags of each stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help="Port; 0 takes a free one.")] = 0


class Faults(BaseModel):
    """Faults of a stand-in; every default means no fault."""

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    def merge(self, changes):
        """Return a copy with the fields of `changes` replaced."""
        return type(self).model_validate({**self.model_dump(), **changes})


class StandIn:
    """Base of the HTTP stand-ins.

    Attributes
    ----------
    faults : Faults
        Faults in force.
    app : aiohttp.web.Application
        The server to run.
    exit : callable
        Ends the process with a status; tests may replace it.
    """

    faults_class = Faults

    def __init__(self):
        self.faults = self.faults_class()
        self.exit = os._exit
        self.app = web.Application(
            middlewares=[self._middleware], client_max_size=64 * 1024 * 1024
        )
        self.app.router.add_get("/faults", self._show_faults)
        self.app.router.add_post("/faults", self._set_faults)
        self.app.router.add_delete("/faults", self._clear_faults)
        self.app.router.add_get("/healthz", self._answer_health)
        self.add_routes(self.app.router)

    def add_routes(self, router):
        """Add the stand-in's own routes."""

    async def strike(self, request):
        """Carry out faults before `request`; return a response to end it."""

    def faults_changed(self):
        """React to new faults."""

    @web.middleware
    async def _middleware(self, request, handler):
        if request.path == "/faults":
            return await handler(request)
        response = await self.strike(request)
        return response if response is not None else await handler(request)

    async def _answer_health(self, request):
        return web.json_response({"healthy": True})

    async def _show_faults(self, request):
        return web.json_response(self.faults.model_dump())

    async def _set_faults(self, request):
        try:
            self.faults = self.faults.merge(await request.json())
        except ValidationError as error:
            return web.json_response({"detail": str(error)}, status=400)
        self.faults_changed()
        return await self._show_faults(request)

    async def _clear_faults(self, request):
        self.faults = self.faults_class()
        self.faults_changed()
        return await self._show_faults(request)


def drop_connection(request):
    """Cut the connection of `request` without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def hang():
    """Wait until the client or the server ends the request."""
    await asyncio.Event().wait()


class StoreFaults(Faults):
    """Faults of a store, whatever its interface.

    Attributes
    ----------
    outage : {'none', 'refuse', 'hang', 'drop'}
        What meets each call: status 503, no answer, or a cut connection.
    delay_seconds : float
        Time that each call waits first.
    lose_answers : int
        How many coming writes take effect and lose their answer.
    """

    outage: Literal["none", "refuse", "hang", "drop"] = "none"
    delay_seconds: float = 0.0
    lose_answers: int = 0

    async def delay(self):
        """Wait as long as each call does."""
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)

    def takes_answer(self):
        """Return whether the answer of this write is to be lost; counts it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def meet_outage(self, request):
        """Return what meets a call in an outage, or None without one."""
        if self.outage == "refuse":
            return web.Response(status=503)
        if self.outage == "drop":
            return drop_connection(request)
        if self.outage == "hang":
            await hang()
        return None


@contextlib.asynccontextmanager
async def serving(app, *, port=0):
    """Serve `app` on 127.0.0.1; yield the address as ``IP:PORT``."""
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=STOP_SECONDS
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, LOOPBACK, port).start()
        yield f"{LOOPBACK}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


async def run_until_signal(app, *, port=0):
    """Serve `app` until SIGTERM or SIGINT and print its address first."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with serving(app, port=port) as address:
        print(f"listening on {address}", flush=True)
        await stop.wait()


def run_main(options_class, build):
    """Parse the flags of a stand-in and run it; `build` takes the options."""
    options = cappa.parse(options_class, completion=False)

    async def run():
        await run_until_signal(build(options).app, port=options.port)

    asyncio.run(run())
