"""Measures outages, store calls and configuration delays on real processes.

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
SAMPLE_SECONDS = 10.0
CALL_PAUSE_SECONDS = 0.05
OUTAGE_SECONDS = 25.0
CHANGE_TIMEOUT_SECONDS = 30.0
STORE_DELAY_SECONDS = 0.5

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class RecoveryOptions:
    """Command line flags: number of programs that call continuously."""

    programs: Annotated[int, Flag] = 24


class RecoveryBenchmark:
    """Runs the measurements one after the other.

    Parameters
    ----------
    site : Site
        Site with the default settings.
    programs : int
        Number of programs that call continuously.
    """

    def __init__(self, site, programs):
        self._site = site
        self._programs = programs
        self._answered_at = {}
        self._longest_gaps = {}
        self.figures = {}

    async def run(self):
        """Measure everything."""
        self.figures["store calls a second, idle"] = await self._sample_store_calls()
        clients = [self._site.build_client(f"p-{n}") for n in range(self._programs)]
        tasks = [asyncio.ensure_future(self._run_client(client)) for client in clients]
        self.figures["store calls a second, load"] = await self._sample_store_calls()
        self.figures["calls a second, load"] = self._call_rate
        await self._measure_outage("kill", "entry-2")
        await self._site.start_entry(2)
        await wait_until(self._site.is_balanced, "balance", seconds=120)
        await self._measure_outage("freeze", "entry-3")
        self._site.cluster["entry-3"].send_signal(signal.SIGCONT)
        await wait_until(self._site.is_balanced, "balance", seconds=120)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._measure_changes()

    async def _run_client(self, client):
        while True:
            await client.chat("guide", "next", max_tokens=2, stream=False)
            now = time.monotonic()
            last = self._answered_at.get(client.program, now)
            gap = max(self._longest_gaps.get(client.program, 0.0), now - last)
            self._longest_gaps[client.program] = gap
            self._answered_at[client.program] = now
            self._calls = getattr(self, "_calls", 0) + 1
            await asyncio.sleep(CALL_PAUSE_SECONDS)

    async def _sample_store_calls(self):
        before = await self._site.cluster.fetch("store", "/statistics")
        calls = getattr(self, "_calls", 0)
        await asyncio.sleep(SAMPLE_SECONDS)
        after = await self._site.cluster.fetch("store", "/statistics")
        self._call_rate = round(
            (getattr(self, "_calls", 0) - calls) / SAMPLE_SECONDS, 1
        )
        return {
            kind: round((after[kind] - before.get(kind, 0)) / SAMPLE_SECONDS, 2)
            for kind in sorted(after)
        }

    async def _measure_outage(self, kind, name):
        owned = {
            f"p-{n}"
            for n in range(self._programs)
            if await self._site.find_owner(f"p-{n}") == name
        }
        self._longest_gaps.clear()
        signal_number = signal.SIGKILL if kind == "kill" else signal.SIGSTOP
        self._site.cluster[name].send_signal(signal_number)
        lost_at = time.monotonic()
        await asyncio.sleep(OUTAGE_SECONDS)
        gaps = [self._longest_gaps.get(program, 0.0) for program in owned]
        # A program that has not been answered again counts up to now.
        for index, program in enumerate(owned):
            last = self._answered_at.get(program, lost_at)
            gaps[index] = max(gaps[index], time.monotonic() - last)
        self.figures[f"seconds without service, {kind}"] = _summarise(gaps)
        others = [g for p, g in self._longest_gaps.items() if p not in owned]
        self.figures[f"longest gap of other programs, {kind}"] = _summarise(others)

    async def _measure_changes(self):
        cases = {
            "healthy": {},
            "slow": {"delay_seconds": STORE_DELAY_SECONDS},
        }
        for store_state, faults in cases.items():
            await self._site.cluster.set_faults("store", delay_seconds=0)
            await self._site.cluster.set_faults("store", **faults)
            self._site.tables["customers"][0]["weight"] += 1
            started = time.monotonic()
            version = await self._site.write_tables(self._site.tables)
            written = time.monotonic()
            self.figures[f"seconds to write a change, store {store_state}"] = _round(
                written - started
            )
            self.figures[f"seconds until a change is in force, store {store_state}"] = (
                await self._time_change(version, written)
            )
        await self._site.cluster.set_faults("store", delay_seconds=0)
        await self._measure_withdrawal("healthy", "kitamichi", "none")
        await self._measure_withdrawal("out at once", "nyumbani", "hang")

    async def _time_change(self, version, since):
        times = {}
        while (
            len(times) < ENTRIES and time.monotonic() - since < CHANGE_TIMEOUT_SECONDS
        ):
            for name in self._site.live_entries():
                if name not in times and await self._has_version(name, version):
                    times[name] = time.monotonic() - since
            await asyncio.sleep(0.01)
        return _summarise(list(times.values()))

    async def _has_version(self, name, version):
        return await self._site.read_version(name) >= version

    async def _measure_withdrawal(self, store_state, customer, outage):
        self._site.withdrawn.add(customer)
        await self._site.write_tables(self._site.tables)
        since = time.monotonic()
        await self._site.cluster.set_faults("store", outage=outage)
        times = {}
        while (
            len(times) < ENTRIES and time.monotonic() - since < CHANGE_TIMEOUT_SECONDS
        ):
            for name in self._site.live_entries():
                status, _ = await self._site.request(
                    "GET", "/v1/address?program=x", entry=name, customer=customer
                )
                if status != 200 and name not in times:
                    times[name] = time.monotonic() - since
            await asyncio.sleep(0.01)
        await self._site.cluster.set_faults("store", outage="none")
        self.figures[f"seconds until a key is refused, store {store_state}"] = (
            _summarise(list(times.values()))
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
            benchmark = RecoveryBenchmark(site, options.programs)
            await benchmark.run()
        finally:
            await site.close()
    for name, value in benchmark.figures.items():
        print(f"{name:52} {json.dumps(value)}")
    print(json.dumps(benchmark.figures))


if __name__ == "__main__":
    asyncio.run(run(cappa.parse(RecoveryOptions, completion=False)))
