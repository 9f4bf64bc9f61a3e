"""A long conversation goes on at another machine when its own is stopped."""

import asyncio
import os
import signal
from pathlib import Path

import harness

TURNS = 3
TURN_BYTES = 3_000_000
TURN_TOKENS = 4500
"""About two images in a prompt, which are long as bytes and short as tokens."""
PROGRAM_MS = 60_000
TRIES = 8
OTHERS = 16


class Other:
    """Another caller, who runs first turns one after the other on a kept channel."""

    def __init__(self, site, front):
        self.site = site
        self.front = front
        self.answers = []

    async def run(self):
        channel = None
        while True:
            if channel is None or not channel.usable:
                channel = await harness.Channel.open(self.site.address(self.front))
            headers = self.site.build_headers(3.0) | self.site.build_turn_headers()
            answer = await channel.send(
                self.site.record, "POST", "/chat/x", headers, b"a first turn", seconds=3
            )
            self.answers.append(answer)
            self.site.record.write(
                f"{answer.request_id} first turn at {self.front}: status"
                f" {answer.status}, {'whole' if answer.complete else 'not whole'}"
            )
            await asyncio.sleep(0.05)


async def case(folder):
    chat = harness.build_route(
        "chat", "streaming", "engine", retain=True, **{"retention-s": 60.0}
    )
    async with harness.Site(folder / "record.txt", fronts=2, stores=4) as site:
        site.store.put("config", "main", harness.build_state([chat]))
        engines = [
            await site.add_upstream(
                "engine", slots=8, events=("one", "two", "three"), gap_seconds=0.01
            )
            for _ in range(6)
        ]
        await site.start_all()
        first, second = site.fronts
        began_at = site.record.now
        last = ""
        expected = b""

        async def send_long(front, text):
            left = PROGRAM_MS - (site.record.now - began_at) * 1000
            tokens = TURN_TOKENS * (1 + len(expected) // TURN_BYTES)
            return await site.send_turn(
                front,
                text,
                previous=last,
                program="long",
                program_ms=left,
                tokens=tokens,
            )

        for number in range(TURNS):
            text = os.urandom(TURN_BYTES // 2).hex().encode()
            answer = await send_long(first, text)
            if answer.status != 200 or not answer.complete:
                raise harness.CannotRun(f"turn {number + 1}: status {answer.status}")
            last = answer.request_id
            expected += text + b"one\ntwo\nthree\n"
        front = first
        if harness.TROUBLE:
            site.signal(first, signal.SIGTERM)
            front = second
            await asyncio.sleep(4.0)
        others = [Other(site, front) for _ in range(OTHERS)]
        tasks = [asyncio.ensure_future(each.run()) for each in others]
        await asyncio.sleep(1.0)
        reached = 0
        for _ in range(TRIES):
            answer = await send_long(front, b"and then")
            runs = [
                run
                for engine in engines
                for run in engine.runs
                if run.request_id == answer.request_id
            ]
            if any(run.body != expected + b"and then" for run in runs):
                raise harness.CannotRun("a server got another body")
            reached += len(runs)
            await asyncio.sleep(1.0)
        elapsed = site.record.now - began_at
        for task in tasks:
            task.cancel()
        for name in site.fronts | site.stores:
            for line in site.read_log(name).splitlines():
                if "protocol error" in line:
                    site.record.write(f"log: {line}")
        ran = {run.request_id for engine in engines for run in engine.runs}
        answers = [answer for each in others for answer in each.answers]
        started = sum(answer.request_id in ran for answer in answers)
        cut = [
            answer
            for answer in answers
            if answer.request_id in ran and not answer.complete
        ]
        site.record.write(
            f"of {TRIES} tries to continue, {reached} reached a server;"
            f" {elapsed:.1f} s of {PROGRAM_MS / 1000:g} s of the program have passed;"
            f" of {len(answers)} first turns beside them {started} reached one, and"
            f" {len(cut)} of these ended without a whole answer"
        )
        if started < 0.9 * len(answers) or elapsed > PROGRAM_MS / 1000:
            return harness.COULD_NOT_RUN
        return harness.HELD if reached else harness.BROKEN


harness.main(Path(__file__).parent, case)
