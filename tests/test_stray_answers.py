"""Tests bytes that follow an answer, for each client that keeps connections."""

import asyncio
import sys
import unittest
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.upstreams.upstreams import Upstreams
from standins.scripted_upstream import End, ScriptedUpstream, build_head
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter.store import PlatformStore  # noqa: E402

ARRIVAL_SECONDS = 0.02
"""Time in which bytes arrive after an answer."""

READ_SECONDS = 1.0


class ServiceClient:
    """Calls a plain service behind the own interface."""

    async def open(self, address):
        self._address = address
        self._upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await self._upstreams.on_start()

    async def close(self):
        await self._upstreams.on_stop()

    async def read(self):
        _, text = await self._upstreams.call_service(
            self._address, "view", "{}", idempotency_key="", repeatable=True
        )
        return int(text)

    @staticmethod
    def build_body(number):
        return b"%d" % number


class PlatformStoreClient:
    """Lists objects of the platform's store."""

    async def open(self, address):
        self._store = PlatformStore(address)

    async def close(self):
        await self._store.close()

    async def read(self):
        objects, _ = await self._store.list_objects("servers")
        return objects[0].revision

    @staticmethod
    def build_body(number):
        item = b'{"metadata":{"name":"x","revision":%d},"spec":{}}' % number
        return b'{"items":[%s],"more-pages":false,"current-rev":%d}' % (item, number)


class ObjectStoreClient:
    """Reads a value of the object API."""

    async def open(self, address):
        self._store = ObjectStore(f"http://{address}")

    async def close(self):
        await self._store.close()

    async def read(self):
        return int((await self._store.get("x")).value)

    @staticmethod
    def build_body(number):
        return b"%d" % number


class StrayAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_after_an_answer_do_not_answer_the_next_request(self):
        """Cases are the client, and the part of another answer that follows one.

        It comes at once or a moment later. The rest comes with the next answer on the
        same connection.
        """
        clients = (ServiceClient, PlatformStoreClient, ObjectStoreClient)
        for client_class in clients:
            stray = build_answer(client_class, 1)
            for pause in (0.0, ARRIVAL_SECONDS):
                for size in (1, len(stray) // 2, len(stray)):
                    with self.subTest(client_class, pause=pause, size=size):
                        await self.check(client_class(), pause, stray, size)

    async def check(self, client, pause, stray, size):
        steps = (build_answer(client, 2), pause, stray[:size], End.STAY)
        server = ScriptedUpstream(
            (build_answer(client, 3), End.STAY),
            first_answers=[steps],
            late=stray[size:],
        )
        await client.open(await server.start())
        self.addAsyncCleanup(server.stop)
        self.addAsyncCleanup(client.close)
        for number in (2, 3):
            async with asyncio.timeout(READ_SECONDS):
                self.assertEqual(await client.read(), number)
            await asyncio.sleep(2 * ARRIVAL_SECONDS)


def build_answer(client, number):
    """Return a complete answer that a client reads as a number."""
    body = client.build_body(number)
    head = build_head("", "Object-Version: 7", f"Content-Length: {len(body)}")
    return head + body
