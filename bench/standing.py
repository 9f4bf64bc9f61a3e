"""Measures the cost of the deployed processes while there are no calls.

Run ``python -m bench.standing``. Starts as many entry and history processes as a
site has, with a stand-in for the platform's store, and measures them while idle.
"""

import asyncio
import json
import os
from pathlib import Path

from tests.platform_site import PlatformSite, build_configuration

ENTRIES = 7
COPIES = 4
IDLE_SECONDS = 10.0
SETTLE_SECONDS = 5.0
"""Time after the start for loading metrics and forming the set of copies."""
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def read_cpu_seconds(pid):
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_peak_memory_mib(pid):
    """Return the peak resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no VmHWM")


def count_descriptors(pid):
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def measure():
    """Return one row per role, and one with the store's calls per second."""
    site = PlatformSite()
    await site.start()
    try:
        site.store.put("config", "main", build_configuration())
        roles = {"entry": {}, "history": {}}
        for number in range(1, ENTRIES + 1):
            name = f"entry-{number}"
            site.start_process(name, "entry", f"127.0.1.{number}")
            roles["entry"][name] = site.process(name).pid
        for number in range(1, COPIES + 1):
            name = f"copy-{number}"
            site.start_process(
                name, "history", f"127.0.2.{number}", failure_domain=f"d{number}"
            )
            roles["history"][name] = site.process(name).pid
        await site.wait_ready(*(f"127.0.1.{n}" for n in range(1, ENTRIES + 1)))
        await asyncio.sleep(SETTLE_SECONDS)
        start_cpu_seconds = {
            p: read_cpu_seconds(p) for r in roles.values() for p in r.values()
        }
        calls = site.store.calls
        await asyncio.sleep(IDLE_SECONDS)
        rows = []
        for role, processes in roles.items():
            pids = list(processes.values())
            idle_cpu_seconds = [
                read_cpu_seconds(pid) - start_cpu_seconds[pid] for pid in pids
            ]
            rows.append(
                {
                    "role": role,
                    "started_seconds": round(
                        sum(start_cpu_seconds[p] for p in pids) / len(pids), 2
                    ),
                    "rest_core_percent": round(
                        100
                        * sum(idle_cpu_seconds)
                        / len(idle_cpu_seconds)
                        / IDLE_SECONDS,
                        2,
                    ),
                    "peak_mb": round(max(map(read_peak_memory_mib, pids)), 1),
                    "descriptors": max(map(count_descriptors, pids)),
                }
            )
        per_second = (site.store.calls - calls) / IDLE_SECONDS
        rows.append({"store_calls_per_second": round(per_second, 2)})
        return rows
    finally:
        await site.stop()


def main():
    """Print the rows."""
    for row in asyncio.run(measure()):
        print(json.dumps(row))


if __name__ == "__main__":
    main()
