"""A randomised run of the platform's deployment under faults, as real processes.

``python -m scripts.site_soak --seed 1 --seconds 60`` starts entry and history hosts by
the commands of the deploy file, and callers, upstreams and the store around them. It
injects faults in series that overlap, kills all processes at once at the end, and
checks from outside what the rules on the users' pages require. It prints one line for
each rule; the exit status is 1 when one is broken, and the logs of all processes are
then kept. The seed fixes the faults, but not the timing of the processes.
"""

import asyncio
import dataclasses
import logging
import random
import shutil
import sys
import tempfile
from pathlib import Path
from time import monotonic
from typing import Annotated

import cappa

from scripts.site_callers import Traffic
from scripts.site_checker import RECOVER_SECONDS, RULES, SiteChecker
from scripts.site_faults import PLANNED, Hosts, SiteFaults
from scripts.site_upstreams import Fleet
from tests.platform_site import PlatformSite

HISTORY_SHARE = 0.4
PAGE_ITEMS = 5
"""Objects in one page of the store: fewer than there are upstreams."""
MEASURE_SECONDS = 4.0
"""Time after the recovery in which requests must be served."""
MAX_SHOWN = 5

Flag = cappa.Arg(long=True)


@dataclasses.dataclass
class SiteSoakOptions:
    """Flags of the soak.

    `only` names kinds of faults, separated by commas, or ``planned``; `logs` is the
    folder for the logs.
    """

    seed: Annotated[int, Flag] = 1
    seconds: Annotated[float, Flag] = 60.0
    hosts: Annotated[int, Flag] = 10
    callers: Annotated[int, Flag] = 24
    only: Annotated[str, Flag] = ""
    logs: Annotated[str, Flag] = ""


async def run(options):
    """Run the soak; print the result and return the violations of each rule."""
    # The store's stand-in reports each connection that a killed process leaves.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    site = PlatformSite()
    await site.start()
    fleet = Fleet(site.store, random.Random(f"upstreams {options.seed}"))
    try:
        violations = await _run_on(site, fleet, options)
        if any(violations.values()) or options.logs:
            folder = options.logs or tempfile.mkdtemp(prefix="site-soak-")
            shutil.copytree(site.folder, Path(folder), dirs_exist_ok=True)
            print(f"logs: {folder}")
    finally:
        fleet.stop()
        await site.stop()
    return violations


async def _run_on(site, fleet, options):
    site.store.page_items = PAGE_ITEMS
    histories = max(3, round(options.hosts * HISTORY_SHARE))
    ips = [f"127.0.1.{n}" for n in range(1, options.hosts - histories + 1)]
    traffic = Traffic(site, ips, seed=options.seed)
    checker = SiteChecker(site, traffic, fleet)
    hosts = Hosts(site, checker)
    only = PLANNED if options.only == "planned" else options.only.split(",")
    faults = SiteFaults(
        site,
        hosts,
        fleet,
        traffic,
        checker,
        seed=options.seed,
        only=tuple(filter(None, only)),
    )
    faults.write_version()
    await fleet.start()
    hosts.start(entries=len(ips), histories=histories)
    await site.wait_ready(*ips)
    watch = asyncio.ensure_future(hosts.watch())
    traffic.start(options.callers)
    started = monotonic()
    while monotonic() - started < options.seconds:
        await faults.inject()
    await faults.finish()
    await faults.kill_all()
    await asyncio.sleep(RECOVER_SECONDS)
    recovered_at = monotonic()
    await asyncio.sleep(MEASURE_SECONDS)
    await traffic.stop()
    watch.cancel()
    checker.check_recovery(recovered_at)
    violations = checker.check()
    print(f"seed {options.seed}, {monotonic() - started:.0f} s, {options.hosts} hosts")
    print(f"faults: {faults.describe()}")
    print(f"answers: {traffic.describe()}")
    print(f"checks: {checker.describe()}")
    for note in checker.notes:
        print(f"allowed: {note}")
    for rule, found in violations.items():
        print(
            f"{'VIOLATED' if found else 'holds':8} {rule}: {RULES[rule]} ({len(found)})"
        )
        for violation in found[:MAX_SHOWN]:
            print(f"         {violation}")
    return violations


def main():
    """Run the soak from the command line."""
    options = cappa.parse(SiteSoakOptions, completion=False)
    sys.exit(1 if any(asyncio.run(run(options)).values()) else 0)


if __name__ == "__main__":
    main()
