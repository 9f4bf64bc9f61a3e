"""Upstreams that are sound but silent for a second."""

import asyncio
import socket
import sys
import unittest

from sapphireyard.exchange.calls import Dispatch, ProgramCall, Upstream
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter.upstreams import PlatformSender  # noqa: E402

BODY = b"x" * 3_000_000
"""More than the buffers of a connection hold."""
TIMEOUT_SECONDS = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n"


class PausingUpstream:
    """Reads one request after a pause, and pauses again within its answer."""

    def __init__(self, pause):
        self._pause = pause
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._socket.setblocking(False)
        ip, port = self._socket.getsockname()
        self.address = f"{ip}:{port}"

    async def serve(self):
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(self._socket)
        with self._socket, connection:
            connection.setblocking(False)
            await asyncio.sleep(self._pause)
            received = 0
            while received < len(BODY):
                received += len(await loop.sock_recv(connection, 65536))
            await loop.sock_sendall(connection, HEAD + b"o")
            await asyncio.sleep(self._pause)
            await loop.sock_sendall(connection, b"k")


class PauseTest(unittest.IsolatedAsyncioTestCase):
    async def test_upstream_that_is_silent_for_a_second_is_not_given_up(self):
        sender = PlatformSender()
        await sender.on_start()
        self.addAsyncCleanup(sender.on_stop)
        for pause in (0.0, 1.3):
            with self.subTest(pause):
                upstream = PausingUpstream(pause)
                serving = asyncio.ensure_future(upstream.serve())
                call = ProgramCall("r1", "POST", "/book/1", "h", "", 0.0)
                target = Upstream("up-1", "plain", upstream.address)
                dispatch = Dispatch(call, target, "c", BODY, TIMEOUT_SECONDS)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    async with sender.send(dispatch) as answer:
                        body = b"".join([chunk async for chunk in answer.chunks])
                self.assertEqual(body, b"ok")
                await serving


if __name__ == "__main__":
    unittest.main()
