"""Tests the deployed processes while a host is cut off from upstreams."""

import asyncio
import unittest

from standins.relay import Relay
from standins.site_upstream import SiteUpstream
from tests.cut_entry import LINKS_VARIABLE
from tests.platform_site import ROOT, PlatformSite, build_configuration

ENTRY_IPS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
COPY_IPS = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
EVENTS = ("one", "two", "three")
SERVICES = {"engine": 3, "plain": 3}
CONTACT_SECONDS = 3.0
"""Time from the beginning of a cut until callers must be served again."""
REQUESTS = 30
MIN_SERVED_SHARE = 2 / 3
"""Of the first tries at the other hosts."""


class Link:
    """A TCP relay on the way from the first entry host to an upstream."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.relay = Relay(upstream.address)
        self.mode = "open"

    def describe(self):
        """Return the line of the file of links."""
        port, relay_port = (
            address.rsplit(":", 1)[1]
            for address in (self.upstream.address, self.relay.address)
        )
        return f"{port} {relay_port} {self.mode}\n"


class LinksTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs three entry hosts, of which the first can be cut off from upstreams."""

    async def asyncSetUp(self):
        self.site = PlatformSite()
        await self.site.start()
        self.addAsyncCleanup(self.site.stop)
        self.links = []
        for service, count in SERVICES.items():
            for number in range(1, count + 1):
                events = EVENTS if service == "engine" else ()
                upstream = SiteUpstream(f"i-{service}-{number}", events=events)
                await upstream.start()
                self.site.store.put(
                    "servers", upstream.name, upstream.describe(service)
                )
                link = Link(upstream)
                await link.relay.start()
                self.addAsyncCleanup(link.relay.stop)
                self.links.append(link)
        self.site.store.put("config", "main", build_configuration())
        self.links_path = self.site.folder / "links"
        self.set_links("open")
        for number, ip in enumerate(ENTRY_IPS, 1):
            options = {}
            if number == 1:
                options["script"] = ROOT / "tests" / "cut_entry.py"
                options["environ"] = {LINKS_VARIABLE: str(self.links_path)}
            self.site.start_process(
                f"entry-{number}", "entry", ip, failure_domain=f"d{number}", **options
            )
        self.site.start_hosts("copy", "history", COPY_IPS)
        await self.site.wait_ready(*ENTRY_IPS)
        await self.site.wait_until(self.turns_are_served)

    def set_links(self, mode, *, services=SERVICES):
        """Change the mode in which new connections are made."""
        for link in self.links:
            if link.upstream.name.split("-")[1] in services:
                link.mode = mode
        self.links_path.write_text("".join(link.describe() for link in self.links))

    def cut(self, mode, *, services=SERVICES):
        """Cut links: they hang, are reset, or only refuse new connections."""
        self.set_links("hang" if mode == "hang" else "refuse", services=services)
        for link in self.links:
            if link.upstream.name.split("-")[1] not in services:
                continue
            if mode == "hang":
                link.relay.silence_connections()
            elif mode == "reset":
                link.relay.cut()

    async def turns_are_served(self):
        """Return whether all entry hosts complete a turn."""
        for ip in ENTRY_IPS:
            _, answer = await self.site.send_turn(ip, b"warm", program="warm")
            if answer.status != 200 or not answer.complete:
                return False
        return True

    async def send_first_tries(self, ip, count):
        """Send turns and plain requests; return how many were served, and a log."""
        served = 0
        log = []
        for number in range(count):
            if number % 3 == 0:
                _, answer = await self.site.send_turn(
                    ip, b"x", program=f"{ip}-{number}"
                )
            else:
                method, path = (("GET", "/view/1"), ("POST", "/book/1"))[number % 2]
                answer = await self.site.send(ip, method, path)
            log.append((answer.status, answer.body[:200]))
            served += answer.status == 200 and answer.complete
        return served, log

    def find_repeated(self):
        """Return the bookings that ran more than once."""
        ids = [
            request.headers["request-id"]
            for link in self.links
            for request in link.upstream.executed
            if request.method == "POST"
        ]
        return {each for each in ids if ids.count(each) > 1}


class CutHostTest(LinksTestCase):
    async def test_callers_of_a_host_that_reaches_no_upstream_are_served(self):
        for mode in ("hang", "reset", "refuse"):
            with self.subTest(mode):
                self.cut(mode)
                load = asyncio.ensure_future(self.send_first_tries(ENTRY_IPS[0], 3))
                await asyncio.sleep(CONTACT_SECONDS)
                served, log = await self.send_first_tries(ENTRY_IPS[0], REQUESTS)
                others, _ = await self.send_first_tries(ENTRY_IPS[1], REQUESTS)
                self.assertGreaterEqual(served, MIN_SERVED_SHARE * others, log)
                self.assertEqual(others, REQUESTS)
                self.assertEqual(self.find_repeated(), set())
                await load
                self.set_links("open")
                await self.site.wait_until(self.turns_are_served)

    async def test_callers_of_a_service_that_a_host_does_not_reach_are_served(self):
        for mode in ("refuse", "hang"):
            with self.subTest(mode):
                self.cut(mode, services={"plain"})
                load = asyncio.ensure_future(self.send_first_tries(ENTRY_IPS[0], 3))
                await asyncio.sleep(CONTACT_SECONDS)
                served, log = await self.send_first_tries(ENTRY_IPS[0], REQUESTS)
                self.assertGreaterEqual(served, MIN_SERVED_SHARE * REQUESTS, log)
                self.assertEqual(self.find_repeated(), set())
                self.assertNotIn("reaches no upstream", self.site.read_log("entry-1"))
                await load
                self.set_links("open")
                await self.site.wait_until(self.turns_are_served)


if __name__ == "__main__":
    unittest.main()
