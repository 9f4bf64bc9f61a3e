"""What control costs a daemon of an idle fleet, against the number of hosts.

Starts fleets of several sizes, lets them settle, and reads processor time and
memory of each daemon and the calls to the store over a quiet interval::

    python -m bench.control [--sizes 2,4,8,16] [--seconds 10]

Prints a table, the slope against the number of hosts, and one line of JSON.
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
    """Return processor seconds and resident bytes of a process."""
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
    """Return the cost of a quiet interval on a fleet of `hosts`."""
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
        sent = [await read_peer_bytes(session, each.address, key) for each in entries]
        calls = await cluster.fetch("store", "/statistics")
        await asyncio.sleep(seconds)
        after = [read_process_usage(each.process.pid) for each in entries]
        sent_after = [
            await read_peer_bytes(session, each.address, key) for each in entries
        ]
        calls_after = await cluster.fetch("store", "/statistics")
    cores = [(b[0] - a[0]) / seconds for a, b in zip(before, after)]
    return {
        "hosts": hosts,
        "core_percent": round(100 * sum(cores) / hosts, 3),
        "worst_core_percent": round(100 * max(cores), 3),
        "megabytes": round(max(b[1] for b in after) / MEGABYTE, 1),
        "peer_bytes_a_second": round(
            sum(b - a for a, b in zip(sent, sent_after)) / hosts / seconds, 1
        ),
        "store_calls_a_second": subtract(calls_after, calls, seconds),
    }


def subtract(after, before, seconds):
    """Return the rates of the store's counts by kind."""
    after, before = after.get("calls", after), before.get("calls", before)
    return {
        kind: round((after[kind] - before.get(kind, 0)) / seconds, 2)
        for kind in after
        if isinstance(after[kind], (int, float))
    }


def find_slope(rows, field):
    """Return the least-squares slope of a field against the number of hosts."""
    count = len(rows)
    mean_x = sum(row["hosts"] for row in rows) / count
    mean_y = sum(row[field] for row in rows) / count
    spread = sum((row["hosts"] - mean_x) ** 2 for row in rows)
    product = sum((row["hosts"] - mean_x) * (row[field] - mean_y) for row in rows)
    return product / spread if spread else 0.0


def main():
    """Run the benchmark and print it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="2,4,8,16")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    rows = []
    for size in map(int, options.sizes.split(",")):
        rows.append(asyncio.run(measure(size, options.seconds)))
        print(rows[-1])
    slopes = {
        field: round(find_slope(rows, field), 5)
        for field in ("core_percent", "megabytes", "peer_bytes_a_second")
    }
    print("slope for each host:", slopes)
    print(json.dumps({"rows": rows, "slopes": slopes}))


if __name__ == "__main__":
    main()
