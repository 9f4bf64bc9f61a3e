"""An owner paused just before it sends a call or before it records the answer."""

import asyncio
import signal
from pathlib import Path

import aiohttp

from tests.process_site import ProcessTestCase, wait_until

LONG_TIMEOUT = aiohttp.ClientTimeout(sock_read=40)


class PausedOwnerTest(ProcessTestCase):
    entry_module = "tests.pausing_entry"

    async def wait_stopped(self, name):
        """Wait until the process has stopped itself."""
        stat = Path(f"/proc/{self.cluster[name].process.pid}/stat")

        async def is_stopped():
            return stat.read_text().rpartition(")")[2].split()[0] == "T"

        await wait_until(is_stopped, f"{name} stops")

    async def send_and_wait(self, owner, program, body):
        """Send a booking to the owner itself and wait for its answer."""
        url = f"http://{self.site.address(owner)}/v1/call/booking"
        headers = {
            "Authorization": f"Bearer {self.site.keys['nyumbani']}",
            "Sapphireyard-Program": program,
            "Sapphireyard-Sequence": "1",
        }
        async with self.site.session.post(
            url, json=body, headers=headers, timeout=LONG_TIMEOUT
        ) as response:
            return response.status, await response.json(content_type=None)

    async def test_paused_owner_neither_repeats_nor_confirms_a_call(self):
        owner = "entry-1"
        for marker, ran_before_pause in (
            ("pause-before-send", 0),
            ("pause-before-record", 1),
        ):
            with self.subTest(marker):
                program = await self.site.choose_program(owner, prefix=marker)
                body = {"van": marker}
                before = (await self.site.count_bookings()).total()
                pending = asyncio.ensure_future(
                    self.send_and_wait(owner, program, body)
                )
                await self.wait_stopped(owner)
                ran = (await self.site.count_bookings()).total() - before
                self.assertEqual(ran, ran_before_pause)
                await self.site.wait_owner_other_than(owner, program, entry="entry-0")
                other = self.site.build_client(program, entries=["entry-0", "entry-2"])
                outcome = await self.book(other, marker)
                self.assertEqual(outcome.get("code"), "outcome_unknown", outcome)
                self.cluster[owner].send_signal(signal.SIGCONT)
                status, answer = await pending
                self.assertEqual(status, 409, answer)
                self.assertEqual(answer["executed"], "unknown")
                await self.check_booked_at_most_once()
                view = await other.inspect()
                self.assertEqual(view["unknown_outcomes"], [1])
                await self.chat(other, "goes on")
                await wait_until(self.site.is_balanced, "the host owns partitions")
        await self.check_booked_at_most_once()
