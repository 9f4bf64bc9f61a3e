"""Connections between hosts that are aborted or go silent."""

import asyncio
import socket

import aiohttp

from scripts.sites import ENTRY_FLAGS
from tests.process_site import ProcessTestCase, wait_until
from tests.relayed_entry import ADDRESS_VARIABLE

LONG_ANSWER_TOKENS = 80
SILENT_SECONDS = 5.0
OWNER = "entry-3"


class BrokenConnectionTest(ProcessTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.cluster.start("relay", "standins.relay", "--port", "0")
        with socket.socket() as probe:
            probe.bind(("127.0.0.13", 0))
            port = probe.getsockname()[1]
        target = f"127.0.0.13:{port}"
        opened = await self.control("/relays", {"name": "peer", "target": target})
        self.site.entries.append(OWNER)
        await self.cluster.start(
            OWNER,
            "tests.relayed_entry",
            *("--host", OWNER, "--failure-domain", "d"),
            *("--caller-address", "127.0.0.13:0", "--peer-address", target),
            *("--store", f"http://{self.cluster['store'].address}"),
            *ENTRY_FLAGS,
            environ={ADDRESS_VARIABLE: opened["address"]},
        )
        await wait_until(self.site.is_balanced, "the relayed host owns partitions")

    async def control(self, path, body):
        url = f"http://{self.cluster['relay'].address}{path}"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=body) as response:
                response.raise_for_status()
                return await response.json()

    async def break_connections(self, kind):
        if kind != "all silent":
            await self.control(f"/relays/peer/{kind}", {})
            return
        await self.control("/relays/peer/faults", {"silent": "both"})
        await asyncio.sleep(SILENT_SECONDS)
        await self.control("/relays/peer/faults", {"silent": "none"})

    async def test_calls_survive_broken_connections(self):
        program = await self.site.choose_program(OWNER)
        client = self.site.build_client(program, entries=["entry-0"])
        booking_program = await self.site.choose_program(OWNER, prefix="booker")
        booker = self.site.build_client(booking_program, entries=["entry-2"])
        await self.chat(client, "first")
        booked = 0
        for kind in ("cut", "silence", "all silent"):
            for name in self.site.services:
                await self.cluster.set_faults(name, delay_seconds=1.0)
            calls = await self.site.count_model_calls()
            turn = asyncio.ensure_future(
                self.chat(client, kind, max_tokens=LONG_ANSWER_TOKENS)
            )
            booking = asyncio.ensure_future(self.book(booker, kind))
            await self.wait_model_calls(calls + 1)
            await self.break_connections(kind)
            await turn
            answer = await booking
            self.assertIn("confirmation", answer)
            booked += 1
            counts = await self.site.count_bookings()
            self.assertEqual(sorted(counts.values()), [1] * booked)
        await self.check_history(client)
        await self.check_history(booker)
        self.assertEqual(await self.site.find_owner(program), OWNER)
