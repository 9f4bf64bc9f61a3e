"""Callers of a deployed entry process that leave before their requests are sent."""

import asyncio

from tests.platform_site import KEY
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase

RUN_SECONDS = 0.6
STAY_SECONDS = 0.2
SLOTS = 8
"""Requests that the upstream runs at a time."""
WAITING_CALLERS = 6


class DepartureTest(PlatformTestCase):
    async def book(self, number):
        """Send a booking; return its connection."""
        reader, writer = await asyncio.open_connection(
            ENTRY_IPS[0], self.site.caller_port
        )
        head = (
            "POST /book/1 HTTP/1.1",
            "Host: site.example",
            f"Request-Id: b{number}",
            f"Credential: {KEY}",
            "Deadline-Ms: 3000",
            "Content-Length: 0",
        )
        writer.write("\r\n".join([*head, "", ""]).encode())
        return reader, writer

    async def test_request_in_a_queue_is_not_sent_after_its_caller_has_left(self):
        """The first requests take all slots; their callers stay."""
        self.plain.delay_seconds = RUN_SECONDS
        running = [await self.book(number) for number in range(SLOTS)]
        await self.site.wait_until(lambda: len(self.plain.received) == SLOTS)
        waiting = [await self.book(SLOTS + n) for n in range(WAITING_CALLERS)]
        await asyncio.sleep(STAY_SECONDS)
        for _, writer in waiting:
            writer.close()
        for reader, writer in running:
            self.assertIn(b"200", await reader.readline())
            writer.close()
        await asyncio.sleep(2 * RUN_SECONDS)
        self.assertEqual(len(self.plain.received), SLOTS)
