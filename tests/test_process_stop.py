"""A planned stop of an entry host under load."""

import asyncio
import signal

from tests.process_site import ProcessTestCase

PROGRAMS = 8
TURNS = 12


class PlannedStopTest(ProcessTestCase):
    async def run_turns(self, client):
        for turn in range(TURNS):
            await self.chat(client, f"turn {turn}", max_tokens=24)
            if turn % 4 == 1:
                answer = await self.book(client, f"{client.program} {turn}")
                self.assertIn("confirmation", answer)

    async def test_planned_stop_interrupts_no_call(self):
        entries = [*self.site.entries[1:], self.site.entries[0]]
        clients = [
            self.site.build_client(f"program-{number}", entries=entries)
            for number in range(PROGRAMS)
        ]
        tasks = [asyncio.ensure_future(self.run_turns(client)) for client in clients]
        await self.wait_model_calls(3 * PROGRAMS)
        stopping = self.cluster["entry-1"]
        stopping.send_signal(signal.SIGTERM)
        self.assertEqual(await stopping.stop(), 0)
        still_running = [task for task in tasks if not task.done()]
        self.assertTrue(still_running, "the load ended before the stop")
        await asyncio.gather(*tasks)
        problems = [problem for client in clients for problem in client.problems]
        cut = [problem for problem in problems if problem["code"] != "unreachable"]
        self.assertEqual(cut, [])
        self.assertNotIn("cut off", self.site.read_log("entry-1"))
        for client in clients:
            await self.check_history(client)
        counts = await self.site.count_bookings()
        self.assertEqual(set(counts.values()), {1})
        self.assertEqual(len(counts), PROGRAMS * 3)
