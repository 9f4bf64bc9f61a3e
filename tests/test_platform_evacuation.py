"""Evacuation of a failure domain at deployed processes, over sockets."""

import asyncio
import unittest

from standins.site_upstream import SiteUpstream
from tests.platform_site import PlatformSite, build_configuration

ENTRY_IPS = ("127.0.1.1", "127.0.1.2")
BOUND_SECONDS = 3.0
REQUESTS = 8


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = PlatformSite()
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.upstreams = {}
        for domain in "xy":
            upstream = self.upstreams[domain] = SiteUpstream(f"i-{domain}")
            await upstream.start()
            spec = {**upstream.describe("plain"), "zone": domain}
            self.site.store.put("servers", upstream.name, spec)
        self.site.store.put("config", "main", build_configuration())
        settings = [f"bounds.evacuate-ms={BOUND_SECONDS * 1000:g}"]
        self.site.start_hosts("entry", "entry", ENTRY_IPS, settings=settings)
        await self.site.wait_until(self.both_are_used)

    async def send_all(self):
        """Send some requests to each host; return their statuses and who ran them."""
        for upstream in self.upstreams.values():
            upstream.received.clear()
        answers = []
        for ip in ENTRY_IPS:
            answers += [
                await self.site.send(ip, "GET", f"/view/{number}")
                for number in range(REQUESTS)
            ]
        used = {d for d, upstream in self.upstreams.items() if upstream.received}
        return answers, used

    async def both_are_used(self):
        try:
            answers, used = await self.send_all()
        except OSError:
            return False
        return {answer.status for answer in answers} == {200} and used == set("xy")

    async def test_domain_gets_nothing_until_it_is_taken_back(self):
        self.site.store.put("evacuations", "x", {})
        await asyncio.sleep(BOUND_SECONDS)
        answers, used = await self.send_all()
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(used, {"y"})

        self.site.store.put("evacuations", "y", {})
        await asyncio.sleep(BOUND_SECONDS)
        answers, used = await self.send_all()
        self.assertEqual({answer.status for answer in answers}, {503})
        self.assertTrue(all("Retry-After" in answer.headers for answer in answers))
        self.assertEqual(used, set())

        for domain in "xy":
            self.site.store.remove("evacuations", domain)
        await self.site.wait_until(self.both_are_used)


if __name__ == "__main__":
    unittest.main()
