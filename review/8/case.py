"""The desired state drops a service while turns run there: they count no tokens."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import TROUBLE, CaseFailed, build_configuration, run_case  # noqa: E402

EVENTS = 10
TOKENS_PER_EVENT = 14
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
FIRST_TURNS = 4
BUDGET = FIRST_TURNS * TURN_TOKENS
MORE_TURNS = 6


def move_service(configuration):
    """Return a desired state whose turns run on another service."""
    routes = [
        {**route, "service": "engine-b"} if route["service"] == "engine" else route
        for route in configuration["routes"]
    ]
    services = [
        {**service, "name": "engine-b"} if service["name"] == "engine" else service
        for service in configuration["services"]
    ]
    return {**configuration, "routes": routes, "services": services}


async def send_turn(site, host, number, previous=""):
    """Send a turn of the program, which has one budget; return id and answer."""
    return await site.request(
        host,
        "POST",
        "/chat/turn",
        body=b"part %d" % number,
        Program_Id="program-1",
        Session_Id=f"line-{number}",
        Program_Deadline_Ms=60000,
        Token_Budget=BUDGET,
        Token_Count=f"100,{TURN_TOKENS}",
        Model="m",
        Previous_Turn=previous,
    )


async def case(site):
    for number in range(2):
        await site.add_server("engine", number, events=EVENTS, gap=0.1)
        await site.add_server("engine-b", 10 + number, events=EVENTS, gap=0.1)
    await site.add_server("plain", 20)
    configuration = build_configuration()
    await site.start(entries=3, histories=4, configuration=configuration)
    await asyncio.sleep(2)

    turns = [
        asyncio.ensure_future(send_turn(site, f"entry-{n % 3 + 1}", n))
        for n in range(FIRST_TURNS)
    ]
    await site.wait_running(FIRST_TURNS)
    await asyncio.sleep(0.1)
    if TROUBLE:
        site.configure(move_service(configuration))
    answers = [answer for _, answer in await asyncio.gather(*turns)]
    if not all(answer.complete and answer.status == 200 for answer in answers):
        raise CaseFailed("a first turn was not answered")
    await asyncio.sleep(1)

    for number in range(FIRST_TURNS, FIRST_TURNS + MORE_TURNS):
        _, answer = await send_turn(site, f"entry-{number % 3 + 1}", number)
        answers.append(answer)
    tokens = sum(each.events for each in answers if each.status == 200)
    tokens *= TOKENS_PER_EVENT
    site.record(
        f"the client got {tokens} tokens; its budget is {BUDGET},"
        f" and one turn may have {TURN_TOKENS}"
    )
    return tokens <= BUDGET + TURN_TOKENS


run_case(case, FOLDER / "record.txt")
