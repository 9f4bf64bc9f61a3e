"""Tests of the callers' interface without other services."""

import asyncio
import unittest
from types import SimpleNamespace

import aiohttp

from sapphireyard.callers.gateway import Gateway
from sapphireyard.clocks import Clock
from sapphireyard.configuration.tables import Route
from sapphireyard.exceptions import CallError
from sapphireyard.intake import Intake
from sapphireyard.streams.generated_messages import AnswerEnd, AnswerStart

WAIT_SECONDS = 5.0
ROUTES = {
    "open": Route("open", "service", "p", repeatable=True, open=True),
    "closed": Route("closed", "service", "p", repeatable=True),
}


class FakeConfiguration:
    current = SimpleNamespace(routes=ROUTES)

    def check_fresh(self):
        pass

    def authenticate(self, key):
        if key != "good":
            raise CallError("key_unknown", "the key is not known")
        return SimpleNamespace(customer="c", key_digest="d", operator=False)


class FakePeers:
    """Answers every call with its customer."""

    async def stream(self, host, call, *, timeout):
        yield AnswerStart(200, program=call.program, sequence=1)
        yield AnswerEnd(body=f'{{"customer":"{call.customer}"}}')


class GatewayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        runtime = SimpleNamespace(
            host="a",
            clock=Clock(),
            settings=SimpleNamespace(
                body_bytes=4096,
                body_memory_bytes=2**20,
                header_bytes=4096,
                caller_address="127.0.0.1:0",
            ),
            intake=Intake(),
            configuration=FakeConfiguration(),
            peers=FakePeers(),
            ownership=SimpleNamespace(locate=lambda key: SimpleNamespace(host="a")),
            metrics=SimpleNamespace(
                count=lambda *args, **attributes: None,
                record=lambda *args, **attributes: None,
            ),
        )
        self.gateway = Gateway(runtime)
        await self.gateway.listen()
        self.url = f"http://{self.gateway.address}"
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        await self.session.close()
        await self.gateway.stop()

    async def call(self, route, **headers):
        url = f"{self.url}/v1/call/{route}"
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(url, json={}, headers=headers) as response:
            return response, await response.json(content_type=None)

    async def test_authentication_of_calls(self):
        program = {"Sapphireyard_Program": "p"}
        good = {"Authorization": "Bearer good"}
        bad = {"Authorization": "Bearer bad"}
        cases = [
            ("open route, no key", "open", {}, 200, "public"),
            ("open route, key", "open", good, 200, "c"),
            ("open route, bad key", "open", bad, 401, "key_unknown"),
            ("open route, no key, a program", "open", program, 401, "key_unknown"),
            ("open route, key, a program", "open", good | program, 200, "c"),
            ("closed route, no key", "closed", {}, 401, "key_unknown"),
            ("closed route, key", "closed", good, 200, "c"),
            ("unknown route", "none", good, 404, "route_unknown"),
        ]
        for name, route, headers, status, expected in cases:
            with self.subTest(name):
                response, body = await self.call(route, **headers)
                self.assertEqual(response.status, status)
                self.assertIn(expected, (body.get("code"), body.get("customer")))

    async def test_key_route_size_and_body_are_checked_in_this_order(self):
        """Each request has all faults from one of the steps on."""
        good = {"Authorization": "Bearer good"}
        bad = {"Authorization": "Bearer bad"}
        large = b"{" + b" " * 5000
        chat = "/v1/chat/completions"
        model = b'{"model": "none", "messages": [{"role": "user", "content": "x"}]}'
        cases = [
            ("no key, empty body", "/v1/call/closed", {}, b"", 401),
            ("no key, unknown route", "/v1/call/none", {}, large, 401),
            ("false key, empty body", "/v1/call/closed", bad, b"", 401),
            ("false key, open route", "/v1/call/open", bad, large, 401),
            ("key, unknown route", "/v1/call/none", good, large, 404),
            ("key, too large", "/v1/call/closed", good, large, 413),
            ("key, empty body", "/v1/call/closed", good, b"", 400),
            ("chat, no key, empty body", chat, {}, b"", 401),
            ("chat, no key, unknown model", chat, {}, model, 401),
            ("chat, false key, too large", chat, bad, large, 401),
            ("chat, key, too large", chat, good, large, 413),
            ("chat, key, empty body", chat, good, b"", 400),
            ("chat, key, unknown model", chat, good, model, 404),
        ]
        for name, path, headers, body, status in cases:
            with self.subTest(name):
                url = f"{self.url}{path}"
                async with self.session.post(
                    url, data=body, headers=headers
                ) as response:
                    self.assertEqual(response.status, status)

    async def test_key_is_checked_before_the_body_arrives(self):
        for path in ("/v1/call/closed", "/v1/chat/completions"):
            with self.subTest(path):
                reader, writer = await asyncio.open_connection(
                    *self.gateway.address.split(":")
                )
                head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
                writer.write(head.encode())
                async with asyncio.timeout(WAIT_SECONDS):
                    status = await reader.readline()
                self.assertIn(b" 401 ", status)
                writer.close()

    async def test_draining_host_closes_connections(self):
        for draining, expected in ((False, None), (True, "close")):
            for key in ("good", "bad"):
                with self.subTest(draining=draining, key=key):
                    self.gateway.draining = draining
                    response, _ = await self.call(
                        "closed", Authorization=f"Bearer {key}"
                    )
                    self.assertEqual(response.headers.get("Connection"), expected)
