"""All processes are killed at once when the copies of histories are a minute old."""

import asyncio
import os
from pathlib import Path

import harness

RETENTION_SECONDS = 40.0
OLD_TURNS = 80
OLD_TURN_BYTES = 80_000
DOWN_SECONDS = 0.9
RECOVER_SECONDS = 12.0
LAST_SECONDS = 4.0
PARALLEL = 4
AGE = os.environ.get("AGE", "1") != "0"
"""With AGE=0, the same fault strikes copies that have dropped no records yet."""
AGE_SECONDS = RETENTION_SECONDS + 15.0 + 8.0
"""Retention, the margin of the copies, and the interval of their cleaning."""


async def converse(site, front, turns, size):
    """Run a program of some turns; return the id of the last one."""
    last = ""
    program = site.new_id()[:6]
    for _ in range(turns):
        answer = await site.send_turn(
            front, os.urandom(size // 2).hex().encode(), previous=last, program=program
        )
        if answer.status != 200 or not answer.complete:
            raise harness.CannotRun(f"a turn before the fault: status {answer.status}")
        last = answer.request_id
    return last


async def case(folder):
    chat = harness.build_route(
        "chat", "streaming", "engine", retain=True, **{"retention-s": RETENTION_SECONDS}
    )
    async with harness.Site(folder / "record.txt", fronts=2, stores=4) as site:
        site.store.put("config", "main", harness.build_state([chat]))
        engines = [
            await site.add_upstream("engine", events=("one", "two", "three"))
            for _ in range(4)
        ]
        await site.start_all()
        fronts = list(site.fronts)
        if AGE:
            site.record.write("old conversations")
            for _ in range(OLD_TURNS // PARALLEL // 2):
                await asyncio.gather(
                    *(
                        converse(site, fronts[n % 2], 2, OLD_TURN_BYTES)
                        for n in range(PARALLEL)
                    )
                )
            old_until = site.record.now
            while site.record.now < old_until + AGE_SECONDS:
                await converse(site, fronts[0], 2, 600)
                await asyncio.sleep(1.0)
        site.record.write("the conversation that is continued after the fault")
        kept = await converse(site, fronts[0], 3, 600)
        kept_at = site.record.now
        site.store.put("config", "main", harness.build_state([chat], version=2))
        site.record.write("version 2 acknowledged")
        if harness.TROUBLE:
            machines = [*site.fronts, *site.stores]
            site.kill(*machines)
            await asyncio.sleep(DOWN_SECONDS)
            for name in machines:
                site.start(name)
        back_at = site.record.now
        served = {"first turns": 0, "continued": 0}
        tries = {"first turns": 0, "continued": 0}
        while site.record.now < back_at + RECOVER_SECONDS:
            counted = site.record.now >= back_at + RECOVER_SECONDS - LAST_SECONDS
            for front in fronts:
                first = await site.send_turn(front, b"a first turn")
                more = await site.send_turn(front, b"and then", previous=kept)
                if more.status in (404, 410):
                    site.record.write("a kept turn was answered with 404 or 410")
                    return harness.BROKEN
                for kind, answer in (("first turns", first), ("continued", more)):
                    reached = any(
                        run.request_id == answer.request_id
                        for engine in engines
                        for run in engine.runs
                    )
                    tries[kind] += counted
                    served[kind] += counted and reached
            await asyncio.sleep(0.25)
        age = site.record.now - kept_at
        for name in site.stores:
            for line in site.read_log(name).splitlines():
                if '"histories are lost"' in line or '"history opened"' in line:
                    site.record.write(f"log: {line}")
        site.record.write(
            f"in the last {LAST_SECONDS:g} s before recover-s: {served} reached a"
            f" server of {tries}; the kept turn is {age:.1f} s old, kept for"
            f" {RETENTION_SECONDS:g} s; at most 1 of 32 places of the servers was taken"
        )
        if age > RETENTION_SECONDS or tries["continued"] < 5:
            return harness.COULD_NOT_RUN
        return harness.HELD if served["continued"] else harness.BROKEN


harness.main(Path(__file__).parent, case)
