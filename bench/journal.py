"""Measures the journal and the assignment.

Run ``python -m bench.journal --seed 1``. Prints JSON: bytes of a call's records
by batch size, commit latency by number of callers with an in-memory store that
answers after a delay, and size, encoding, decoding and planning times of the
assignment. Latency is that of the journal alone, on one event loop, without a
network.
"""

import argparse
import asyncio
import json
import random
import statistics
import time

from sapphireyard.generated_settings import EntrySettings
from sapphireyard.journal.generated_records import CallCompleted, CallReserved
from sapphireyard.journal.journal import JournalRange, JournalService
from sapphireyard.journal.records import pack_record, pack_segment
from sapphireyard.ownership.assignment import (
    Member,
    PartitionEntry,
    create_assignment,
    plan_join,
    plan_moves,
    plan_takeover,
)
from sapphireyard.ownership.assignment_codec import decode_assignment, encode_assignment
from sapphireyard.runtime import Runtime
from standins.memory import MemoryStore

VOCABULARY = [
    "".join(random.Random(number).choices("etaoinshrdlucmfw", k=3 + number % 6))
    for number in range(3000)
]
"""Random pseudo-words."""

BATCHES = (1, 10, 100)
"""Numbers of calls per segment, and of concurrent callers that commit."""

FLEETS = ((8, 256), (410, 8192))
"""Numbers of hosts and partitions."""

STORE_DELAY_SECONDS = 0.003
"""Delay of each response of the store."""

COMMITS_PER_CALLER = 60
WORDS_PER_TEXT = 300
"""Words in a request, and in an answer."""

REPEATS = 5
"""Runs of each timed step; the median is printed."""


def make_text(generator, count):
    """Return text of random words, which compresses about as well as prose."""
    return " ".join(generator.choice(VOCABULARY) for _ in range(count))


def make_records(generator, number):
    """Return the records of one call."""
    program = f"customer-{number % 8}/program-{generator.randrange(10**9)}"
    digest = f"{generator.getrandbits(128):032x}"
    request, answer = (make_text(generator, WORDS_PER_TEXT) for _ in range(2))
    return [
        CallReserved(program, 1, digest, "assistant", True, 900),
        CallCompleted(program, 1, digest, 200, request, answer, 800),
    ]


def measure_records(generator):
    """Return the bytes of a call's records, by number of calls per segment."""
    results = {}
    for batch in BATCHES:
        calls = [make_records(generator, number) for number in range(batch)]
        packed = [
            pack_record(record, partition=7, epoch=9)
            for call in calls
            for record in call
        ]
        value = pack_segment(
            host="entry-1", incarnation=1, number=1, token="0" * 16, records=packed
        )
        results[batch] = {
            "raw_bytes_per_call": round(sum(map(len, packed)) / batch),
            "stored_bytes_per_call": round(len(value) / batch),
        }
    return results


async def measure_commits(generator, callers):
    """Return rates and latencies of commits by concurrent callers."""
    settings = EntrySettings(
        host="entry-1",
        failure_domain="a",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        store="http://127.0.0.1:1",
    )
    store = MemoryStore()
    store.delay_seconds = STORE_DELAY_SECONDS
    runtime = Runtime(settings, store)
    runtime.incarnation = 1
    runtime.journal = JournalService(runtime)
    await runtime.journal.start()
    latencies = []

    async def call(number):
        for _ in range(COMMITS_PER_CALLER):
            records = make_records(generator, number)
            started = time.perf_counter()
            await runtime.journal.commit(records, partition=number)
            latencies.append(time.perf_counter() - started)

    started = time.perf_counter()
    await asyncio.gather(*map(call, range(callers)))
    seconds = time.perf_counter() - started
    await runtime.journal.stop()
    percentiles = statistics.quantiles(latencies, n=100)
    return {
        "commits_per_second": round(len(latencies) / seconds),
        "segments_per_second": round(store.calls["create"] / seconds, 1),
        "p50_ms": round(percentiles[49] * 1000, 1),
        "p99_ms": round(percentiles[98] * 1000, 1),
    }


def build_assignment(hosts, partitions):
    """Return a balanced assignment with one previous owner per partition."""
    members = [
        Member(
            f"entry-{number:03d}",
            1,
            f"10.0.{number // 250}.{number % 250}:7001",
            f"10.0.{number // 250}.{number % 250}:8001",
            f"domain-{number % 16}",
            f"region-{number % 4}",
        )
        for number in range(hosts)
    ]
    assignment = create_assignment(members[0], partitions=partitions)
    for member in members[1:]:
        assignment = plan_join(assignment, member)
    entries = []
    for partition in range(partitions):
        owner, earlier = members[partition % hosts], members[(partition + 1) % hosts]
        source = JournalRange(earlier.host, 1, partition + 9, partition + 11, 400)
        entries.append(
            PartitionEntry(owner.host, 1, 401 + partition, 1000 + partition, (source,))
        )
    return assignment.change(entries=entries)


def time_step(step):
    """Return the median time of a step in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        step()
        times.append(time.perf_counter() - started)
    return round(statistics.median(times) * 1000, 2)


def measure_assignment(hosts, partitions):
    """Return the size of an assignment, and the times to encode, decode and plan it."""
    assignment = build_assignment(hosts, partitions)
    value = encode_assignment(assignment)
    joined = plan_join(assignment, Member("new", 1, "p:1", "c:1", "domain-1"))
    return {
        "stored_bytes": len(value),
        "encode_ms": time_step(lambda: encode_assignment(assignment)),
        "decode_ms": time_step(lambda: decode_assignment(value)),
        "plan_takeover_ms": time_step(
            lambda: plan_takeover(assignment, "entry-001", last=10**6)
        ),
        "plan_moves_ms": time_step(
            lambda: plan_moves(joined, "entry-001", limit=partitions)
        ),
    }


def main():
    """Print all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    generator = random.Random(options.seed)
    results = {
        "seed": options.seed,
        "records": measure_records(generator),
        "commits": {
            callers: asyncio.run(measure_commits(generator, callers))
            for callers in BATCHES
        },
        "assignment": {
            f"{hosts} hosts, {partitions} partitions": measure_assignment(
                hosts, partitions
            )
            for hosts, partitions in FLEETS
        },
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
