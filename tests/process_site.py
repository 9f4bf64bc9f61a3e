"""Base class of the tests that run a small site of real processes."""

import os
import unittest

from scripts.client import CallFailed
from scripts.cluster import LocalCluster
from scripts.sites import Site, wait_until
from standins.answers import answer_text

__all__ = ["ProcessTestCase", "wait_until"]

ENTRY_VARIABLE = "SAPPHIREYARD_TEST_ENTRY"
"""Overrides the module of the entry hosts, e.g. with ``tests.broken_entry``."""

HTTP_SERVER_LOGGER = "aiohttp.server"
"""Logs requests rejected by the HTTP library, with a traceback."""


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that start a small site for each test.

    Attributes
    ----------
    site_options : dict
        Options of `Site.start`.
    entry_module : str
        Module of the entry hosts.
    """

    site_options = {}
    entry_module = Site.entry_module

    async def asyncSetUp(self):
        cluster = await self.enterAsyncContext(LocalCluster())
        self.site = Site(cluster)
        self.site.entry_module = os.environ.get(ENTRY_VARIABLE, self.entry_module)
        self.addAsyncCleanup(self.site.close)
        await self.site.start(**self.site_options)
        self.cluster = cluster

    async def asyncTearDown(self):
        self.assertEqual(await self.site.find_key_leaks(), [])
        for name in self.site.entries:
            errors = [
                line
                for line in self.site.read_log(name).splitlines()
                if "Traceback" in line and HTTP_SERVER_LOGGER not in line
            ]
            self.assertEqual(errors, [], name)

    async def wait_model_calls(self, count):
        """Wait until the engines have started `count` completions."""

        async def have_started():
            return await self.site.count_model_calls() >= count

        await wait_until(have_started, f"{count} model calls started")

    async def wait_bookings(self, count):
        """Wait until the services have executed `count` requests."""

        async def are_executed():
            return (await self.site.count_bookings()).total() >= count

        await wait_until(are_executed, f"{count} bookings")

    async def chat(self, client, text, *, max_tokens=16):
        """Run one turn and check the answer against the full history."""
        before = list(client.messages)
        reply = await client.chat("guide", text, max_tokens=max_tokens)
        messages = [*before, {"role": "user", "content": text}]
        self.assertEqual(
            client.messages[-1]["content"], answer_text(messages, max_tokens)
        )
        return reply

    async def book(self, client, name):
        """Send a booking; return the answer, or the final problem document."""
        try:
            reply = await client.call("booking", {"van": name})
        except CallFailed as failure:
            return failure.problem
        return reply.body

    async def check_booked_at_most_once(self):
        """Check by the services' own counts that no booking was executed twice."""
        duplicates = {
            k: n for k, n in (await self.site.count_bookings()).items() if n > 1
        }
        self.assertEqual(duplicates, {})

    async def check_history(self, client):
        """Check the stored history against the messages of the client."""
        view = await client.inspect("/history")
        messages = []
        for call in view["calls"]:
            if call["route"] != "guide":
                continue
            messages += call["request"]["messages"]
            answer = call["answer"]["choices"][0]["message"]
            messages.append({"role": "assistant", "content": answer["content"]})
        self.assertEqual(messages, client.messages)
        sequences = [call["sequence"] for call in view["calls"]]
        self.assertEqual(sequences, list(range(1, len(sequences) + 1)))
