"""A long randomised run of the whole request path under faults.

``python -m scripts.soak --seed 1 --seconds 60`` starts a site of real
processes, runs programs of several customers on it, injects faults of all
kinds, waits until they have ended, and checks the run from outside. It prints
one line for each point; the exit status is 1 when one is violated. The seed
fixes the faults and the programs, but not the timing of the processes.
"""

import asyncio
import dataclasses
import shutil
import sys
import time
from pathlib import Path
from typing import Annotated

import cappa

from scripts.cluster import LocalCluster
from scripts.sites import Site
from scripts.soak_checker import Checker
from scripts.soak_faults import FaultInjector
from scripts.soak_load import Load

ENTRIES = 5
ENGINES = 3
SERVICES = 3
CONTROL_FLAGS = ("--sweep-seconds", "1", "--lease-seconds", "3")
RATE = 20.0
"""Rate and burst of the customer that sends more than its rate."""

SETTLE_SECONDS = 60.0
"""Longest time for the programs to end after the last fault."""

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class SoakOptions:
    """Flags of the soak; `logs` is a folder to which the processes' logs are copied."""

    seed: Annotated[int, Flag] = 1
    seconds: Annotated[float, Flag] = 60.0
    programs: Annotated[int, Flag] = 10
    only: Annotated[
        str, cappa.Arg(long=True, help="Kinds of faults, separated by commas.")
    ] = ""
    logs: Annotated[str, Flag] = ""


async def run(options):
    """Run the soak; return the exit status."""
    async with LocalCluster() as cluster:
        site = Site(cluster)
        try:
            return await _run_on(site, options)
        finally:
            if options.logs:
                shutil.copytree(cluster.folder, Path(options.logs), dirs_exist_ok=True)
            await site.close()


async def _run_on(site, options):
    site.keys["crowding"] = site.keys["kitamichi"].replace("syk_", "syk_crowding")
    site.customer_limits = {"crowding": {"rate": RATE, "burst": RATE}}
    await site.start(entries=ENTRIES, engines=ENGINES, services=SERVICES)
    await site.start_control(*CONTROL_FLAGS)
    checker = Checker(site, rate=RATE)
    load = Load(site, checker, seed=options.seed, programs=options.programs)
    injector = FaultInjector(site, checker, seed=options.seed, only=options.only)
    started = time.monotonic()
    tasks = [asyncio.ensure_future(checker.watch_versions()), *load.start()]
    while time.monotonic() - started < options.seconds:
        await injector.inject()
    await injector.finish()
    await load.finish(SETTLE_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    findings = await checker.check(load)
    print(f"seed {options.seed}, {time.monotonic() - started:.0f} s")
    print(f"faults: {injector.describe()}")
    print(f"load: {load.describe()}")
    for point, text, violations in findings:
        print(f"{'VIOLATED' if violations else 'holds':8} {point}: {text}")
        for violation in violations[:5]:
            print(f"         {violation}")
    return 1 if any(violations for _, _, violations in findings) else 0


def main():
    """Run the soak from the command line."""
    options = cappa.parse(SoakOptions, completion=False)
    sys.exit(asyncio.run(run(options)))


if __name__ == "__main__":
    main()
