"""Measures the CPU time of entry hosts per streamed token.

Streams long answers through one host, which owns the programs, and through a
second one, which forwards the calls to the owner::

    python -m bench.stream [--streams 8] [--tokens 2000]

Prints a row per measurement and one line of JSON.
"""

import argparse
import asyncio
import json

import aiohttp

from bench.control import read_process_usage
from bench.path import CUSTOMER, build_tables
from scripts.client import ProgramClient
from scripts.cluster import LocalCluster
from scripts.demo import give_key

ENGINE_FLAGS = ("--scale", "0.01", "--batch-size", "256", "--kv-tokens", "100000000")
FLAGS = ("--log-level", "WARNING", "--address-ttl-seconds", "1")
SETTLE_SECONDS = 4.0
MICROSECONDS = 1e6


async def measure(cluster, session, key, entry, options, name):
    """Stream through one entry host; return microseconds per token by host."""
    entries = [each for each in cluster.processes if each.startswith("entry")]
    before = {e: read_process_usage(cluster[e].process.pid)[0] for e in entries}
    clients = [
        ProgramClient(session, [cluster[entry].address], key, f"{name}-{number}")
        for number in range(options.streams)
    ]
    replies = await asyncio.gather(
        *(client.chat("guide", "go", max_tokens=options.tokens) for client in clients)
    )
    tokens = sum(reply.body["usage"]["completion_tokens"] for reply in replies)
    cpu_seconds = {
        e: read_process_usage(cluster[e].process.pid)[0] - before[e] for e in entries
    }
    return {
        "through": entry,
        "tokens": tokens,
        "microseconds_a_token": {
            e: round(seconds * MICROSECONDS / tokens, 1)
            for e, seconds in cpu_seconds.items()
        },
    }


async def run(options):
    """Run both measurements; return their rows."""
    rows = []
    async with LocalCluster() as cluster, aiohttp.ClientSession() as session:
        await cluster.start_store()
        await cluster.start_engine("engine", *ENGINE_FLAGS)
        await cluster.start_service("service")
        await cluster.apply_tables(build_tables(cluster))
        key = await give_key(cluster, CUSTOMER)
        await cluster.start_entry(0, *FLAGS)
        rows.append(await measure(cluster, session, key, "entry-0", options, "a"))
        await cluster.start_entry(1, *FLAGS)
        await asyncio.sleep(SETTLE_SECONDS)
        rows.append(await measure(cluster, session, key, "entry-1", options, "b"))
    return rows


def main():
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=8)
    parser.add_argument("--tokens", type=int, default=2000)
    rows = asyncio.run(run(parser.parse_args()))
    for row in rows:
        print(row)
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
