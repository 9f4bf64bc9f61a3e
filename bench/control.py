"""Measures the control-plane cost per daemon in an idle fleet, by fleet size.

Starts fleets of several sizes, waits until they settle, and reads the CPU time
and memory of each daemon and the calls to the store over an idle interval::

    python -m bench.control [--sizes 2,4,8,16] [--seconds 10]

Prints one row per size, the slopes by number of hosts, and one line of JSON.
"""

import argparse
import asyncio
import json
import os
from pathlib import Path

import aiohttp

from scripts.cluster import LocalCluster
from scripts.demo import build_tables, give_key

SETTLE_SECONDS = 20.0
NANOSECONDS = 1e9
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_000_000
FLAGS = ("--log-level", "WARNING", "--address-ttl-seconds", "1")


def read_process_usage(pid):
    """Return the CPU seconds and the resident bytes of a process."""
    nanoseconds = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return nanoseconds / NANOSECONDS, pages * PAGE_BYTES


async def read_peer_bytes(session, address, key):
    """Return the bytes that a host has sent to its peers."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}/metrics"
    async with session.get(url, headers=headers) as response:
        text = await response.text()
    lines = [line for line in text.splitlines() if "peer_bytes" in line]
    values = [float(line.split()[-1]) for line in lines if not line.startswith("#")]
    return sum(values)


async def measure(hosts, seconds):
    """Return the costs of an idle interval in a fleet of `hosts` entry hosts."""
    async with LocalCluster() as cluster, aiohttp.ClientSession() as session:
        await cluster.start_store()
        for name in ("engine-0", "engine-1"):
            await cluster.start_engine(name)
        for name in ("booking-0", "booking-1"):
            await cluster.start_service(name)
        await cluster.apply_tables(build_tables(cluster))
        key = await give_key(cluster, "--operator")
        for number in range(hosts):
            await cluster.start_entry(number, *FLAGS)
        await asyncio.sleep(SETTLE_SECONDS + hosts / 2)
        entries = [cluster[f"entry-{number}"] for number in range(hosts)]
        before = [read_process_usage(each.process.pid) for each in entries]
        bytes_before = [
            await read_peer_bytes(session, each.address, key) for each in entries
        ]
        calls = await cluster.fetch("store", "/statistics")
        await asyncio.sleep(seconds)
        after = [read_process_usage(each.process.pid) for each in entries]
        bytes_after = [
            await read_peer_bytes(session, each.address, key) for each in entries
        ]
        calls_after = await cluster.fetch("store", "/statistics")
    core_shares = [(b[0] - a[0]) / seconds for a, b in zip(before, after)]
    return {
        "hosts": hosts,
        "core_percent": round(100 * sum(core_shares) / hosts, 3),
        "worst_core_percent": round(100 * max(core_shares), 3),
        "megabytes": round(max(b[1] for b in after) / MEGABYTE, 1),
        "peer_bytes_a_second": round(
            sum(b - a for a, b in zip(bytes_before, bytes_after)) / hosts / seconds, 1
        ),
        "store_calls_a_second": compute_rates(calls_after, calls, seconds),
    }


def compute_rates(after, before, seconds):
    """Return the calls per second of each kind between two counts of the store."""
    after, before = after.get("calls", after), before.get("calls", before)
    return {
        kind: round((after[kind] - before.get(kind, 0)) / seconds, 2)
        for kind in after
        if isinstance(after[kind], (int, float))
    }


def fit_slope(rows, field):
    """Return the least-squares slope of a field over the number of hosts."""
    count = len(rows)
    mean_x = sum(row["hosts"] for row in rows) / count
    mean_y = sum(row[field] for row in rows) / count
    sum_xx = sum((row["hosts"] - mean_x) ** 2 for row in rows)
    sum_xy = sum((row["hosts"] - mean_x) * (row[field] - mean_y) for row in rows)
    return sum_xy / sum_xx if sum_xx else 0.0


def main():
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="2,4,8,16")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    rows = []
    for size in map(int, options.sizes.split(",")):
        rows.append(asyncio.run(measure(size, options.seconds)))
        print(rows[-1])
    slopes = {
        field: round(fit_slope(rows, field), 5)
        for field in ("core_percent", "megabytes", "peer_bytes_a_second")
    }
    print("slope per host:", slopes)
    print(json.dumps({"rows": rows, "slopes": slopes}))


if __name__ == "__main__":
    main()
