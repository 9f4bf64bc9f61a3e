"""Upstreams that answer without end, as seen by an entry host of 150 MB."""

import asyncio
import time

from standins.scripted_upstream import End, Endless, ScriptedUpstream
from standins.site_upstream import SiteUpstream
from tests.answer_case import chunk
from tests.crowds import Watch
from tests.platform_site import KEY, build_configuration
from tests.test_endless import EVENTS, HEADERS, LINE, NOISE
from tests.test_platform_memory import read_peak
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase

MEMORY_MB = 150
UPSTREAMS = 12
CALLERS = 250
"""For each kind of route, at the same moment."""
FEWER_CALLERS = 60
"""As many as a host serves beside others, if the upstreams are sound."""
ROUNDS = 2
SOUND_REQUESTS = 80
SOUND_PAUSE_SECONDS = 0.05
SOUND_SECONDS = 1.0
"""Longest wait of a caller of a sound service: its time limit is 1.5 s."""
LIMIT_SECONDS = 3.0
REQUEST_ID = "00000000000000ee"
ECHO = f"Request-Id: {REQUEST_ID}\r\nResponse-Signature: s\r\n".encode()
HEAD = b"HTTP/1.1 200 OK\r\n" + ECHO
BODIES = {
    "length": (HEAD + b"Content-Length: 4000000000\r\n\r\n", NOISE),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        Endless(chunk(EVENTS.data)),
    ),
    "line": (HEAD + b"\r\n", LINE),
    "events": (HEAD + b"\r\n", EVENTS),
    "headers": (HEAD, HEADERS),
}


class EndlessUpstreamsTest(PlatformTestCase):
    entry_options = {"settings": (f"limits.memory-mb={MEMORY_MB}",)}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        sound = SiteUpstream("i-sound")
        await sound.start()
        self.site.store.put("servers", sound.name, sound.describe("sound"))
        self.endless = [ScriptedUpstream() for _ in range(UPSTREAMS)]
        for number, upstream in enumerate(self.endless):
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
            service = ("plain", "engine")[number % 2]
            entry = self.plain.describe(service, slots=100)
            entry["address"] = upstream.address
            self.site.store.put("servers", f"i-endless-{number}", entry)
        for upstream in (self.plain, self.engine):
            self.site.store.remove("servers", upstream.name)
        self.site.store.put("config", "main", self.build_version())
        await self.site.wait_until(
            lambda: '"version": 2' in self.site.read_log("entry-1")
        )
        await self.site.wait_until(
            lambda: "i-endless-11" in self.site.read_log("entry-1")
        )

    @staticmethod
    def build_version():
        configuration = build_configuration(2)
        for service in configuration["services"]:
            service["max-conns"] = 1000
        configuration["services"][0]["engine"]["slots"] = 100
        configuration["services"].append({"name": "sound", "max-conns": 100})
        configuration["tenants"][0]["rate-per-s"] = 0
        view = configuration["routes"][2]
        sound = {"name": "sound", "path-prefix": "/sound/", "service": "sound"}
        configuration["routes"].append({**view, **sound})
        return configuration

    async def call(self, method, target):
        """Send a request and read its answer, whatever it is."""
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: site.example\r\n"
            f"Request-Id: {REQUEST_ID}\r\nDeadline-Ms: 1500\r\n"
            f"Credential: {KEY}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    ENTRY_IPS[0], self.site.caller_port
                )
                try:
                    writer.write(head.encode())
                    while await reader.read(65536):
                        pass
                finally:
                    writer.close()
        except (TimeoutError, ConnectionError):
            pass

    async def call_sound_service(self):
        """Return the statuses and the longest wait of a caller of a sound service."""
        statuses, longest = [], 0.0
        for _ in range(SOUND_REQUESTS):
            began = time.monotonic()
            answer = await self.site.send(ENTRY_IPS[0], "GET", "/sound/1")
            longest = max(longest, time.monotonic() - began)
            statuses.append(answer.status)
            await asyncio.sleep(SOUND_PAUSE_SECONDS)
        return statuses, longest

    async def send_all(self, callers, steps):
        """Send requests of both kinds, each kind twice in a row."""
        for upstream in self.endless:
            upstream.steps = (*steps, End.CLOSE)
        for _ in range(ROUNDS):
            await asyncio.gather(
                *(self.call("GET", "/view/1") for _ in range(callers)),
                *(self.call("POST", "/chat/1") for _ in range(callers)),
            )

    async def test_host_stays_within_its_memory(self):
        process = self.site.process("entry-1")
        for name, steps in BODIES.items():
            with self.subTest(name):
                await self.send_all(CALLERS, steps)
                self.assertIsNone(process.poll())
                self.assertLess(read_peak(process), MEMORY_MB)
        answer = await self.site.send(ENTRY_IPS[0], "GET", "/sound/1")
        self.assertEqual(answer.status, 200)

    async def test_unread_bytes_of_upstreams_are_memory_too(self):
        process = self.site.process("entry-1")
        for name, steps in BODIES.items():
            with self.subTest(name):
                with Watch(process.pid, ENTRY_IPS[0]) as watch:
                    await self.send_all(CALLERS, steps)
                self.assertLess(watch.memory, MEMORY_MB)

    async def test_callers_of_a_sound_service_are_served(self):
        whole = HEAD + b"Content-Length: 4\r\n\r\ndone"
        for name, steps in {"sound": (whole,), **BODIES}.items():
            with self.subTest(name):
                sound = asyncio.ensure_future(self.call_sound_service())
                await self.send_all(FEWER_CALLERS, steps)
                statuses, longest = await sound
                self.assertEqual(statuses, [200] * SOUND_REQUESTS)
                self.assertLess(longest, SOUND_SECONDS)


del PlatformTestCase  # otherwise the loader would run it here as well
