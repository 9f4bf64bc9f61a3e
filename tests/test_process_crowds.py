"""Callers of the own interface that do not behave, as real processes."""

import asyncio
import itertools
import os
import re
from pathlib import Path
from unittest import mock

from sapphireyard.streams.frames import HEADER, MAX_FRAME_BYTES, FrameKind, encode_frame
from sapphireyard.streams.generated_messages import Hello
from tests.crowds import KILOBYTE, MEGABYTE, Crowd, RunningCrowd, Watch
from tests.process_site import ProcessTestCase

LIMITS = {
    "SAPPHIREYARD_BODY_MEMORY_BYTES": str(8 * 1024 * 1024),
    "SAPPHIREYARD_MAX_CONNECTIONS": "200",
}
GROWTH_MB = 64
"""What a host may keep for a crowd, several times what its settings allow."""
DESCRIPTORS = 300
CALLERS = 100
MANY_CALLERS = 500
CROWD_SECONDS = 5.0
BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 64 * 1024


def build_head(key, *fields):
    """Return the head of a turn."""
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: site",
        f"Authorization: Bearer {key}",
        "Content-Type: application/json",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def send_unfinished(key):
    """Send a body with a length that ends a byte before its end."""
    yield build_head(key, f"Content-Length: {BODY_BYTES}")
    yield from itertools.repeat(b" " * PIECE_BYTES, BODY_BYTES // PIECE_BYTES - 1)
    yield b" " * (PIECE_BYTES - 1)


def send_small_chunks(key):
    """Send a body in chunks of a byte, without the last chunk."""
    yield build_head(key, "Transfer-Encoding: chunked")
    yield from itertools.repeat(b"1\r\n \r\n" * 10_000, BODY_BYTES // 10_000)


def send_line_feeds(key):
    """Send line feeds without end before a request."""
    yield from itertools.repeat(b"\n" * PIECE_BYTES)


def send_frame(hello):
    """Send a frame between hosts that ends a byte before its end."""
    if hello:
        yield encode_frame(FrameKind.HELLO, 0, "Hello", vars(Hello("s", 1, 1, 1, 0, 0)))
    yield HEADER.pack(MAX_FRAME_BYTES) + bytes(MAX_FRAME_BYTES - 1)


class CrowdsTest(ProcessTestCase):
    site_options = {"entries": 2, "engines": 1, "services": 1}

    async def asyncSetUp(self):
        self.enterContext(mock.patch.dict(os.environ, LIMITS))
        await super().asyncSetUp()
        entry = self.site.entries[0]
        self.process = self.cluster.processes[entry].process
        self.ip, port = self.site.address(entry).rsplit(":", 1)
        self.callers = self.ip, int(port)

    def read_memory(self):
        """Return the memory of the process, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * KILOBYTE / MEGABYTE

    def find_peer_address(self):
        """Return the other address on which the process listens."""
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            local, state = line.split()[1], line.split()[3]
            ip, port = local.split(":")
            text = ".".join(str(each) for each in reversed(bytes.fromhex(ip)))
            found = text, int(port, 16)
            if state == "0A" and text == self.ip and found != self.callers:
                return found
        raise AssertionError("the process has no second listener")

    async def check(self, crowd, address):
        """Check what the process keeps for a crowd, and that it serves others."""
        before = self.read_memory()
        with Watch(self.process.pid, self.ip) as watch:
            with RunningCrowd(crowd, address):
                await asyncio.sleep(CROWD_SECONDS)
            client = self.site.build_client(
                f"after-{crowd.name}".replace(" ", "-").replace(",", ""),
                entries=self.site.entries[:1],
            )
            await self.chat(client, "and then")
        self.assertIsNone(self.process.returncode)
        self.assertLessEqual(watch.memory - before, GROWTH_MB)
        return watch

    async def test_requests_stay_within_the_memory(self):
        key = self.site.keys["nyumbani"]
        for name, script in (
            ("length", send_unfinished),
            ("chunks of a byte", send_small_chunks),
            ("line feeds", send_line_feeds),
        ):
            crowd = Crowd(name, CALLERS, lambda number, script=script: script(key))
            with self.subTest(name):
                await self.check(crowd, self.callers)

    async def test_links_stay_within_the_memory(self):
        address = self.find_peer_address()
        for name, hello in (("no hello", False), ("unfinished frames", True)):
            crowd = Crowd(name, CALLERS, lambda number, hello=hello: send_frame(hello))
            with self.subTest(name):
                await self.check(crowd, address)

    async def test_open_descriptors_stay_within_the_limit(self):
        crowd = Crowd("silent", MANY_CALLERS, lambda number: ())
        for address in (self.callers, self.find_peer_address()):
            with self.subTest(address):
                watch = await self.check(crowd, address)
                self.assertLessEqual(watch.descriptors, DESCRIPTORS)


del ProcessTestCase  # otherwise the loader would run it here as well
