"""Stops and starts the store machines in turn while one conversation goes on."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import (  # noqa: E402
    BROKEN,
    CATCH_UP_SECONDS,
    CONTACT_SECONDS,
    HELD,
    TROUBLE,
    CannotRun,
    run_case,
)

TURN_PAUSE_SECONDS = 0.2
RESTART_SECONDS = 1.0
GAP_SECONDS = CATCH_UP_SECONDS + 0.5
ROUNDS = 3
BACK_SECONDS = 1.5
PROGRAM_SECONDS = 140.0
STORES = ("store-1", "store-2", "store-3", "store-4")
FRONTS = ("front-1", "front-2", "front-3")
TRIES_AT_EACH = 2


class Conversation:
    """A program whose turns each continue the one before."""

    def __init__(self, site):
        self._site = site
        self._began = time.monotonic()
        self.last = ""
        self.last_at = 0.0
        self.whole = self.failed = 0

    @property
    def left_ms(self):
        """float: Milliseconds left of the program's aim."""
        return (PROGRAM_SECONDS - (time.monotonic() - self._began)) * 1000

    async def go_on(self, front):
        """Send the next turn; return its answer."""
        number = self.whole + 1
        turn, answer = await self._site.send_turn(
            front,
            f"/chat/3x20/turn-{number}",
            f"input {number};",
            previous=self.last,
            program="program-1",
            left_ms=self.left_ms,
            deadline_ms=3000,
        )
        if answer.served:
            self.whole += 1
            self.last, self.last_at = turn, time.monotonic()
        else:
            self.failed += 1
        return answer

    async def run(self, front, stop):
        """Send turns until an event is set."""
        while not stop.is_set():
            await self.go_on(front)
            await asyncio.sleep(TURN_PAUSE_SECONDS)


async def restart(site, name):
    """Stop a machine's process as planned, and start it again."""
    site.signal(name, signal.SIGTERM)
    await site.wait_exit(name, 9.0)
    await asyncio.sleep(RESTART_SECONDS)
    site.start_machine(name)


async def case(site, record):
    site.start_server("engine-1", "engine", number=1)
    site.start_server("engine-2", "engine", number=2)
    await site.start(entries=len(FRONTS), stores=len(STORES))
    await site.wait_copies(len(STORES))
    await site.wait_ready(*FRONTS)

    conversation = Conversation(site)
    stop = asyncio.Event()
    talking = asyncio.ensure_future(conversation.run("front-1", stop))
    await asyncio.sleep(1.0)
    for number, store in enumerate(ROUNDS * STORES, 1):
        if TROUBLE:
            await restart(site, store)
        is_last = number == ROUNDS * len(STORES)
        await asyncio.sleep(BACK_SECONDS if is_last else GAP_SECONDS)
    stop.set()
    await talking
    record.note(
        f"all store machines run again: {conversation.whole} turns were answered whole,"
        f" {conversation.failed} were not"
    )
    await restart(site, "front-1")
    await site.wait_ready(*FRONTS)
    await asyncio.sleep(CONTACT_SECONDS + 0.5)

    tries = reached = first_turns = 0
    for _ in range(TRIES_AT_EACH):
        for front in FRONTS:
            _, first = await site.send_turn(
                front, "/chat/3x20/first", "hi;", program="other", left_ms=9000
            )
            age = time.monotonic() - conversation.last_at
            answer = await conversation.go_on(front)
            tries += 1
            first_turns += first.served
            reached += answer.served
            record.note(
                f"{age:.1f} s after the last whole turn: status {answer.status} at"
                f" {front}"
            )
            await asyncio.sleep(0.3)
    age = time.monotonic() - conversation.last_at
    record.note(
        f"{tries} tries to go on, {reached} served; {first_turns} of {tries} first turns"
        f" served; {conversation.left_ms / 1000:.0f} s are left of the program's aim"
    )
    if first_turns < 0.9 * tries or conversation.left_ms < 0 or age > site.retention:
        raise CannotRun("first turns are not served, or the time is over")
    return HELD if reached else BROKEN


run_case(FOLDER / "record.txt", case)
