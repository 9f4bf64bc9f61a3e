"""The faults of the soak, in an order that follows from a seed."""

import asyncio
import signal
import time

from sapphireyard.configuration.keys import create_key
from sapphireyard.exceptions import StoreError
from scripts.fault_series import FaultSeries

FREEZE_SECONDS = (0.3, 5.0)
OUTAGE_SECONDS = (0.5, 6.0)
LEAVE_SECONDS = 5.0
"""Time after which an upstream that is leaving must get no new calls."""

WITHDRAW_SECONDS = 5.0
"""Time after which entry hosts must refuse a withdrawn key."""

MIN_ENTRIES = 3
"""Entry hosts that are left without a fault at any time."""


class FaultInjector(FaultSeries):
    """Injects one fault after the other; several may overlap.

    Parameters
    ----------
    site : Site
        The site to inject faults into.
    checker : Checker
        Records checks and violations made along with the faults.
    seed : int
        Fixes the faults and their order.
    only : str, optional
        Kinds of faults to use, separated by commas; all by default.
    """

    def __init__(self, site, checker, *, seed, only=""):
        super().__init__(checker, seed=seed)
        self._site = site
        self._tables_lock = asyncio.Lock()
        self._faulty = set()
        kinds = {
            "kill": self._kill_entry,
            "freeze": self._freeze_entry,
            "stop": self._stop_entry,
            "outage": self._interrupt_store,
            "slow": self._slow_store,
            "lose": self._lose_store_answers,
            "engine": self._kill_engine,
            "silence": self._silence_engine,
            "service": self._break_service,
            "change": self._change_weight,
            "withdraw": self._withdraw_key,
            "leave": self._mark_upstream_leaving,
        }
        names = only.split(",") if only else list(kinds)
        self._kinds = {name: kinds[name] for name in names}

    def _choose_entry(self):
        """Return an entry host without a fault, or "" if too few are left."""
        names = [n for n in self._site.live_entries() if n not in self._faulty]
        if len(names) <= MIN_ENTRIES:
            return ""
        name = self._random.choice(names)
        self._faulty.add(name)
        return name

    async def _restart(self, name):
        await self._site.start_entry(int(name.rpartition("-")[2]))
        self._faulty.discard(name)

    async def _kill_entry(self):
        name = self._choose_entry()
        if name:
            await self._site.cluster[name].kill()
            await asyncio.sleep(self._random.uniform(0.0, 4.0))
            await self._restart(name)

    async def _freeze_entry(self):
        name = self._choose_entry()
        if not name:
            return
        self._site.cluster[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(*FREEZE_SECONDS))
        self._site.cluster[name].send_signal(signal.SIGCONT)
        self._faulty.discard(name)

    async def _stop_entry(self):
        name = self._choose_entry()
        if not name:
            return
        status = await self._site.cluster[name].stop()
        self._checker.check_counts["stop"] += 1
        if status:
            self._checker.record_violation(
                "stop", f"{name} exited with status {status}"
            )
        await self._restart(name)

    async def _set_store_faults(self, seconds, **faults):
        if "store" in self._faulty:
            return
        self._faulty.add("store")
        await self._site.cluster.set_faults("store", **faults)
        await asyncio.sleep(seconds)
        healed = {"outage": "none", "delay_seconds": 0, "lose_every": 0}
        await self._site.cluster.set_faults("store", **healed)
        self._faulty.discard("store")

    async def _interrupt_store(self):
        outage = self._random.choice(["refuse", "hang", "drop"])
        seconds = self._random.uniform(*OUTAGE_SECONDS)
        await self._set_store_faults(seconds, outage=outage)

    async def _slow_store(self):
        seconds = self._random.uniform(*OUTAGE_SECONDS)
        delay = self._random.uniform(0.05, 0.4)
        await self._set_store_faults(seconds, delay_seconds=delay)

    async def _lose_store_answers(self):
        seconds = self._random.uniform(*OUTAGE_SECONDS)
        await self._set_store_faults(seconds, lose_every=self._random.randint(2, 6))

    async def _kill_engine(self):
        name = self._random.choice(self._site.engines)
        if name in self._faulty:
            return
        self._faulty.add(name)
        await self._site.cluster[name].kill()
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        await self._site.start_engine(name)
        await self._write_tables(lambda tables: self._site.refresh_addresses(tables))
        self._faulty.discard(name)

    async def _silence_engine(self):
        name = self._random.choice(self._site.engines)
        if name in self._faulty:
            return
        self._faulty.add(name)
        await self._site.cluster.set_faults(name, silent_after_tokens=3)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        await self._site.cluster.set_faults(name, silent_after_tokens=-1)
        self._faulty.discard(name)

    async def _break_service(self):
        name = self._random.choice(self._site.services)
        kind = self._random.choice(["hang", "drop"])
        when = self._random.choice(["before", "after"])
        await self._site.cluster.set_faults(name, **{kind: when, "count": 2})
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        healed = {"hang": "none", "drop": "none", "count": -1}
        await self._site.cluster.set_faults(name, **healed)

    async def _write_tables(self, change):
        """Change and write the tables; retry while the store is unavailable."""
        async with self._tables_lock:
            while True:
                try:
                    tables = self._site.tables
                    change(tables)
                    await self._site.write_tables(tables)
                    return
                except StoreError:
                    await asyncio.sleep(0.5)

    async def _change_weight(self):
        weight = self._random.randint(1, 5)
        await self._write_tables(
            lambda tables: tables["customers"][0].update(weight=weight)
        )

    async def _withdraw_key(self):
        key = create_key()
        name = f"guest-{self._counts['withdraw']}"

        def add_customer(tables):
            row = {"name": name, "rate": 50, "burst": 50}
            if row not in tables["customers"]:
                tables["customers"].append(row)
            self._site.keys[name] = key

        await self._write_tables(add_customer)
        await asyncio.sleep(WITHDRAW_SECONDS)
        await self._write_tables(lambda tables: self._site.withdrawn.add(name))
        await asyncio.sleep(WITHDRAW_SECONDS)
        for entry in self._site.live_entries():
            self._checker.check_counts["keys"] += 1
            status, body = await self._site.request(
                "GET", "/v1/address?program=x", entry=entry, customer=name
            )
            if status == 200:
                self._checker.record_violation(
                    "keys", f"{entry} serves a withdrawn key"
                )

    async def _mark_upstream_leaving(self):
        name = self._random.choice(self._site.services)
        if {"leaving", name} & self._faulty:
            return
        self._faulty |= {"leaving", name}

        def build_change(state):
            def change(tables):
                for pool in tables["pools"]:
                    for upstream in pool["upstreams"]:
                        if upstream["name"] == name:
                            upstream["state"] = state

            return change

        await self._write_tables(build_change("leaving"))
        await asyncio.sleep(LEAVE_SECONDS)
        before = await self._site.cluster.fetch(name, "/executions")
        left_at = time.monotonic()
        await asyncio.sleep(self._random.uniform(1.0, 3.0))
        after = await self._site.cluster.fetch(name, "/executions")
        self._checker.check_counts["leaving"] += 1
        if after["total"] > before["total"]:
            new = after["total"] - before["total"]
            seconds = time.monotonic() - left_at
            self._checker.record_violation(
                "leaving", f"{name}: {new} new calls in {seconds:.1f} s"
            )
        await self._write_tables(build_change("active"))
        self._faulty -= {"leaving", name}
