"""TCP relays whose connections can be delayed, aborted or silenced."""

import asyncio
import contextlib
import dataclasses
from typing import Annotated, Literal

from aiohttp import web

from standins._serving import LOOPBACK, Faults, Flag, ServerOptions, StandIn, run_main

CHUNK_BYTES = 64 * 1024


@dataclasses.dataclass
class RelayOptions(ServerOptions):
    """Flags of the relay; `target` starts a relay named ``default``."""

    target: Annotated[str, Flag] = ""


class RelayFaults(Faults):
    """Faults of one relay.

    Attributes
    ----------
    silent : {'none', 'both', 'up', 'down'}
        Directions in which no data is forwarded, on existing and new
        connections; ``up`` is towards the target.
    refuse : bool
        Abort new connections immediately.
    delay_seconds : float
        Delay before each chunk is forwarded.
    """

    silent: Literal["none", "both", "up", "down"] = "none"
    refuse: bool = False
    delay_seconds: float = 0.0


class Relay:
    """Forwards TCP connections to one target address.

    Parameters
    ----------
    target : str
        ``IP:PORT`` to connect to.

    Attributes
    ----------
    faults : RelayFaults
        Faults currently injected.
    address : str
        ``IP:PORT`` that the relay listens on, once started.
    """

    def __init__(self, target):
        self.target = target
        self.faults = RelayFaults()
        self.address = ""
        self._server = None
        self._connections = set()

    @property
    def connection_count(self):
        """int: Number of open connections."""
        return len(self._connections)

    async def start(self, *, port=0):
        """Listen on 127.0.0.1."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, port)
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{bound_port}"

    async def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.cut()
        await asyncio.sleep(0)

    def cut(self):
        """Abort the open connections."""
        for connection in list(self._connections):
            connection.cut()

    def silence_connections(self):
        """Stop forwarding on the open connections; new ones are not affected."""
        for connection in self._connections:
            connection.silenced = True

    async def _accept(self, reader, writer):
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self, writer, target_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                connection.pump(reader, target_writer, "up"),
                connection.pump(target_reader, writer, "down"),
            )
        finally:
            connection.cut()
            self._connections.discard(connection)


class _Connection:
    def __init__(self, relay, writer, target_writer):
        self.silenced = False
        self._relay = relay
        self._writers = (writer, target_writer)

    def cut(self):
        for writer in self._writers:
            writer.transport.abort()

    async def pump(self, reader, writer, direction):
        """Forward data in one direction until the sender closes."""
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
    """HTTP API for controlling named relays.

    ``POST /relays`` with ``name`` and ``target`` starts one, ``GET /relays``
    lists them with their addresses, ``POST /relays/NAME/faults`` sets faults.
    ``POST /relays/NAME/cut`` and ``POST /relays/NAME/silence`` apply to the
    connections open at that time.
    """

    def __init__(self, options=None):
        self.options = options or RelayOptions()
        self.relays = {}
        super().__init__()
        self.app.cleanup_ctx.append(self._run)

    def add_routes(self, router):
        router.add_get("/relays", self._list)
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

    async def _list(self, request):
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
        self._find(request).silence_connections()
        return web.json_response({})

    def _find(self, request):
        relay = self.relays.get(request.match_info["name"])
        if relay is None:
            raise web.HTTPNotFound
        return relay


if __name__ == "__main__":
    run_main(RelayOptions, RelayServer)
