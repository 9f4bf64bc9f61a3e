"""Configuration changes under traffic and while hosts are killed."""

import asyncio
import json
import random

import aiohttp

from tests.process_site import ProcessTestCase, wait_until

CHANGES = 12
LEAVE_SECONDS = 4.0


class ConfigurationTest(ProcessTestCase):
    async def watch_versions(self, reverted):
        """Poll all hosts; collect the versions that decreased in `reverted`."""
        highest = {}
        while True:
            for name in self.site.live_entries():
                version = await self.site.read_version(name)
                key = (name, self.cluster[name].process.pid)
                if version and version < highest.get(key, 0):
                    reverted.append((name, highest[key], version))
                highest[key] = max(version, highest.get(key, 0))
            await asyncio.sleep(0.05)

    async def wait_version(self, version):
        for name in self.site.live_entries():

            async def has_version():
                return await self.site.read_version(name) == version

            await wait_until(has_version, f"{name} has version {version}", seconds=10)

    async def test_changes_never_revert_while_hosts_die(self):
        reverted = []
        watching = asyncio.ensure_future(self.watch_versions(reverted))
        rng = random.Random(1)
        version = 0
        for number in range(CHANGES):
            self.site.tables["customers"][0]["weight"] = number + 1
            version = await self.site.write_tables(self.site.tables)
            if number % 4 == 1:
                name = rng.choice(self.site.entries)
                await self.cluster[name].kill()
                await self.site.start_entry(int(name[-1]))
        await self.wait_version(version)
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        self.assertEqual(reverted, [])

    async def test_operators_at_once_lose_no_change(self):
        outcomes = await asyncio.gather(
            *(
                self.cluster.run_operator(
                    "keys", "give", "nyumbani", "--output", "json"
                )
                for _ in range(4)
            ),
            return_exceptions=True,
        )
        given = [json.loads(o)["key"] for o in outcomes if isinstance(o, str)]
        self.assertGreater(len(given), 0, outcomes)
        for outcome in outcomes:
            if not isinstance(outcome, str):
                self.assertIn("conflict", str(outcome))
        version = (await self.site.read_manifest()).version
        await self.wait_version(version)
        for key in given:
            for name in self.site.entries:
                headers = {"Authorization": f"Bearer {key}"}
                status, _ = await self.site.request(
                    "GET", "/v1/address?program=x", entry=name, headers=headers
                )
                self.assertEqual(status, 200)

    async def test_withdrawal_ends_a_long_stream(self):
        other = self.site.build_client("steady", customer="kitamichi")
        body = {
            "model": "guide",
            "messages": [{"role": "user", "content": "tell me all"}],
            "max_tokens": 2000,
            "stream": True,
        }
        url = f"http://{self.site.address('entry-2')}/v1/chat/completions"
        headers = {"Authorization": f"Bearer {self.site.keys['nyumbani']}"}
        timeout = aiohttp.ClientTimeout(sock_read=10)
        async with self.site.session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as response:
            self.assertEqual(response.status, 200)
            await response.content.readline()
            self.site.withdrawn.add("nyumbani")
            await self.site.write_tables(self.site.tables)
            text = (await response.content.read()).decode()
        self.assertIn("key_withdrawn", text)
        self.assertNotIn("[DONE]", text)
        await self.chat(other, "another customer")

    async def test_leaving_upstream_gets_nothing_new(self):
        stopping = asyncio.Event()

        async def run(number):
            client = self.site.build_client(f"program-{number}")
            while not stopping.is_set():
                await self.chat(client, "next", max_tokens=4)
                answer = await self.book(client, f"{number} {client.sequence}")
                self.assertIn("confirmation", answer)

        tasks = [asyncio.ensure_future(run(number)) for number in range(6)]
        await self.wait_model_calls(20)
        for pool in self.site.tables["pools"]:
            pool["upstreams"][0]["state"] = "leaving"
        await self.site.write_tables(self.site.tables)
        await asyncio.sleep(LEAVE_SECONDS)
        names = ("engine-0", "booking-0")
        before = [await self.cluster.fetch(name, "/executions") for name in names]
        started = await self.site.count_model_calls()
        await self.wait_model_calls(started + 20)
        stopping.set()
        await asyncio.gather(*tasks)
        after = [await self.cluster.fetch(name, "/executions") for name in names]
        self.assertEqual([b["total"] for b in before], [a["total"] for a in after])
        await self.check_booked_at_most_once()
