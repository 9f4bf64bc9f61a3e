"""Tests of operators and control processes on a small site of real processes."""

import asyncio
import json
import os
import unittest
from unittest import mock

import aiohttp

from sapphireyard.clocks import Clock
from sapphireyard.operators.site import Site
from sapphireyard.storage.objects import ObjectStore
from scripts.client import ProgramClient
from scripts.cluster import LocalCluster

WAIT_SECONDS = 30
FLAGS = ["--lease-seconds", "1", "--sweep-seconds", "0.3", "--order-seconds", "2"]


class SiteTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = LocalCluster()
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.__aexit__)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.cluster.start_store()
        await self.cluster.start_engine("engine-0", "--scale", "0.1")
        store = ObjectStore(f"http://{self.cluster['store'].address}")
        self.addAsyncCleanup(store.close)
        self.site = Site(store, clock=Clock(), author="test")
        await self.apply("1")
        self.key, row = await self.site.give_key("east")
        self.key_name = row["digest"][:12]
        operator, _ = await self.site.give_key("")
        await self.cluster.start_entry(0)
        environ = {
            "SAPPHIREYARD_KEY": operator,
            "SAPPHIREYARD_ADDRESS": self.cluster["entry-0"].address,
        }
        patch = mock.patch.dict(os.environ, environ)
        patch.start()
        self.addCleanup(patch.stop)

    def build_tables(self, version):
        upstream = {"name": "e0", "address": self.cluster["engine-0"].address}
        pool = {
            "name": "models",
            "upstreams": [{**upstream, "fencing": "check"}],
            "models": [{"name": "guide", "version": version}],
        }
        route = {"name": "guide", "kind": "model", "pool": "models"}
        return {
            "routes": [{**route, "repeatable": True}],
            "pools": [pool],
            "customers": [{"name": "east", "rate": 100, "burst": 100}],
        }

    async def apply(self, version):
        path = self.cluster.folder / "tables.json"
        path.write_text(json.dumps(self.build_tables(version)))
        await self.site.apply([path])

    async def start_control(self, number):
        store = f"http://{self.cluster['store'].address}"
        name = f"control-{number}"
        await self.cluster.start(
            name,
            "sapphireyard.control",
            *("--host", name, "--failure-domain", "a", "--store", store),
            *("--peer-address", "127.0.0.1:0", *FLAGS),
        )

    async def wait_for(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not await condition():
                await asyncio.sleep(0.05)

    async def get_engine_version(self):
        return (await self.cluster.fetch("engine-0", "/orders"))["models"].get("guide")

    async def get_cached_programs(self):
        return (await self.cluster.fetch("engine-0", "/cache"))["programs"]

    def build_client(self, program):
        address = self.cluster["entry-0"].address
        return ProgramClient(self.session, [address], self.key, program)

    async def request_address(self, key):
        """Return the HTTP status of a request for the addresses of a program."""
        url = f"http://{self.cluster['entry-0'].address}/v1/address?program=p"
        headers = {"Authorization": f"Bearer {key}"}
        async with self.session.get(url, headers=headers) as response:
            return response.status

    async def test_operators_inspect_and_change_the_site(self):
        client = self.build_client("p1")
        await client.chat("guide", "hello", max_tokens=4)
        status = json.loads(await self.cluster.run_operator("status"))
        self.assertEqual(status["configuration"]["version"], 3)
        explained = json.loads(await self.cluster.run_operator("explain", "east/p1"))
        kinds = {each.get("decision") for each in explained["decisions"]}
        self.assertLessEqual({"placement", "route"}, kinds)
        self.assertEqual(explained["state"]["next_sequence"], 2)
        self.assertEqual(await self.request_address(self.key), 200)
        await self.cluster.run_operator("keys", "withdraw", self.key_name)

        async def is_refused():
            return await self.request_address(self.key) == 401

        await self.wait_for(is_refused)
        await self.cluster.run_operator("drain", "entry-0")
        async with asyncio.timeout(WAIT_SECONDS):
            self.assertEqual(await self.cluster["entry-0"].process.wait(), 0)
        logs = [path.read_text() for path in self.cluster.folder.glob("*.log")]
        self.assertFalse([log for log in logs if self.key in log])

    async def test_second_control_process_takes_over(self):
        async def version_is(expected):
            return await self.get_engine_version() == expected

        await self.start_control(0)
        await self.wait_for(lambda: version_is("1"))
        await self.start_control(1)
        client = self.build_client("p1")
        await client.chat("guide", "hello there " * 20, max_tokens=4)
        await self.cluster.set_faults("engine-0", lose_release=True)
        await client.end()
        self.assertEqual(len(await self.get_cached_programs()), 1)
        await self.cluster["control-0"].kill()
        await self.cluster.set_faults("engine-0", lose_release=False)
        await self.apply("2")
        await self.wait_for(lambda: version_is("2"))

        async def is_released():
            return not await self.get_cached_programs()

        await self.wait_for(is_released)
        orders = (await self.cluster.fetch("engine-0", "/orders"))["orders"]
        self.assertEqual([order["fencing"] for order in orders], [1, 2])
        self.assertEqual(await self.cluster["control-1"].stop(), 0)
