"""A long turn is sent shortly before the end of its predecessor's retention."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import BROKEN, HELD, TROUBLE, CannotRun, run_case  # noqa: E402

RETENTION_SECONDS = 60.0
PAUSE_SECONDS = 56.0 if TROUBLE else 1.0
LONG_TURN = "28x1000"
FRONTS = ("front-1", "front-2", "front-3")


async def case(site, record):
    site.start_server("engine-1", "engine", number=1)
    site.start_server("engine-2", "engine", number=2)
    await site.start(entries=3, stores=4)
    await site.wait_copies(4)
    await site.wait_ready(*FRONTS)
    began = time.monotonic()

    async def turn(front, target, text, previous=""):
        left_ms = (150.0 - (time.monotonic() - began)) * 1000
        return await site.send_turn(
            front,
            target,
            text,
            previous=previous,
            program="program-1",
            left_ms=left_ms,
            deadline_ms=30000,
        )

    first, answer = await turn("front-1", "/chat/3x50/one", "input 1;")
    if not answer.served:
        raise CannotRun("the first turn was not answered whole")
    await asyncio.sleep(PAUSE_SECONDS)
    second, answer = await turn("front-1", f"/chat/{LONG_TURN}/two", "input 2;", first)
    if not answer.served:
        raise CannotRun("the second turn was not answered whole")
    answered_at = time.monotonic()
    await asyncio.sleep(1.0)
    reached = first_turns = 0
    tries = 6
    for number in range(tries):
        front = FRONTS[1 + number % 2]
        _, fresh = await site.send_turn(
            front, "/chat/3x50/first", "hi;", program="other", left_ms=9000
        )
        first_turns += fresh.served
        _, answer = await turn(front, "/chat/3x50/three", "input 3;", second)
        reached += answer.served
        record.note(
            f"{time.monotonic() - answered_at:.1f} s after the last whole turn:"
            f" status {answer.status} at {front}"
        )
        await asyncio.sleep(0.4)
    record.note(f"{tries} tries to go on, {reached} served; {first_turns} first turns")
    if first_turns < 0.9 * tries:
        raise CannotRun("first turns are not served")
    return HELD if reached else BROKEN


run_case(FOLDER / "record.txt", case, retention=RETENTION_SECONDS, timeout_ms=30000, gap_ms=1500)
