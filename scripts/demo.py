"""Runs a small mixed workload through three entry hosts and prints the result.

Starts the stand-ins and the hosts, sends programs with tool pauses and
sub-agents, checks the answers, their order and the number of bookings, and stops
everything.
"""

import asyncio
import json
import sys
import time

import aiohttp

from scripts.client import ProgramClient
from scripts.cluster import LocalCluster
from standins.answers import answer_text

ENTRIES = 3
ENGINES = 2
SERVICES = 2
PROGRAMS = 12
TURNS = 4
ANSWER_TOKENS = 16
TOOL_PAUSE_SECONDS = 0.05
ENGINE_SCALE = "0.2"
"""Real seconds for each second of the engines' timing model."""

CUSTOMERS = ("nyumbani", "kitamichi")


def build_tables(cluster):
    """Return the tables of the demo's site."""
    engines = [
        {"name": name, "address": cluster[name].address}
        for name in (f"engine-{number}" for number in range(ENGINES))
    ]
    services = [
        {"name": name, "address": cluster[name].address}
        for name in (f"booking-{number}" for number in range(SERVICES))
    ]
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
            {"name": "models", "upstreams": engines},
            {"name": "bookings", "upstreams": services},
        ],
        "customers": [{"name": name, "rate": 200, "burst": 200} for name in CUSTOMERS],
    }


async def start_site(cluster, *, entries=ENTRIES, entry_flags=()):
    """Start the stand-ins and entry hosts; return a key for each customer."""
    await cluster.start_store()
    for number in range(ENGINES):
        await cluster.start_engine(
            f"engine-{number}", "--name", f"engine-{number}", "--scale", ENGINE_SCALE
        )
    for number in range(SERVICES):
        await cluster.start_service(f"booking-{number}")
    await cluster.apply_tables(build_tables(cluster))
    keys = {name: await give_key(cluster, name) for name in CUSTOMERS}
    for number in range(entries):
        flags = ("--address-ttl-seconds", "1", *entry_flags)
        await cluster.start_entry(number, *flags)
    return keys


async def give_key(cluster, customer):
    """Create a key for `customer` and return it."""
    text = await cluster.run_operator("keys", "give", customer, "--output", "json")
    return json.loads(text)["key"]


def find_entry_addresses(cluster):
    """Return the addresses of the running entry hosts for callers."""
    return [
        process.address
        for name, process in cluster.processes.items()
        if name.startswith("entry-") and process.alive
    ]


async def run_program(client, rows):
    """Run one program with a booking, tool pauses and a sub-agent.

    Appends (kind, reply) of each call to `rows`.
    """
    for turn in range(TURNS):
        before = list(client.messages)
        text = f"{client.program} turn {turn}"
        reply = await client.chat("guide", text, max_tokens=ANSWER_TOKENS)
        rows.append(("chat", reply))
        expected = answer_text(
            [*before, {"role": "user", "content": text}], ANSWER_TOKENS
        )
        assert client.messages[-1]["content"] == expected, "answer to another history"
        await asyncio.sleep(TOOL_PAUSE_SECONDS)
    rows.append(("booking", await client.call("booking", {"van": client.program})))
    if not client.parent:
        child = ProgramClient(
            client.session,
            client.addresses,
            client.key,
            f"{client.program}.child",
            parent=client.program,
        )
        await run_program(child, rows)
    view = await client.inspect()
    assert view["next_sequence"] == client.sequence + 1, view
    await client.end()


def describe_rows(rows):
    """Return the table that the demo prints."""
    lines = [f"{'kind':10}{'calls':>8}{'first p50':>12}{'whole p50':>12}{'worst':>10}"]
    for kind in sorted({kind for kind, _ in rows}):
        replies = [reply for each, reply in rows if each == kind]
        first = sorted(reply.first_seconds for reply in replies)
        whole = sorted(reply.total_seconds for reply in replies)
        lines.append(
            f"{kind:10}{len(replies):>8}{first[len(first) // 2] * 1000:>9.1f} ms"
            f"{whole[len(whole) // 2] * 1000:>9.1f} ms{whole[-1] * 1000:>7.1f} ms"
        )
    return "\n".join(lines)


async def run_workload(cluster, keys):
    """Run all programs at once; return a (kind, reply) row for each call."""
    rows = []
    addresses = find_entry_addresses(cluster)
    async with aiohttp.ClientSession() as session:
        clients = [
            ProgramClient(
                session,
                addresses[number % len(addresses) :] + addresses,
                keys[CUSTOMERS[number % len(CUSTOMERS)]],
                f"program-{number}",
            )
            for number in range(PROGRAMS)
        ]
        await asyncio.gather(*(run_program(client, rows) for client in clients))
    return rows


async def count_bookings(cluster):
    """Return how many bookings the services executed."""
    totals = [
        (await cluster.fetch(f"booking-{number}", "/executions"))["total"]
        for number in range(SERVICES)
    ]
    return sum(totals)


async def main():
    """Run the demo; return the exit status."""
    async with LocalCluster() as cluster:
        keys = await start_site(cluster)
        started = time.monotonic()
        rows = await run_workload(cluster, keys)
        seconds = time.monotonic() - started
        booked = await count_bookings(cluster)
        statuses = await asyncio.gather(
            *(cluster[f"entry-{number}"].stop() for number in range(ENTRIES))
        )
    print(describe_rows(rows))
    expected = PROGRAMS * 2 * (TURNS + 1)
    print(
        f"{len(rows)} of {expected} calls served in order in {seconds:.1f} s; "
        f"{booked} bookings made, {PROGRAMS * 2} asked; exits {statuses}"
    )
    served = len(rows) == expected and booked == PROGRAMS * 2
    return 0 if served and not any(statuses) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
