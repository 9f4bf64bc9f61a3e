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
HISTORIES = 40
HISTORY_BYTES = 2_000_000
HISTORIES_MEMORY_MB = {"entry": 150, "copy": 160}
PARALLEL = 4
WAIT_SECONDS = 20.0
BODY_BYTES = 4 * 1024 * 1024
LARGE_BODIES = 4
LARGE_BODY_BYTES = 3_900_000
LARGE_LIMIT_MS = 3000
LARGE_ANSWER_SECONDS = 2.0
"""Time in which each caller is served or refused, well before its limit."""


def read_peak(process):
    """Return the most memory that a process has used, in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024 / 1e6


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

    async def test_slow_readers_do_not_exhaust_the_memory(self):
        started = self.site.process("entry-1")
        idle = read_peak(self.site.process("entry-1"))
        for wave in range(4):
            for number in range(SLOW_CALLERS // 4):
                await self.connect(0xB0000 + wave * SLOW_CALLERS + number)
            await asyncio.sleep(1.0)
        peak = read_peak(self.site.process("entry-1"))
        log = self.site.read_log("entry-1")
        self.assertIs(started.poll(), None)
        self.assertLess(peak, MEMORY_MB)
        self.assertGreater(peak, idle + 10)
        self.assertNotIn("MemoryError", log)
        self.assertIn("bytes are kept", log)
        await self.site.wait_until(self.turns_are_served)


class HistoriesMemoryTest(PlatformTestCase):
    """Long histories that go on at the same moment at a host that lacks them."""

    entry_options = {"settings": (f"limits.memory-mb={HISTORIES_MEMORY_MB['entry']}",)}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {"max-header-bytes": 16384, "max-body-bytes": BODY_BYTES}
        configuration = build_configuration(2, limits=limits)
        configuration["tenants"][0]["rate-per-s"] = 0
        self.site.store.put("config", "main", configuration)
        await self.site.wait_until(
            lambda: all(
                '"version": 2' in self.site.read_log(f"entry-{n}") for n in (1, 2)
            )
        )
        self.turns = []
        self.refused = 0

    async def begin(self, number):
        """Run the first turns of some programs, one after the other."""
        for program in range(number, HISTORIES, PARALLEL):
            text = bytes([program]) * HISTORY_BYTES
            self.turns.append(await self.complete(ENTRY_IPS[0], f"p{program}", text))

    async def complete(self, ip, program, text, previous=""):
        """Retry a turn until its answer is complete; return its id."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                turn, answer = await self.site.send_turn(
                    ip, text, previous=previous, program=program
                )
                if answer.status == 200 and answer.complete:
                    return turn
                self.assertEqual(answer.status, 503)
                self.refused += 1
                await asyncio.sleep(float(answer.headers["Retry-After"]))

    async def test_histories_that_go_on_at_once_do_not_exhaust_the_memory(self):
        await asyncio.gather(*map(self.begin, range(PARALLEL)))
        self.engine.received.clear()
        self.engine.executed.clear()
        await asyncio.gather(
            *(
                self.complete(ENTRY_IPS[1], f"q{number}", b"and then", turn)
                for number, turn in enumerate(self.turns)
            )
        )
        for kind, count in (("entry", 2), ("copy", 4)):
            for number in range(1, count + 1):
                process = self.site.process(f"{kind}-{number}")
                with self.subTest(f"{kind}-{number}"):
                    self.assertIs(process.poll(), None)
                    self.assertLess(read_peak(process), HISTORIES_MEMORY_MB[kind])


class LargeBodiesTest(PlatformTestCase):
    """Bodies that together need more memory than the host has for requests."""

    entry_options = {"settings": ("limits.memory-mb=64",)}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {"max-header-bytes": 16384, "max-body-bytes": BODY_BYTES}
        self.site.store.put("config", "main", build_configuration(2, limits=limits))
        await self.site.wait_until(
            lambda: '"version": 2' in self.site.read_log("entry-1")
        )

    async def send_body(self, number, ready, heads):
        """Send three quarters of a body once all heads are sent, and then the rest.

        Returns
        -------
        int
            Status of the answer; 0 if it did not come in time.
        """
        port = self.site.caller_port
        reader, writer = await asyncio.open_connection(ENTRY_IPS[0], port)
        writer.write(
            "POST /book/x HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {0xC0000 + number:016x}\r\nDeadline-Ms: {LARGE_LIMIT_MS}\r\n"
            f"Credential: {KEY}\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n".encode()
        )
        await writer.drain()
        heads.append(number)
        if len(heads) == LARGE_BODIES:
            await asyncio.sleep(0.2)
            ready.set()
        await ready.wait()
        first = LARGE_BODY_BYTES * 3 // 4
        try:
            async with asyncio.timeout(LARGE_ANSWER_SECONDS):
                for size in (first, LARGE_BODY_BYTES - first):
                    writer.write(bytes(size))
                    await writer.drain()
                    await asyncio.sleep(0.1)
                return int((await reader.readline()).split()[1])
        except (TimeoutError, ConnectionError, IndexError):
            return 0
        finally:
            writer.close()

    async def test_bodies_that_arrive_at_once_do_not_wait_for_each_other(self):
        """None was whole, and each kept the memory that the others waited for."""
        ready = asyncio.Event()
        heads = []
        statuses = await asyncio.gather(
            *(self.send_body(number, ready, heads) for number in range(LARGE_BODIES))
        )
        self.assertIn(200, statuses)
        self.assertNotIn(0, statuses)
        self.assertNotIn(408, statuses)
