"""Measures what a copy that was away must fetch, and what that does to other calls.

Four copies and a client run in this process, over real connections and disks, so that
all of them share one core::

    python -m bench.repair [--turns 12000] [--bytes 4096]

The turns are written while one copy is away; each has a reservation too. Prints a line
of JSON: seconds until that copy has all of them, the bytes that it received and sent,
the times of commits before and meanwhile, and the bytes a second that all copies send
each other when nothing is missing.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path

from sapphireyard.fleet.generated_fleet import Heartbeat
from sapphireyard.fleet.membership import HISTORY
from sapphireyard.history.client import HistoryClient
from sapphireyard.history.generated_history import Turn
from sapphireyard.history.service import HistoryService
from standins.memory import MemoryStore
from tests.history_case import Host

COPIES = ("a", "b", "c", "d")
AWAY = "d"
KEEP_SECONDS = 600.0
WRITERS = 16
PROGRAM_TURNS = 10
COMMIT_PAUSE_SECONDS = 0.05
CALM_SECONDS = 5.0
MILLISECONDS = 1000.0
PERCENT = 100


class Fleet:
    """Copies and a client that know each other's addresses."""

    def __init__(self, folder):
        self._folder = Path(folder)
        self._store = MemoryStore()
        self.hosts = {}
        self.copies = {}

    async def start(self):
        """Start all, and wait until the set has all copies."""
        self.client = HistoryClient(await self._listen("entry"))
        for name in COPIES:
            await self.start_copy(name)

    async def start_copy(self, name):
        """Start a copy on its disk; return once it serves."""
        copy = self.copies[name] = HistoryService(await self._listen(name))
        await copy.start()
        while not copy.serving:
            await asyncio.sleep(0.01)
        self.client.update_copies(copy.copies)

    async def stop_copy(self, name):
        """Stop a copy."""
        await self.copies.pop(name).stop()
        await self.hosts[name].peers.on_stop()

    async def stop(self):
        """Stop all."""
        for name in list(self.copies):
            await self.stop_copy(name)
        await self.hosts["entry"].peers.on_stop()

    async def _listen(self, name):
        host = self.hosts[name] = Host(name, self._store, self._folder)
        await host.listen()
        for one in self.hosts.values():
            for other in self.hosts.values():
                one.peers.static_addresses[other.host] = other.address
                one.gossip.membership.record_heartbeat(
                    Heartbeat(other.host, 1, 1, other.address, HISTORY, "a"), 0.0
                )
        return host

    @property
    def sent_bytes(self):
        """int: Bytes that the copies have sent."""
        return sum(self.hosts[name].peers.sent_bytes for name in self.copies)


def build_turn(number, size):
    """Return a turn of a program with `PROGRAM_TURNS` turns."""
    name = f"t{number}"
    previous = f"t{number - 1}" if number % PROGRAM_TURNS else ""
    program = f"c/p{number // PROGRAM_TURNS}"
    text = bytes(size)
    return Turn(name, previous, "c", program, 10, text, b"", KEEP_SECONDS)


async def write(fleet, numbers, size):
    """Reserve tokens for turns and commit them, several at a time."""
    programs = iter(range(numbers.start, numbers.stop, PROGRAM_TURNS))

    async def run():
        for first in programs:
            for number in range(first, first + PROGRAM_TURNS):
                turn = build_turn(number, size)
                synced = await fleet.client.reserve(
                    turn.program, turn.turn, 10, 10**6, keep_seconds=KEEP_SECONDS
                )
                await synced
                await fleet.client.commit(turn)

    await asyncio.gather(*(run() for _ in range(WRITERS)))


async def time_commits(fleet, numbers, size, done):
    """Commit one turn after the other until done; return the times in ms."""
    times = []
    while not done():
        turn = build_turn(next(numbers), size)
        started = time.perf_counter()
        await fleet.client.commit(turn)
        times.append((time.perf_counter() - started) * MILLISECONDS)
        await asyncio.sleep(COMMIT_PAUSE_SECONDS)
    return times


def summarize(times):
    """Return the middle and the 99th percentile of times."""
    points = statistics.quantiles(times, n=PERCENT)
    return {"p50": round(points[49], 1), "p99": round(points[98], 1)}


async def measure(turns, size):
    """Return the figures as a dict."""
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        await fleet.start()
        numbers = iter(range(PROGRAM_TURNS * turns, 2 * PROGRAM_TURNS * turns))
        calm_until = loop.time() + CALM_SECONDS
        before = await time_commits(
            fleet, numbers, size, lambda: loop.time() > calm_until
        )
        sent = fleet.sent_bytes
        await asyncio.sleep(CALM_SECONDS)
        idle = (fleet.sent_bytes - sent) / CALM_SECONDS
        await fleet.stop_copy(AWAY)
        await write(fleet, range(turns), size)
        sent = fleet.sent_bytes
        started = loop.time()
        await fleet.start_copy(AWAY)
        state = fleet.copies[AWAY]._state

        def is_repaired():
            return all(state.find_turn(f"t{number}") for number in range(turns))

        meanwhile = await time_commits(fleet, numbers, size, is_repaired)
        figures = {
            "turns": turns,
            "bytes": size,
            "seconds": round(loop.time() - started, 2),
            "sent_mb": round((fleet.sent_bytes - sent) / 1e6, 1),
            "commit_ms_before": summarize(before),
            "commit_ms_meanwhile": summarize(meanwhile),
            "idle_bytes_per_second": round(idle),
        }
        await fleet.stop()
    return figures


def main():
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--turns", type=int, default=12_000)
    parser.add_argument("--bytes", type=int, default=4096)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.turns, arguments.bytes))))


if __name__ == "__main__":
    main()
