"""What the deployed processes cost while nobody calls.

Run ``python -m bench.standing``. Starts entry and history processes as a site has
them, before a stand-in of the platform's store, and looks at them at rest.
"""

import asyncio
import json
import os
from pathlib import Path

from tests.platform_site import PlatformSite, build_configuration

ENTRIES = 7
COPIES = 4
REST_SECONDS = 10.0
SETTLE_SECONDS = 5.0
"""Time after the start in which metrics are loaded and the set of copies forms."""
TICKS = os.sysconf("SC_CLK_TCK")


def read_processor_seconds(pid):
    """Return the seconds of processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_memory_mb(pid):
    """Return the resident memory of a process at its peak, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no VmHWM")


def count_descriptors(pid):
    """Return how many files and sockets a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def measure():
    """Return one row for each role, and the store's calls a second."""
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
        begun = {
            p: read_processor_seconds(p) for r in roles.values() for p in r.values()
        }
        calls = site.store.calls
        await asyncio.sleep(REST_SECONDS)
        rows = []
        for role, processes in roles.items():
            pids = list(processes.values())
            used = [read_processor_seconds(pid) - begun[pid] for pid in pids]
            rows.append(
                {
                    "role": role,
                    "started_seconds": round(
                        sum(begun[p] for p in pids) / len(pids), 2
                    ),
                    "rest_core_percent": round(
                        100 * sum(used) / len(used) / REST_SECONDS, 2
                    ),
                    "peak_mb": round(max(map(read_memory_mb, pids)), 1),
                    "descriptors": max(map(count_descriptors, pids)),
                }
            )
        per_second = (site.store.calls - calls) / REST_SECONDS
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
