"""Measures how planned joins and stops of entry hosts affect callers.

Runs a steady load on four hosts, starts a fifth, then stops the first
gracefully, and prints the latency of calls in each phase::

    python -m bench.moves [--programs 16] [--phase-seconds 6]
"""

import argparse
import asyncio
import itertools
import json
import time

import aiohttp

from bench.path import LatencyRecorder
from scripts.client import CallFailed, ProgramClient
from scripts.cluster import LocalCluster
from scripts.demo import CUSTOMERS, find_entry_addresses, start_site

HOSTS = 4
TOOL_PAUSE_SECONDS = 0.05
ANSWER_TOKENS = 4
FLAGS = ("--log-level", "WARNING")


class Traffic:
    """Programs that call continuously; latency is recorded by phase."""

    def __init__(self, session, addresses, keys):
        self._session = session
        self._addresses = addresses
        self._keys = keys
        self.phases = {}
        self.phase = None
        self.failures = []
        self.stopping = False

    def start_phase(self, name):
        """Record calls that start from now on under `name`."""
        self.phase = self.phases.setdefault(name, LatencyRecorder())

    async def run(self, number):
        """Run programs one after the other until `stopping` is set."""
        for turn in itertools.count():
            if self.stopping:
                return
            client = ProgramClient(
                self._session,
                self._addresses,
                self._keys[CUSTOMERS[number % len(CUSTOMERS)]],
                f"steady-{number}-{turn}",
            )
            await self._run_program(client)

    async def _run_program(self, client):
        for turn in range(4):
            phase, started = self.phase, time.perf_counter()
            try:
                if turn == 3:
                    await client.call("booking", {"van": client.program})
                else:
                    await client.chat("guide", "go", max_tokens=ANSWER_TOKENS)
            except CallFailed as error:
                self.failures.append(str(error))
                return
            phase.add(time.perf_counter() - started)
            await asyncio.sleep(TOOL_PAUSE_SECONDS)


async def run(options):
    """Run the phases; return latency by phase and failures."""
    async with LocalCluster() as cluster, aiohttp.ClientSession() as session:
        keys = await start_site(cluster, entries=HOSTS, entry_flags=FLAGS)
        await asyncio.sleep(options.phase_seconds)
        addresses = find_entry_addresses(cluster)
        traffic = Traffic(session, addresses, keys)
        traffic.start_phase("steady")
        tasks = [
            asyncio.ensure_future(traffic.run(number))
            for number in range(options.programs)
        ]
        await asyncio.sleep(options.phase_seconds)
        traffic.start_phase("join")
        flags = ("--address-ttl-seconds", "1", *FLAGS)
        fifth = await cluster.start_entry(HOSTS, *flags)
        await asyncio.sleep(options.phase_seconds)
        traffic.start_phase("stop")
        addresses.append(fifth.address)
        addresses.remove(cluster["entry-0"].address)
        status = await cluster["entry-0"].stop()
        await asyncio.sleep(options.phase_seconds)
        traffic.stopping = True
        await asyncio.gather(*tasks)
    results = {name: phase.describe() for name, phase in traffic.phases.items()}
    return {**results, "failures": traffic.failures, "exit": status}


def main():
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", type=int, default=16)
    parser.add_argument("--phase-seconds", type=float, default=6.0)
    results = asyncio.run(run(parser.parse_args()))
    for name, row in results.items():
        print(f"{name}: {row}")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
