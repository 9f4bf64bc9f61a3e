"""Measures the latency added by entry hosts, and the throughput of one.

Calls an engine and a service stand-in directly and through one, then two
entry hosts, in the same run::

    python -m bench.path [--calls 300] [--concurrency 32]

Prints a row per measurement and one line of JSON.
"""

import argparse
import asyncio
import json
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from scripts.client import ProgramClient
from scripts.cluster import LocalCluster
from scripts.demo import give_key

CUSTOMER = "bench"
ANSWER_TOKENS = 4
CALL_PAUSE_SECONDS = 0.03
"""Pause between calls, so that the journal commits at the rate of a host's share."""

MICROSECONDS = 1e6
SETTLE_SECONDS = 3.0
"""Time for a new host to take over its share of partitions."""

MAX_LATENCY_MICROSECONDS = 60_000_000
ENGINE_FLAGS = ("--scale", "0.001", "--batch-size", "256", "--kv-tokens", "100000000")


def build_tables(cluster):
    """Return tables for one engine and one service."""
    return {
        "routes": [
            {"name": "guide", "kind": "model", "pool": "models", "repeatable": True},
            {
                "name": "booking",
                "kind": "service",
                "pool": "bookings",
                "repeatable": False,
            },
        ],
        "pools": [
            {
                "name": "models",
                "batch_size": 256,
                "kv_tokens": 100_000_000,
                "upstreams": [{"name": "engine", "address": cluster["engine"].address}],
            },
            {
                "name": "bookings",
                "service_concurrency": 256,
                "upstreams": [
                    {"name": "service", "address": cluster["service"].address}
                ],
            },
        ],
        "customers": [{"name": CUSTOMER, "rate": 100_000, "burst": 100_000}],
    }


class LatencyRecorder:
    """Collects durations in a histogram."""

    def __init__(self):
        self._histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)

    def add(self, seconds):
        """Record a duration in seconds."""
        self._histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def describe(self):
        """Return p50, p99 and maximum in milliseconds, and the count."""
        return {
            "p50_ms": self._histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": self._histogram.get_value_at_percentile(99) / 1000,
            "worst_ms": self._histogram.get_max_value() / 1000,
            "count": self._histogram.get_total_count(),
        }


async def measure_direct(cluster, session, calls):
    """Return first-chunk and service latency without sapphireyard."""
    first, service = LatencyRecorder(), LatencyRecorder()
    chat_url = f"http://{cluster['engine'].address}/v1/chat/completions"
    service_url = f"http://{cluster['service'].address}/booking"
    for number in range(calls):
        body = {
            "model": "guide",
            "messages": [{"role": "user", "content": f"direct {number}"}],
            "max_tokens": ANSWER_TOKENS,
            "stream": True,
        }
        started = time.perf_counter()
        async with session.post(chat_url, json=body) as response:
            await response.content.readline()
            first.add(time.perf_counter() - started)
            await response.read()
        started = time.perf_counter()
        async with session.post(service_url, json={"n": number}) as response:
            await response.read()
        service.add(time.perf_counter() - started)
    return {"first_chunk": first.describe(), "service": service.describe()}


async def measure_path(session, addresses, key, name, calls):
    """Return first-chunk and service latency through entry hosts."""
    first, service = LatencyRecorder(), LatencyRecorder()
    for number in range(calls):
        await asyncio.sleep(CALL_PAUSE_SECONDS)
        program = ProgramClient(session, addresses, key, f"{name}-{number}")
        reply = await program.chat("guide", f"n {number}", max_tokens=ANSWER_TOKENS)
        first.add(reply.first_seconds)
        reply = await program.call("booking", {"n": number})
        service.add(reply.total_seconds)
    return {"first_chunk": first.describe(), "service": service.describe()}


async def measure_throughput(session, addresses, key, name, calls, concurrency):
    """Return throughput and latency with many concurrent programs."""
    numbers = iter(range(calls))
    latency = LatencyRecorder()

    async def run_programs():
        for number in numbers:
            program = ProgramClient(session, addresses, key, f"{name}-{number}")
            reply = await program.chat("guide", "go", max_tokens=ANSWER_TOKENS)
            latency.add(reply.total_seconds)

    started = time.perf_counter()
    await asyncio.gather(*(run_programs() for _ in range(concurrency)))
    seconds = time.perf_counter() - started
    return {"requests_a_second": round(calls / seconds, 1), **latency.describe()}


async def run(options):
    """Run all measurements; return the results."""
    results = {}
    async with LocalCluster() as cluster:
        await cluster.start_store()
        await cluster.start_engine("engine", *ENGINE_FLAGS)
        await cluster.start_service("service")
        await cluster.apply_tables(build_tables(cluster))
        key = await give_key(cluster, CUSTOMER)
        flags = ("--log-level", "WARNING")
        first_host = await cluster.start_entry(0, *flags)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            results["direct"] = await measure_direct(cluster, session, options.calls)
            addresses = [first_host.address]
            results["one_host"] = await measure_path(
                session, addresses, key, "one", options.calls
            )
            results["throughput_one_host"] = await measure_throughput(
                session,
                addresses,
                key,
                "load",
                options.calls * 4,
                options.concurrency,
            )
            second_host = await cluster.start_entry(1, *flags)
            await asyncio.sleep(SETTLE_SECONDS)
            results["two_hosts"] = await measure_path(
                session,
                [first_host.address, second_host.address],
                key,
                "two",
                options.calls,
            )
            for entry in (first_host, second_host):
                await entry.stop()
    return results


def main():
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=300)
    parser.add_argument("--concurrency", type=int, default=32)
    options = parser.parse_args()
    results = asyncio.run(run(options))
    for name, rows in results.items():
        print(f"{name}: {rows}")
    print(json.dumps(results))


if __name__ == "__main__":
    main()
