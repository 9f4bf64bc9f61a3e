"""The rate limit of a customer across three real hosts, while its home is paused."""

import asyncio
import signal
import time

from sapphireyard.limits.homes import choose_home
from tests.process_site import ProcessTestCase, wait_until

RATE = 30.0
BURST = 15.0
CUSTOMER = "nyumbani"
SENDERS = 8
"""Concurrent callers per host, each with one call at a time."""
DEADLINE_SECONDS = 0.5


class RateTest(ProcessTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        tables = self.site.build_tables(rate=RATE, burst=BURST)
        version = await self.site.write_tables(tables)
        for entry in self.site.entries:
            await wait_until(
                lambda: self.has_version(entry, version), f"{entry} has the rate"
            )
        self.home = choose_home(CUSTOMER, self.site.entries)
        self.admitted = []
        self.refusals = []
        self.stopped = False

    async def has_version(self, entry, version):
        return await self.site.read_version(entry) >= version

    async def send_steadily(self, entry, number):
        headers = {"Sapphireyard-Deadline": str(DEADLINE_SECONDS)}
        count = 0
        while not self.stopped:
            count += 1
            body = {"lookup": f"{entry}-{number}-{count}"}
            sent_at = time.monotonic()
            status, answer = await self.site.request(
                "POST", "/v1/call/lookup", entry=entry, body=body, headers=headers
            )
            if status == 200:
                self.admitted.append((sent_at, time.monotonic()))
                continue
            if answer.get("code") == "rate_exceeded":
                self.refusals.append(answer)
            await asyncio.sleep(0.05)

    def count_since(self, began_at):
        return sum(sent_at >= began_at for sent_at, _ in self.admitted)

    async def wait_admitted(self, calls, what):
        """Wait until `calls` calls sent from now on are admitted."""
        began_at = time.monotonic()

        async def admitted():
            return self.count_since(began_at) >= calls

        await wait_until(admitted, what)

    def check_windows(self):
        """Check each window against the rate; only calls within the window count."""
        for began_at, _ in self.admitted:
            ends = sorted(end for sent, end in self.admitted if sent >= began_at)
            for count, ended_at in enumerate(ends, start=1):
                self.assertLessEqual(count, BURST + RATE * (ended_at - began_at))

    async def test_no_window_exceeds_the_rule(self):
        senders = [
            asyncio.ensure_future(self.send_steadily(entry, number))
            for entry in self.site.entries
            for number in range(SENDERS)
        ]
        await self.wait_admitted(60, "calls are admitted before the pause")
        self.cluster[self.home].send_signal(signal.SIGSTOP)
        await self.wait_admitted(40, "another home takes over")
        self.cluster[self.home].send_signal(signal.SIGCONT)
        await self.wait_admitted(60, "calls are admitted after the home resumes")
        self.stopped = True
        await asyncio.gather(*senders)
        self.check_windows()
        self.assertTrue(all(r["executed"] == "no" for r in self.refusals))
        self.assertGreater(len(self.refusals), 0)
