"""Tests that the deployed processes know what engines keep, over sockets."""

import asyncio
import collections
import unittest

from standins.site_upstream import SiteUpstream
from tests.platform_site import PlatformSite, build_configuration

ENTRY_IPS = ("127.0.1.1", "127.0.1.2")
COPY_IPS = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
ENGINES = 4
PROGRAMS = 8


class KeptPartsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = PlatformSite()
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.engines = []
        for number in range(1, ENGINES + 1):
            engine = SiteUpstream(f"i-{number}", events=("one",), gap_seconds=0.3)
            await engine.start()
            self.site.store.put("servers", engine.name, engine.describe("engine"))
            self.engines.append(engine)
        self.site.store.put("config", "main", build_configuration())
        self.site.start_hosts("entry", "entry", ENTRY_IPS)
        self.site.start_hosts("copy", "history", COPY_IPS)
        await self.site.wait_ready(*ENTRY_IPS)
        await self.site.wait_until(self.turns_are_served)

    async def turns_are_served(self):
        for ip in ENTRY_IPS:
            answer = await self.send(ip, "warm", 10)
            if answer.status != 200:
                return False
        return True

    async def send(self, ip, program, tokens):
        """Send a turn without retention, whose prompt has grown to `tokens`."""
        headers = {
            "Program-Id": program,
            "Session-Id": program,
            "Token-Count": f"{tokens},28",
            "Prompt-Prefix": f"{program}:{tokens}",
        }
        return await self.site.send(ip, "POST", "/live/x", body=b"x", headers=headers)

    def find_engines(self, program):
        """Return the engines that have run a program, in order."""
        runs = [
            (request.headers["request-id"], engine.name)
            for engine in self.engines
            for request in engine.executed
            if request.headers.get("program-id") == program
        ]
        return [name for _, name in sorted(runs)]

    async def test_program_without_retention_continues_where_another_host_began_it(
        self,
    ):
        programs = [f"b{number}" for number in range(PROGRAMS)]
        first = await asyncio.gather(
            *(self.send(ENTRY_IPS[0], program, 900) for program in programs)
        )
        self.assertEqual({answer.status for answer in first}, {200})
        used = collections.Counter(self.find_engines(p)[0] for p in programs)
        self.assertGreater(len(used), 1, used)
        await asyncio.sleep(0.5)
        for program in programs:
            answer = await self.send(ENTRY_IPS[1], program, 1200)
            self.assertEqual(answer.status, 200)
        for program in programs:
            with self.subTest(program):
                began, continued = self.find_engines(program)
                self.assertEqual(continued, began)


if __name__ == "__main__":
    unittest.main()
