"""One engine crashes; turns with an input like those that it ran are refused."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import CaseFailed, TROUBLE, build_configuration, run_case  # noqa: E402

PROGRAMS = 8
ENGINES = 7
INPUT = b"continue"
CRASHED_TURNS = 3
CONTACT_SECONDS = 3.0
AIM_SECONDS = 60.0
TIME_BUDGET_SECONDS = 3.0
RETRIES = 1
SENDS = 3
"""A failed turn is sent again twice, each time with a retry."""
TRIES = 5
"""A kept turn that reaches no server in so many tries breaks the rule."""


class Program:
    """A conversation at one entry host.

    Parameters
    ----------
    site : Site
        The site.
    number : int
        Its number, which also chooses its entry host.
    """

    def __init__(self, site, number):
        self._site = site
        self._host = f"entry-{number % 3 + 1}"
        self._name = f"p{number}"
        self.aim_at = time.monotonic() + AIM_SECONDS
        self.last = ""

    async def send(self, text, *, host=None, seconds=3.0):
        """Send the next turn; return its id and the answer."""
        request_id, answer = await self._site.request(
            host or self._host,
            "POST",
            "/chat/turn",
            body=text,
            Program_Id=self._name,
            Session_Id=f"{self._name}-line",
            milliseconds=int(seconds * 1000),
            Program_Deadline_Ms=int((self.aim_at - time.monotonic()) * 1000),
            Token_Budget=20000,
            Token_Count="100,280",
            Model="m",
            Prompt_Prefix="5c1e07a2:512",
            Previous_Turn=self.last,
        )
        if answer.status == 200 and answer.complete:
            self.last = request_id
        return request_id, answer


async def case(site):
    for number in range(ENGINES):
        await site.add_server("engine", number, events=20, gap=0.06)
    await site.add_server("plain", 20)
    await site.start(entries=3, histories=4, configuration=build_configuration())
    await asyncio.sleep(2)
    programs = [Program(site, number) for number in range(PROGRAMS)]
    for number, program in enumerate(programs):
        _, answer = await program.send(b"hello, this is conversation %d" % number)
        assert answer.complete, "a first turn failed"
    site.record("all conversations have begun")

    by_server = {}
    for program in programs:
        server = next(
            each
            for each in site.servers
            if any(r.headers.get("request-id") == program.last for r in each.received)
        )
        by_server.setdefault(server, []).append(program)
    busiest = max(by_server, key=lambda each: len(by_server[each]))
    site.record(f"{busiest.name} has run {len(by_server[busiest])} conversations")
    turns = [asyncio.ensure_future(each.send(INPUT)) for each in by_server[busiest]]
    await site.wait_running(CRASHED_TURNS, [busiest])
    await asyncio.sleep(0.2)
    running = sum(each.ran and not each.state for each in busiest.received)
    site.record(f"{busiest.name} runs {running} turns")
    if TROUBLE:
        await busiest.crash()
    await asyncio.gather(*turns)
    await asyncio.sleep(1.5)
    if TROUBLE:
        await busiest.start()
    await asyncio.sleep(CONTACT_SECONDS + 1)

    results = await asyncio.gather(
        *(check_turn(site, number, each) for number, each in enumerate(programs))
    )
    firsts = [first for first, _, _ in results]
    if sum(firsts) < 0.9 * len(firsts):
        raise CaseFailed("first turns did not reach servers either")
    return not any(tries >= TRIES and not ran for _, tries, ran in results)


async def check_turn(site, number, program):
    """Go on with a conversation, as a client does.

    Returns whether a first turn that was sent at the same time reached a server, the
    tries of the conversation's turn, and whether one of them reached a server.
    """
    first_id, _ = await Program(site, 100 + number).send(b"begin %d" % number)
    tries = 0
    ran = False
    for _ in range(SENDS):
        deadline = time.monotonic() + TIME_BUDGET_SECONDS
        for attempt in range(1 + RETRIES):
            host = f"entry-{random.randint(1, 3)}"
            left = deadline - time.monotonic()
            request_id, answer = await program.send(INPUT, host=host, seconds=left)
            tries += time.monotonic() < program.aim_at
            ran = ran or site.has_run(request_id)
            wait = float(answer.headers.get("retry-after", 0))
            left = deadline - time.monotonic()
            await asyncio.sleep(min(wait, left / 3))
            if ran:
                break
        if ran:
            break
        await asyncio.sleep(random.uniform(0.1, 0.4))
    text = "a server ran it" if ran else "no server got it"
    site.record(f"conversation {number}: {tries} tries, {text}")
    return site.has_run(first_id), tries, ran


run_case(case, FOLDER / "record.txt")
