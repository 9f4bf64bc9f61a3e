"""Another writer puts an entry among the servers that can't be used."""

import asyncio
import json
from pathlib import Path

import harness

RESTART_SECONDS = 1.0
WATCH_SECONDS = 25.0
ENDS_TO_BREAK = 3
"""Ends of its own of a process in a day."""
MACHINES_TO_BREAK = 2
BORN = 10**400
"""A whole number, but no time in milliseconds."""


async def restart(site, front, ends):
    """Start a front machine's process again whenever it has ended by itself."""
    while True:
        status = site.process(front).poll()
        if status is not None:
            ends[front] += 1
            site.record.write(f"{front} has ended by itself, status {status}")
            await asyncio.sleep(RESTART_SECONDS)
            site.start(front)
        await asyncio.sleep(0.05)


async def case(folder):
    view = harness.build_route("view", "idempotent", "plain")
    async with harness.Site(folder / "record.txt", fronts=3, stores=4) as site:
        site.store.put("config", "main", harness.build_state([view]))
        servers = [await site.add_upstream("plain") for _ in range(3)]
        await site.start_all()
        fronts = list(site.fronts)
        ends = dict.fromkeys(fronts, 0)
        tasks = [asyncio.ensure_future(restart(site, each, ends)) for each in fronts]
        if harness.TROUBLE:
            entry = {**servers[0].describe(1), "address": "127.0.9.9:9", "born": BORN}
            site.store.put("servers", "i-ffff", entry)
            site.record.write("an entry of another writer is put: i-ffff")
        began_at = site.record.now
        statuses = {}
        while site.record.now < began_at + WATCH_SECONDS:
            for front in fronts:
                answer = await site.send(front, "GET", "/view/x")
                statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        for line in site.read_log(fronts[0]).splitlines():
            if "Crashed reason" in line:
                site.record.write(f"log: {json.loads(line)['message']}")
        site.record.write(f"ends of their own: {ends}; answers by status: {statuses}")
        often = sum(count >= ENDS_TO_BREAK for count in ends.values())
        return harness.BROKEN if often >= MACHINES_TO_BREAK else harness.HELD


harness.main(Path(__file__).parent, case)
