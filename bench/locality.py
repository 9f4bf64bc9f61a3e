"""Measures the savings when callers connect to the owner of their program.

Sends the same calls with 0%, 50% and 100% of the programs connecting to the
owner that ``/v1/address`` returns. Prints the latency of calls, and the bytes
between hosts and the CPU time per call::

    python -m bench.locality [--programs 200]

The experiment follows the client locality tests of G. Staglianó, "Distributed
MQTT+: development of a pub/sub broker for distributed environments",
Politecnico di Milano, 2021, sections 5.2.1 and 6.1.
"""

import argparse
import asyncio
import json

import aiohttp

from bench.control import read_peer_bytes, read_process_usage
from bench.path import CUSTOMER, ENGINE_FLAGS, LatencyRecorder, build_tables
from scripts.client import ProgramClient
from scripts.cluster import LocalCluster
from scripts.demo import give_key

HOSTS = 4
TURNS = 3
ANSWER_TOKENS = 16
SETTLE_SECONDS = 6.0
DIRECT_SHARES = (0.0, 0.5, 1.0)
FLAGS = ("--log-level", "WARNING", "--address-ttl-seconds", "1")
MILLISECONDS = 1e3


async def find_owner(session, address, key, program):
    """Return the address of a program's owner, as callers look it up."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{address}/v1/address?program={program}"
    async with session.get(url, headers=headers) as response:
        return (await response.json())["addresses"][0]["address"]


async def measure(cluster, session, key, admin_key, share, programs):
    """Run programs, `share` of them through their owner; return the costs."""
    entries = [cluster[f"entry-{number}"] for number in range(HOSTS)]
    addresses = [entry.address for entry in entries]

    async def read_costs():
        cpu_seconds = sum(read_process_usage(entry.process.pid)[0] for entry in entries)
        sent = [await read_peer_bytes(session, each, admin_key) for each in addresses]
        return cpu_seconds, sum(sent)

    before = await read_costs()
    latency = LatencyRecorder()
    for number in range(programs):
        name = f"local-{share}-{number}"
        owner = await find_owner(session, addresses[0], key, name)
        others = [each for each in addresses if each != owner]
        direct = number < share * programs
        target = owner if direct else others[number % len(others)]
        client = ProgramClient(session, [target], key, name)
        for _ in range(TURNS):
            reply = await client.chat("guide", "go", max_tokens=ANSWER_TOKENS)
            latency.add(reply.total_seconds)
    after = await read_costs()
    calls = programs * TURNS
    return {
        "direct_share": share,
        **latency.describe(),
        "peer_bytes_a_call": round((after[1] - before[1]) / calls, 1),
        "core_ms_a_call": round(MILLISECONDS * (after[0] - before[0]) / calls, 3),
    }


async def run(options):
    """Measure each share; return the rows."""
    async with LocalCluster() as cluster, aiohttp.ClientSession() as session:
        await cluster.start_store()
        await cluster.start_engine("engine", *ENGINE_FLAGS)
        await cluster.start_service("service")
        await cluster.apply_tables(build_tables(cluster))
        key = await give_key(cluster, CUSTOMER)
        admin_key = await give_key(cluster, "--operator")
        for number in range(HOSTS):
            await cluster.start_entry(number, *FLAGS)
        await asyncio.sleep(SETTLE_SECONDS)
        return [
            await measure(cluster, session, key, admin_key, share, options.programs)
            for share in DIRECT_SHARES
        ]


def main():
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=int, default=200)
    rows = asyncio.run(run(parser.parse_args()))
    for row in rows:
        print(row)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
