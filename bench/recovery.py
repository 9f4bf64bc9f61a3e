"""Time without service, store calls, and time for changes, on real processes.

``python -m bench.recovery --programs 24`` starts seven entry hosts with the
default settings, two engines and two services on this machine, and prints a
table and JSON.
"""

import asyncio
import dataclasses
import json
import signal
import time
from typing import Annotated

import cappa

from scripts.cluster import LocalCluster
from scripts.sites import Site, wait_until

ENTRIES = 7
QUIET_SECONDS = 10.0
CALL_PAUSE_SECONDS = 0.05
AFTER_SECONDS = 25.0
FORCE_SECONDS = 30.0
SLOW_SECONDS = 0.5

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class RecoveryOptions:
    """Flags: programs that call all the time."""

    programs: Annotated[int, Flag] = 24


class Bench:
    """Runs the measurements one after the other.

    Parameters
    ----------
    site : Site
        With the default settings.
    programs : int
        Programs that call all the time.
    """

    def __init__(self, site, programs):
        self._site = site
        self._programs = programs
        self._answered = {}
        self._gaps = {}
        self.figures = {}

    async def run(self):
        """Measure everything."""
        self.figures["store calls a second, idle"] = await self._count_store_calls()
        clients = [self._site.build_client(f"p-{n}") for n in range(self._programs)]
        tasks = [asyncio.ensure_future(self._call(client)) for client in clients]
        self.figures["store calls a second, load"] = await self._count_store_calls()
        self.figures["calls a second, load"] = self._rate
        await self._lose("kill", "entry-2")
        await self._site.start_entry(2)
        await wait_until(self._site.is_balanced, "balance", seconds=120)
        await self._lose("freeze", "entry-3")
        self._site.cluster["entry-3"].send_signal(signal.SIGCONT)
        await wait_until(self._site.is_balanced, "balance", seconds=120)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._measure_changes()

    async def _call(self, client):
        while True:
            await client.chat("guide", "next", max_tokens=2, stream=False)
            now = time.monotonic()
            last = self._answered.get(client.program, now)
            gap = max(self._gaps.get(client.program, 0.0), now - last)
            self._gaps[client.program] = gap
            self._answered[client.program] = now
            self._calls = getattr(self, "_calls", 0) + 1
            await asyncio.sleep(CALL_PAUSE_SECONDS)

    async def _count_store_calls(self):
        before = await self._site.cluster.fetch("store", "/statistics")
        calls = getattr(self, "_calls", 0)
        await asyncio.sleep(QUIET_SECONDS)
        after = await self._site.cluster.fetch("store", "/statistics")
        self._rate = round((getattr(self, "_calls", 0) - calls) / QUIET_SECONDS, 1)
        return {
            kind: round((after[kind] - before.get(kind, 0)) / QUIET_SECONDS, 2)
            for kind in sorted(after)
        }

    async def _lose(self, kind, name):
        owned = {
            f"p-{n}"
            for n in range(self._programs)
            if await self._site.find_owner(f"p-{n}") == name
        }
        self._gaps.clear()
        number = signal.SIGKILL if kind == "kill" else signal.SIGSTOP
        self._site.cluster[name].send_signal(number)
        lost_at = time.monotonic()
        await asyncio.sleep(AFTER_SECONDS)
        gaps = [self._gaps.get(program, 0.0) for program in owned]
        for index, program in enumerate(owned):
            last = self._answered.get(program, lost_at)
            gaps[index] = max(gaps[index], time.monotonic() - last)
        self.figures[f"seconds without service, {kind}"] = _summarise(gaps)
        others = [g for p, g in self._gaps.items() if p not in owned]
        self.figures[f"longest gap of other programs, {kind}"] = _summarise(others)

    async def _measure_changes(self):
        cases = {
            "healthy": {},
            "slow": {"delay_seconds": SLOW_SECONDS},
        }
        for case, faults in cases.items():
            await self._site.cluster.set_faults("store", delay_seconds=0)
            await self._site.cluster.set_faults("store", **faults)
            self._site.tables["customers"][0]["weight"] += 1
            started = time.monotonic()
            version = await self._site.write_tables(self._site.tables)
            written = time.monotonic()
            self.figures[f"seconds to write a change, store {case}"] = _round(
                written - started
            )
            self.figures[f"seconds until a change is in force, store {case}"] = (
                await self._wait_forced(version, written)
            )
        await self._site.cluster.set_faults("store", delay_seconds=0)
        await self._measure_withdrawal("healthy", "kitamichi", "none")
        await self._measure_withdrawal("out at once", "nyumbani", "hang")

    async def _wait_forced(self, version, since):
        times = {}
        while len(times) < ENTRIES and time.monotonic() - since < FORCE_SECONDS:
            for name in self._site.live_entries():
                if name not in times and await self._has(name, version):
                    times[name] = time.monotonic() - since
            await asyncio.sleep(0.01)
        return _summarise(list(times.values()))

    async def _has(self, name, version):
        return await self._site.read_version(name) >= version

    async def _measure_withdrawal(self, case, customer, outage):
        self._site.withdrawn.add(customer)
        await self._site.write_tables(self._site.tables)
        since = time.monotonic()
        await self._site.cluster.set_faults("store", outage=outage)
        times = {}
        while len(times) < ENTRIES and time.monotonic() - since < FORCE_SECONDS:
            for name in self._site.live_entries():
                status, _ = await self._site.request(
                    "GET", "/v1/address?program=x", entry=name, customer=customer
                )
                if status != 200 and name not in times:
                    times[name] = time.monotonic() - since
            await asyncio.sleep(0.01)
        await self._site.cluster.set_faults("store", outage="none")
        self.figures[f"seconds until a key is refused, store {case}"] = _summarise(
            list(times.values())
        )


def _round(seconds):
    return round(seconds, 3)


def _summarise(values):
    if not values:
        return {"count": 0}
    ordered = sorted(values)
    return {
        "count": len(ordered),
        "p50": _round(ordered[len(ordered) // 2]),
        "p99": _round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]),
        "worst": _round(ordered[-1]),
    }


async def run(options):
    """Run the benchmark and print the figures."""
    async with LocalCluster() as cluster:
        site = Site(cluster, entry_flags=())
        try:
            await site.start(entries=ENTRIES)
            for customer in site.tables["customers"]:
                customer["weight"] = 1
            bench = Bench(site, options.programs)
            await bench.run()
        finally:
            await site.close()
    for name, value in bench.figures.items():
        print(f"{name:52} {json.dumps(value)}")
    print(json.dumps(bench.figures))


if __name__ == "__main__":
    asyncio.run(run(cappa.parse(RecoveryOptions, completion=False)))
