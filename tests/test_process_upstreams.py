"""Upstreams that leave or go silent, on a site of real processes."""

import socket

import aiohttp

from tests.process_site import ProcessTestCase, wait_until


class LeavingUpstreamTest(ProcessTestCase):
    async def asyncSetUp(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.list_address = f"127.0.0.1:{self.port}"
        self.site_options = {"entries": 1, "flags": ("--host-list", self.list_address)}
        await super().asyncSetUp()
        port = str(self.port)
        await self.cluster.start("hosts", "standins.hosts", "--port", port)

    async def set_hosts(self, **states):
        rows = [{"name": name, "state": state} for name, state in states.items()]
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.list_address}/hosts"
            async with session.put(url, json=rows) as response:
                response.raise_for_status()

    async def count_calls(self, name):
        return (await self.cluster.fetch(name, "/executions"))["total"]

    async def test_leaving_engine_gets_no_new_calls(self):
        client = self.site.build_client("stays")
        await self.chat(client, "first")
        used, other = self.site.engines
        if not await self.count_calls(used):
            used, other = other, used
        await self.set_hosts(**{used: "leaving", other: "live"})

        async def is_known():
            return "upstream state changed" in self.site.read_log("entry-0")

        await wait_until(is_known, "the entry host knows that the engine is leaving")
        before = await self.count_calls(used)
        for text in ("second", "third", "fourth"):
            await self.chat(client, text)
        self.assertEqual(await self.count_calls(used), before)
        self.assertEqual(await self.count_calls(other), 3)


class SilentUpstreamTest(ProcessTestCase):
    site_options = {"entries": 1}

    async def test_turn_on_a_silent_connection_goes_to_another_engine(self):
        client = self.site.build_client("patient")
        await self.chat(client, "first")
        totals = [
            (await self.cluster.fetch(name, "/executions"))["total"]
            for name in self.site.engines
        ]
        used = self.site.engines[totals.index(1)]
        await self.cluster.set_faults(used, silent_after_tokens=0)
        await self.chat(client, "second")
        self.assertEqual(await self.site.count_model_calls(), 3)
        self.assertIn("silent, fresh connection", self.site.read_log("entry-0"))
