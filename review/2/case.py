"""A server refuses a request, then runs it, and sends the refusal a second time."""

import asyncio
import random
from pathlib import Path

import harness

BOUTS = 12
BOUT_SECONDS = 5.0
PAUSE_SECONDS = 1.0
CALLERS = 4
WORK_SECONDS = 0.12
SHED_SHARE = 0.4
"""Requests that the server refuses though it is sound otherwise."""
EXTRA_SHARE = 0.03
"""Answers that it sends a second time."""
EXTRA_SECONDS = 0.05
PROMISES = (408, 421, 429, 503)


async def send_bookings(site, front, answers):
    """Send one request after the other on a kept channel; honour Retry-After."""
    channel = None
    while True:
        if channel is None or not channel.usable:
            channel = await harness.Channel.open(site.address(front))
        headers = site.build_headers(3.0)
        answer = await channel.send(
            site.record, "POST", "/book/x", headers, b"a booking", seconds=3.0
        )
        answers.append(answer)
        site.record.write(
            f"{answer.request_id} at {front}: status {answer.status},"
            f" {'whole' if answer.complete else 'not whole'}"
        )
        pause = float(answer.headers.get("retry-after", 0))
        await asyncio.sleep(pause + random.uniform(0.0, 0.05))


async def case(folder):
    book = harness.build_route("book", "non_idempotent", "plain")
    async with harness.Site(folder / "record.txt", fronts=2, stores=4) as site:
        site.store.put("config", "main", harness.build_state([book]))
        server = await site.add_upstream("plain", slots=6, work_seconds=WORK_SECONDS)
        await site.start_all()
        answers = []
        fronts = list(site.fronts)
        tasks = [
            asyncio.ensure_future(send_bookings(site, fronts[n % 2], answers))
            for n in range(CALLERS)
        ]
        server.extra_seconds = EXTRA_SECONDS
        for _ in range(BOUTS):
            await asyncio.sleep(PAUSE_SECONDS)
            if harness.TROUBLE:
                server.shed_share, server.extra_share = SHED_SHARE, EXTRA_SHARE
            await asyncio.sleep(BOUT_SECONDS)
            server.shed_share = server.extra_share = 0.0
        for task in tasks:
            task.cancel()
        await asyncio.sleep(1.0)
        runs = {}
        for run in server.runs:
            runs.setdefault(run.request_id, []).append(run)
        twice = [each for each in runs.values() if len(each) > 1]
        broken = [
            answer
            for answer in answers
            if answer.status in PROMISES and answer.request_id in runs
        ]
        for answer in broken:
            run = runs[answer.request_id][0]
            site.record.write(
                f"{answer.request_id} was answered {answer.status} at"
                f" {answer.ended_at:.3f} ({answer.body.decode()}), and the server began"
                f" to run it at {run.at:.3f}; {run.ended or 'under way'}"
            )
        site.record.write(
            f"{len(answers)} requests, {len(server.runs)} runs; answered with a promise"
            f" and run: {len(broken)}; run twice: {len(twice)}"
        )
        return harness.BROKEN if broken or twice else harness.HELD


harness.main(Path(__file__).parent, case)
