"""A desired state with a large number is not read: withdrawn keys go on working."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CaseFailed,
    build_configuration,
    run_case,
)

WITHDRAWN, KEPT = "key-that-leaks", "key-that-stays"
NO_LIMIT = 2**53 - 1
"""Largest integer that every JSON reader takes exactly."""
REQUESTS = 12


def build_state(keys, **limits):
    """Return a desired state with the tenant's keys."""
    tenant = {"name": "tenant", "api-keys": keys, "priority": 1, "rate-per-s": 0}
    configuration = build_configuration(tenants=[tenant])
    configuration["limits"].update(limits)
    return configuration


async def send_with(site, key, number):
    """Send a request with a key; return its status and whether a server ran it."""
    request_id, answer = await site.request(
        f"entry-{number % 3 + 1}", "GET", "/view/item", key=key
    )
    return answer.status, site.has_run(request_id)


async def case(site):
    for number in range(3):
        await site.add_server("plain", number)
    await site.add_server("engine", 20, events=3)
    await site.start(
        entries=3, histories=3, configuration=build_state([WITHDRAWN, KEPT])
    )
    await asyncio.sleep(1)
    for number in range(3):
        for key in (WITHDRAWN, KEPT):
            _, ran = await send_with(site, key, number)
            if not ran:
                raise CaseFailed("a request with a valid key did not run")

    limits = {"max-body-bytes": NO_LIMIT} if TROUBLE else {}
    site.configure(build_state([KEPT], **limits))
    site.record(f"{WITHDRAWN} is taken away; limits that change: {limits}")
    await asyncio.sleep(BOUNDS["revoke-ms"] / 1000 + 1)

    ran = 0
    for number in range(REQUESTS):
        status, has_run = await send_with(site, WITHDRAWN, number)
        site.record(f"with the key that was taken away: {status}, ran: {has_run}")
        ran += has_run
        await asyncio.sleep(0.5)
    site.record(f"{ran} of {REQUESTS} requests with that key ran")
    return ran == 0


run_case(case, FOLDER / "record.txt")
