"""TCP relays whose connections can be delayed, cut or silenced."""

import asyncio
import contextlib
import dataclasses
from typing import Annotated, Literal

from aiohttp import web

from standins._serving import LOOPBACK, Faults, Flag, ServerOptions, StandIn, run_main

CHUNK_BYTES = 64 * 1024


@dataclasses.dataclass
class RelayOptions(ServerOptions):
    """Flags of the relay; `target` opens a first relay named ``default``."""

    target: Annotated[str, Flag] = ""


class RelayFaults(Faults):
    """Faults of one relay.

    Attributes
    ----------
    silent : {'none', 'both', 'up', 'down'}
        Directions in which no byte passes, on old and new connections; ``up``
        is towards the target.
    refuse : bool
        Close new connections at once.
    delay_seconds : float
        Time that each piece waits.
    """

    silent: Literal["none", "both", "up", "down"] = "none"
    refuse: bool = False
    delay_seconds: float = 0.0


class Relay:
    """Passes bytes between callers and one target address.

    Parameters
    ----------
    target : str
        ``IP:PORT`` to connect to.

    Attributes
    ----------
    faults : RelayFaults
        Faults in force.
    address : str
        ``IP:PORT`` to give to callers, once started.
    """

    def __init__(self, target):
        self.target = target
        self.faults = RelayFaults()
        self.address = ""
        self._server = None
        self._connections = set()

    @property
    def connection_count(self):
        """int: Open connections."""
        return len(self._connections)

    async def start(self, *, port=0):
        """Listen on 127.0.0.1."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, port)
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{bound}"

    async def stop(self):
        """Stop listening and cut all connections."""
        self._server.close()
        self.cut()
        await asyncio.sleep(0)

    def cut(self):
        """Cut the open connections."""
        for connection in list(self._connections):
            connection.cut()

    def silence_open(self):
        """Let the open connections pass no byte any more; new ones work."""
        for connection in self._connections:
            connection.silenced = True

    async def _accept(self, reader, writer):
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self, writer, far_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump(reader, far_writer, "up"),
                connection.pump(far_reader, writer, "down"),
            )
        finally:
            connection.cut()
            self._connections.discard(connection)


class _Connection:
    def __init__(self, relay, writer, far_writer):
        self.silenced = False
        self._relay = relay
        self._writers = (writer, far_writer)

    def cut(self):
        for writer in self._writers:
            writer.transport.abort()

    async def pump(self, reader, writer, direction):
        """Pass bytes one way until the sender ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                faults = self._relay.faults
                if faults.delay_seconds:
                    await asyncio.sleep(faults.delay_seconds)
                if self._is_silent(direction):
                    continue
                writer.write(data)
                await writer.drain()
            if not self._is_silent(direction):
                writer.close()

    def _is_silent(self, direction):
        return self.silenced or self._relay.faults.silent in ("both", direction)


class RelayServer(StandIn):
    """HTTP control of relays by name.

    ``POST /relays`` with ``name`` and ``target`` opens one, ``GET /relays``
    shows their addresses, ``POST /relays/NAME/faults`` sets faults,
    ``POST /relays/NAME/cut`` and ``POST /relays/NAME/silence`` meet the
    connections that are open.
    """

    def __init__(self, options=None):
        self.options = options or RelayOptions()
        self.relays = {}
        super().__init__()
        self.app.cleanup_ctx.append(self._run)

    def add_routes(self, router):
        router.add_get("/relays", self._show)
        router.add_post("/relays", self._open)
        router.add_post("/relays/{name}/faults", self._set_relay_faults)
        router.add_post("/relays/{name}/cut", self._cut)
        router.add_post("/relays/{name}/silence", self._silence)

    async def _run(self, app):
        if self.options.target:
            await self._add("default", self.options.target)
        yield
        for relay in self.relays.values():
            await relay.stop()

    async def _add(self, name, target):
        relay = Relay(target)
        await relay.start()
        self.relays[name] = relay
        return relay

    async def _show(self, request):
        return web.json_response(
            {
                name: {
                    "address": relay.address,
                    "target": relay.target,
                    "connections": relay.connection_count,
                    "faults": relay.faults.model_dump(),
                }
                for name, relay in self.relays.items()
            }
        )

    async def _open(self, request):
        body = await request.json()
        relay = await self._add(body["name"], body["target"])
        return web.json_response({"address": relay.address})

    async def _set_relay_faults(self, request):
        relay = self._find(request)
        relay.faults = relay.faults.merge(await request.json())
        return web.json_response(relay.faults.model_dump())

    async def _cut(self, request):
        self._find(request).cut()
        return web.json_response({})

    async def _silence(self, request):
        self._find(request).silence_open()
        return web.json_response({})

    def _find(self, request):
        relay = self.relays.get(request.match_info["name"])
        if relay is None:
            raise web.HTTPNotFound
        return relay


if __name__ == "__main__":
    run_main(RelayOptions, RelayServer)
