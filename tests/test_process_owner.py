"""The owner of a program is killed or paused while its calls run."""

import asyncio
import signal

from tests.process_site import ProcessTestCase

LONG_ANSWER_TOKENS = 80


class OwnerLossTest(ProcessTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.owner = "entry-1"
        self.others = ["entry-0", "entry-2"]
        self.program = await self.site.choose_program(self.owner)

    async def test_kill_during_stream_and_booking_and_second_kill(self):
        for name in self.site.services:
            await self.cluster.set_faults(name, hang="after", count=1)
        client = self.site.build_client(self.program, entries=["entry-0"])
        program = await self.site.choose_program(self.owner, prefix="booker")
        booker = self.site.build_client(program, entries=["entry-0"])
        await self.chat(client, "first")
        await self.chat(booker, "first")
        turn = asyncio.ensure_future(
            self.chat(client, "second", max_tokens=LONG_ANSWER_TOKENS)
        )
        await self.wait_model_calls(3)
        booking = asyncio.ensure_future(self.book(booker, "one"))
        await self.wait_bookings(1)
        await self.cluster[self.owner].kill()
        await self.site.wait_owner_other_than(self.owner, self.program, entry="entry-0")
        await self.cluster["entry-2"].kill()
        outcome = await booking
        self.assertEqual(outcome.get("code"), "outcome_unknown", outcome)
        self.assertEqual(outcome["executed"], "unknown")
        await turn
        for name in self.site.services:
            await self.cluster.set_faults(name, hang="none")
        view = await booker.inspect()
        self.assertEqual(view["unknown_outcomes"], [2])
        await self.chat(booker, "goes on")
        await self.chat(client, "third")
        await self.check_history(client)
        await self.check_booked_at_most_once()

    async def test_freeze_past_every_lease(self):
        for name in self.site.services:
            await self.cluster.set_faults(name, hang="after", count=1)
        direct = self.site.build_client(self.program, entries=[self.owner])
        program = await self.site.choose_program(self.owner, prefix="booker")
        booker = self.site.build_client(program, entries=self.others)
        await self.chat(direct, "first")
        turn = asyncio.ensure_future(
            self.chat(direct, "second", max_tokens=LONG_ANSWER_TOKENS)
        )
        await self.wait_model_calls(2)
        booking = asyncio.ensure_future(self.book(booker, "two"))
        await self.wait_bookings(1)
        self.cluster[self.owner].send_signal(signal.SIGSTOP)
        for name in (self.program, program):
            await self.site.wait_owner_other_than(self.owner, name, entry="entry-0")
        for name in self.site.services:
            await self.cluster.set_faults(name, hang="none")
        other = self.site.build_client(self.program, entries=self.others)
        other.sequence, other.messages = 1, list(direct.messages)
        await self.chat(other, "second", max_tokens=LONG_ANSWER_TOKENS)
        self.cluster[self.owner].send_signal(signal.SIGCONT)
        resumed = self.site.build_client(self.program, entries=[self.owner])
        resumed.sequence, resumed.messages = 2, list(other.messages)
        await self.chat(resumed, "third")
        await turn
        outcome = await booking
        self.assertEqual(outcome.get("code"), "outcome_unknown", outcome)
        await self.check_booked_at_most_once()
        self.assertEqual(direct.messages, other.messages)
        await self.chat(direct, "third")
        self.assertEqual(direct.messages, resumed.messages)
        await self.check_history(direct)
        await self.chat(booker, "goes on")
