"""The store is unavailable, slow, or loses responses, with real processes."""

import asyncio
import signal

from tests.process_site import ProcessTestCase, wait_until

BOOKING = "/v1/call/booking"
REFUSALS = {(401, "key_withdrawn"), (503, "configuration_stale")}
WITHDRAWAL_SECONDS = 3.0
"""The ``--withdrawal-seconds`` of the site."""

MARGIN_SECONDS = 1.5


class StoreFaultTest(ProcessTestCase):
    async def set_outage(self, kind):
        await self.cluster.set_faults("store", outage=kind)

    async def refuse_booking(self, program, entry):
        """Book until the host has noticed the outage; return the refusal."""
        outcomes = []

        async def is_refused():
            number = len(outcomes)
            headers = {"Sapphireyard-Program": f"{program}-{number}"}
            status, problem = await self.site.request(
                "POST",
                BOOKING,
                entry=entry,
                body={"refused": f"{entry} {number}"},
                headers=headers,
            )
            outcomes.append((status, problem))
            return problem.get("executed") == "no"

        await wait_until(is_refused, f"{entry} refuses")
        return outcomes[-1]

    async def test_outages_short_and_long(self):
        client = self.site.build_client("talker")
        booker = self.site.build_client("booker")
        await self.chat(client, "before")
        await self.chat(booker, "before")
        for kind, turns in (("hang", 2), ("refuse", 16)):
            await self.set_outage(kind)
            for turn in range(turns):
                await self.chat(client, f"{kind} {turn}")
                await asyncio.sleep(0.3)
            for entry in self.site.entries:
                status, problem = await self.refuse_booking(kind, entry)
                self.assertEqual((status, problem["code"]), (503, "store_unavailable"))
                self.assertIn("retry_after_seconds", problem)
            await self.chat(client, f"{kind} last")
            self.assertEqual(await self.site.count_bookings(), {})
            await self.set_outage("none")
            answer = await self.book(booker, kind)
            self.assertIn("confirmation", answer)
            await self.check_booked_at_most_once()
            await self.reset_bookings()
        await self.check_history(client)
        await self.check_history(booker)

    async def reset_bookings(self):
        """Reset the counts of the services by restarting them."""
        for name in self.site.services:
            await self.cluster[name].kill()
            await self.cluster.start_service(name)
        self.site.refresh_addresses(self.site.tables)
        version = await self.site.write_tables(self.site.tables)
        await self.wait_version(version)

    async def wait_version(self, version):
        for name in self.site.live_entries():

            async def has_version():
                return await self.site.read_version(name) >= version

            await wait_until(has_version, f"{name} has version {version}")

    async def test_answers_lost_after_the_effect_and_a_slow_store(self):
        await self.cluster.set_faults("store", lose_every=2, delay_seconds=0.05)
        clients = [self.site.build_client(f"lost-{number}") for number in range(6)]

        async def run(client):
            for turn in range(3):
                await self.chat(client, f"turn {turn}")
                answer = await self.book(client, f"{client.program} {turn}")
                self.assertIn("confirmation", answer)

        await asyncio.gather(*map(run, clients))
        counts = await self.site.count_bookings()
        self.assertEqual(sorted(counts.values()), [1] * 18)
        for client in clients:
            await self.check_history(client)

    async def test_start_and_withdrawal_around_an_outage(self):
        client = self.site.build_client("steady", customer="kitamichi")
        await self.chat(client, "before")
        self.site.withdrawn.add("nyumbani")
        version = await self.site.write_tables(self.site.tables)
        await self.site.wait_in_force()
        await self.set_outage("hang")
        starting = asyncio.ensure_future(self.site.start_entry(3))
        await asyncio.sleep(WITHDRAWAL_SECONDS + MARGIN_SECONDS)
        for name in self.site.entries[:3]:
            status, problem = await self.site.request(
                "GET", "/v1/address?program=x", entry=name
            )
            self.assertIn((status, problem.get("code")), REFUSALS, name)
        await self.set_outage("none")
        await starting
        await self.wait_version(version)
        for name in self.site.entries:
            status, problem = await self.site.request(
                "GET", "/v1/address?program=x", entry=name
            )
            self.assertEqual((status, problem.get("code")), (401, "key_withdrawn"))
        await self.chat(client, "after")
        await self.check_history(client)

    async def test_host_that_hears_nobody_refuses(self):
        isolated = self.cluster["entry-2"]
        isolated.send_signal(signal.SIGSTOP)
        self.site.withdrawn.add("nyumbani")
        await self.site.write_tables(self.site.tables)
        await self.set_outage("refuse")
        for name in ("entry-0", "entry-1"):
            await self.cluster[name].kill()
        await asyncio.sleep(WITHDRAWAL_SECONDS + MARGIN_SECONDS)
        isolated.send_signal(signal.SIGCONT)
        for _ in range(5):
            status, problem = await self.site.request(
                "GET", "/v1/address?program=x", entry="entry-2"
            )
            self.assertIn((status, problem.get("code")), REFUSALS)
