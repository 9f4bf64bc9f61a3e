"""Tests of the stand-ins of engines, services, hosts and the network."""

import asyncio
import json
import signal
import sys
import unittest

import aiohttp

from standins._serving import serving
from standins.answers import PROGRAM_HEADER, answer_text, count_tokens
from standins.engine import EngineOptions, EngineServer
from standins.hosts import HostsServer
from standins.relay import Relay
from standins.service import ServiceOptions, ServiceServer

MESSAGES = [{"role": "user", "content": "where does the sofa go " * 20}]


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.addAsyncCleanup(self.session.close)

    async def serve(self, server):
        context = serving(server.app)
        address = await context.__aenter__()
        self.addAsyncCleanup(context.__aexit__, None, None, None)
        return f"http://{address}"

    async def post(self, url, body, **options):
        async with self.session.post(url, json=body, **options) as response:
            return response.status, await response.json()

    async def get(self, url):
        async with self.session.get(url) as response:
            return await response.json()


class EngineTest(StandInTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        options = EngineOptions(scale=0.01, lag_seconds=0.0, event_gap=2)
        self.engine = EngineServer(options)
        self.url = await self.serve(self.engine)

    async def complete(self, messages, program="p", **options):
        body = {"model": "m", "messages": messages, "max_tokens": 20, **options}
        return await self.post(
            self.url + "/v1/chat/completions", body, headers={PROGRAM_HEADER: program}
        )

    async def test_second_turn_uses_the_cache(self):
        status, first = await self.complete(MESSAGES)
        self.assertEqual(status, 200)
        reply = first["choices"][0]["message"]
        self.assertEqual(reply["content"], answer_text(MESSAGES, 20))
        self.assertEqual(first["usage"]["prompt_tokens"], count_tokens(MESSAGES[0]))
        more = [*MESSAGES, reply, {"role": "user", "content": "and the lamp"}]
        _, second = await self.complete(more)
        cached = second["usage"]["prompt_tokens_details"]["cached_tokens"]
        self.assertGreaterEqual(cached, 96)
        _, other = await self.complete(more, program="q")
        self.assertEqual(other["usage"]["prompt_tokens_details"]["cached_tokens"], 0)
        held = await self.get(self.url + "/cache")
        self.assertEqual(set(held["programs"]), {"p", "q"})
        events = await self.get(self.url + "/cache/events?after=0")
        self.assertEqual([e["number"] for e in events["events"]], [1, 3])
        await self.post(self.url + "/cache/release", {"program": "p"})
        held = await self.get(self.url + "/cache")
        self.assertEqual(set(held["programs"]), {"q"})

    async def test_export_and_import(self):
        _, first = await self.complete(MESSAGES)
        _, exported = await self.post(self.url + "/cache/export", {"program": "p"})
        other = EngineServer(EngineOptions(scale=0.01))
        address = await self.serve(other)
        _, taken = await self.post(address + "/cache/import", exported)
        self.assertEqual(taken["tokens"], exported["tokens"])
        self.assertGreater(taken["tokens"], 0)

    async def read_stream(self, **faults):
        self.engine.faults = self.engine.faults.merge(faults)
        body = {"model": "m", "messages": MESSAGES, "max_tokens": 8, "stream": True}
        body["stream_options"] = {"include_usage": True}
        url = self.url + "/v1/chat/completions"
        async with self.session.post(url, json=body) as response:
            async for line in response.content:
                if line.startswith(b"data: "):
                    yield line[len(b"data: ") :].strip().decode()

    async def test_stream(self):
        lines = [line async for line in self.read_stream()]
        self.assertEqual(lines[-1], "[DONE]")
        chunks = [json.loads(line) for line in lines[:-1]]
        deltas = [c["choices"][0]["delta"] for c in chunks if c["choices"]]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.assertEqual(text, answer_text(MESSAGES, 8))
        self.assertIn("usage", chunks[-1])

    async def test_silent_stream_and_cancel(self):
        stream = self.read_stream(silent_after_tokens=2)
        for _ in range(2):
            await anext(stream)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await anext(stream)
        await stream.aclose()
        while self.engine.timing.load.running:
            await asyncio.sleep(0.001)

    async def test_faults(self):
        async with self.session.post(
            self.url + "/faults", json={"refuse": True}
        ) as response:
            self.assertEqual(response.status, 200)
        self.assertEqual((await self.complete(MESSAGES))[0], 503)
        status, _ = await self.post(self.url + "/faults", {"no_such": True})
        self.assertEqual(status, 400)
        exits = []
        self.engine.exit = exits.append
        await self.post(self.url + "/faults", {"refuse": False, "crash_marker": "sofa"})
        await self.complete(MESSAGES)
        self.assertEqual(exits, [1])

    async def test_leaked_keys_are_counted(self):
        headers = {"X-Any": "syk_0123456789abcdef"}
        body = {"model": "m", "messages": MESSAGES}
        await self.post(self.url + "/v1/chat/completions", body, headers=headers)
        seen = await self.get(self.url + "/executions")
        self.assertEqual((seen["keys_seen"], seen["total"]), (1, 1))
        self.assertEqual(seen["authorization_seen"], 0)

    async def test_fencing(self):
        for fencing, statuses in (("check", [200, 409]), ("ignore", [200, 200])):
            with self.subTest(fencing):
                engine = EngineServer(EngineOptions(fencing=fencing, models="a"))
                url = await self.serve(engine) + "/orders"
                order = {"kind": "load_model", "name": "b", "fencing": 2}
                first, _ = await self.post(url, order)
                second, _ = await self.post(url, {**order, "fencing": 1})
                self.assertEqual([first, second], statuses)
                self.assertIn("b", (await self.get(url))["models"])


class ServiceTest(StandInTest):
    CASES = [
        ("before", False, [0, 1]),
        ("after", False, [1, 2]),
        ("after", True, [1, 1]),
    ]

    async def test_drop_before_or_after_execution(self):
        for moment, idempotent, totals in self.CASES:
            with self.subTest(moment, idempotent=idempotent):
                server = ServiceServer(ServiceOptions(idempotent=idempotent))
                url = await self.serve(server) + "/book"
                server.faults = server.faults.merge({"drop": moment, "count": 1})
                headers = {"Idempotency-Key": "k"}
                with self.assertRaises(aiohttp.ClientError):
                    await self.post(url, {"day": 1}, headers=headers)
                seen = [server.counts.executions.total()]
                _, answer = await self.post(url, {"day": 1}, headers=headers)
                seen.append(server.counts.executions.total())
                self.assertEqual(seen, totals)
                self.assertEqual(answer["request"], {"day": 1})


class HostsTest(StandInTest):
    async def test_lag(self):
        server = HostsServer()
        url = await self.serve(server) + "/hosts"
        async with self.session.put(url, json=[{"name": "a", "state": "leaving"}]):
            pass
        self.assertEqual((await self.get(url))["hosts"][0]["state"], "leaving")
        server.faults = server.faults.merge({"lag_seconds": 60})
        self.assertEqual((await self.get(url))["hosts"], [])


class RelayTest(StandInTest):
    async def test_open_connections_go_silent(self):
        url = await self.serve(ServiceServer())
        relay = Relay(url.removeprefix("http://"))
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        through = f"http://{relay.address}/healthz"
        await self.get(through)
        relay.silence_connections()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.get(through)
        await self.get(through)
        relay.cut()
        relay.faults = relay.faults.merge({"refuse": True})
        with self.assertRaises(aiohttp.ClientError):
            await self.get(through)


class ProcessTest(StandInTest):
    async def test_processes_start_and_stop(self):
        for name in ("objects", "engine", "service", "hosts", "relay"):
            with self.subTest(name):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    f"standins.{name}",
                    "--port",
                    "0",
                    stdout=asyncio.subprocess.PIPE,
                )
                try:
                    line = (await process.stdout.readline()).decode().split()
                    self.assertEqual(line[:2], ["listening", "on"])
                    await self.get(f"http://{line[2]}/healthz")
                finally:
                    process.send_signal(signal.SIGTERM)
                self.assertEqual(await process.wait(), 0)
