"""An entry host of 128 MB, as a real process, whose callers do not read."""

import asyncio
import re
import socket
from pathlib import Path

from standins.site_upstream import SiteUpstream
from tests.limited_entry import LIMIT_VARIABLE
from tests.platform_site import KEY, build_configuration
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase

MEMORY_MB = 128
ADDRESS_SPACE_BYTES = 256_000_000
"""The process maps 100 MB of libraries, stacks and arenas that it never touches."""
SLOW_CALLERS = 200
BULK_EVENTS = ("x" * 500_000,) * 12
"""6 MB: an entry host has room for a few such answers."""


class MemoryTest(PlatformTestCase):
    entry_options = {
        "script": Path(__file__).with_name("limited_entry.py"),
        "environ": {LIMIT_VARIABLE: str(ADDRESS_SPACE_BYTES)},
        "settings": (f"limits.memory-mb={MEMORY_MB}",),
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.bulk = SiteUpstream("i-bulk", events=BULK_EVENTS)
        await self.bulk.start()
        self.site.store.put("servers", "i-bulk", self.bulk.describe("bulk"))
        configuration = build_configuration(2)
        engine, plain = configuration["services"]
        configuration["services"] = [engine, plain, {**engine, "name": "bulk"}]
        for route in configuration["routes"]:
            if route["name"] == "live":
                route["service"] = "bulk"
        self.site.store.put("config", "main", configuration)
        await self.site.wait_until(
            lambda: '"version": 2' in self.site.read_log("entry-1")
        )

    async def connect(self, number):
        """Send a request whose answer is not read."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (ENTRY_IPS[0], self.site.caller_port))
        head = (
            "POST /live/x HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {number:016x}\r\nDeadline-Ms: 3000\r\n"
            f"Credential: {KEY}\r\nContent-Length: 0\r\n\r\n"
        )
        await loop.sock_sendall(caller, head.encode())
        return caller

    def read_peak(self):
        """Return the most memory that the entry host has used, in MB."""
        process = self.site.process("entry-1")
        status = Path(f"/proc/{process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 / 1e6

    async def test_slow_readers_do_not_exhaust_the_memory(self):
        started = self.site.process("entry-1")
        idle = self.read_peak()
        for wave in range(4):
            for number in range(SLOW_CALLERS // 4):
                await self.connect(0xB0000 + wave * SLOW_CALLERS + number)
            await asyncio.sleep(1.0)
        peak = self.read_peak()
        self.assertIs(started.poll(), None)
        self.assertLess(peak, MEMORY_MB)
        self.assertGreater(peak, idle + 10)
        self.assertNotIn("MemoryError", self.site.read_log("entry-1"))
        await self.site.wait_until(self.turns_are_served)
