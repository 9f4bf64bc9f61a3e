"""Retirements, lost disks, power cuts and store outages together, in virtual time.

As many hosts are lost at once as the settings allow: a host counts as lost from the
loss of its disk until every member of the set serves again. Nothing acknowledged may
be lost then, and once all faults have ended, turns must be served again.
"""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import example, given, settings, strategies as st

from sapphireyard.exceptions import CallError, StoreError
from sapphireyard.history.service import GONE_SECONDS
from tests.history_world import GOSSIP_SECONDS, KEEP_SECONDS, Disk, World
from tests.virtual_loop import VirtualLoop

EXAMPLES = 60
RETIRE_SECONDS = 0.5
"""Interval between attempts to complete a retirement."""
DOWN_SECONDS = 1.5
JOIN_SECONDS = 1.0
"""Longest time in which a host becomes a full member."""
SILENCE_SECONDS = GONE_SECONDS + GOSSIP_SECONDS
"""Time after which a lost host is known to be gone."""
FLEETS = ((2, 3), (2, 6), (2, 7), (1, 3), (1, 4), (1, 5))
"""Disks that may be lost at once, and hosts."""


class LossWorld(World):
    """A `World` that loses at most as many disks at once as it may."""

    def __init__(self, folder, tolerated, hosts):
        super().__init__(folder, copies="abcdefg"[:hosts], tolerated=tolerated)
        self._folder = folder
        self._lost = set()
        self._retiring = {}

    async def stop(self):
        for task in self._retiring.values():
            task.cancel()
        await super().stop()

    async def wipe(self, choices):
        """Lose the disks of several hosts at the same moment; they come back empty."""
        chosen = self._choose_lost(choices)
        for name in chosen:
            await self.kill(name)
            self.disks[name].wipe()
        await asyncio.sleep(DOWN_SECONDS)
        for name in chosen:
            await self.run(name)

    async def power_cut(self, choices):
        """Stop all hosts at the same moment; some of them lose their disks."""
        chosen = self._choose_lost(choices)
        await self.kill_all()
        for name in chosen:
            self.disks[name].wipe()
        for entry in list(self.clients):
            self.start_entry(entry)
        await asyncio.sleep(DOWN_SECONDS)
        for name in list(self.disks):
            await self.run(name)

    async def replace(self, choice):
        """Remove a host with its disk for good; another one comes."""
        for name in self._choose_lost([choice]):
            await self.kill(name)
            self.disks[name].wipe()
            self.retired.add(name)
            await self.add()

    async def add(self):
        """Add a host."""
        name = f"n{len(self.disks)}"
        self.disks[name] = Disk(self._folder / name)
        await self.run(name)

    def retire(self, choice):
        """Ask a host to leave; it is removed as soon as it says that it may be."""
        running = sorted(set(self.services) - set(self._retiring))
        if running:
            name = running[choice % len(running)]
            self._retiring[name] = asyncio.ensure_future(self._retire(name))

    async def _retire(self, name):
        while True:
            service = self.services.get(name)
            if service is not None:
                try:
                    await service.retire()
                    break
                except (CallError, StoreError):
                    pass
            await asyncio.sleep(RETIRE_SECONDS)
        if self.services.get(name) is not service:
            return
        self.retired.add(name)
        await self.kill(name)
        self.disks[name].wipe()

    async def serve_new(self):
        """Commit a turn and reserve tokens for it, which must succeed."""
        number = self._numbers
        await self.commit("x", 0)
        if f"t{number + 1}" not in self.texts:
            raise AssertionError(f"a new turn is refused by {self._describe()}")
        synced = await self.clients["y"].reserve(
            "c/new", "new", 1, 1, keep_seconds=KEEP_SECONDS
        )
        await synced

    def _describe(self):
        copies = max(
            (each.copies for each in self.services.values()),
            key=lambda copies: copies.version,
        )
        serving = [n for n, each in self.services.items() if each.serving]
        return f"set {copies.version} {sorted(copies.members)}, serving {serving}"

    def _choose_lost(self, choices):
        """Return as many of the chosen hosts as may be lost now."""
        if self.healthy:
            self._lost.clear()
        running = sorted(self.services)
        chosen = []
        for choice in choices:
            if not running or len(self._lost) >= self.tolerated:
                break
            name = running[choice % len(running)]
            if name not in self._lost:
                self._lost.add(name)
                chosen.append(name)
        return chosen


numbers = st.integers(0, 11)
steps = st.one_of(
    st.tuples(st.just("commit"), st.sampled_from("xy"), numbers),
    st.tuples(st.just("spend"), numbers),
    st.tuples(st.just("retire"), numbers),
    st.tuples(st.just("wipe"), st.lists(numbers, min_size=1, max_size=3)),
    st.tuples(st.just("power_cut"), st.lists(numbers, max_size=3)),
    st.tuples(st.just("replace"), numbers),
    st.tuples(
        st.just("add"),
    ),
    st.tuples(
        st.just("age"),
    ),
    st.tuples(st.just("store"), st.booleans()),
    st.tuples(st.just("sleep"), st.sampled_from((0.02, 0.3, 1.2, 3.0, 6.0))),
)


async def play(tolerated, hosts, script, folder):
    """Run the steps of a script, then end all faults."""
    world = LossWorld(folder, tolerated, hosts)
    running = []
    try:
        await world.start()
        for name, *arguments in script:
            if name in ("commit", "spend", "wipe", "replace"):
                action = getattr(world, name)(*arguments)
                running.append(asyncio.ensure_future(action))
                await asyncio.sleep(0.01)
            elif name == "sleep":
                await asyncio.sleep(*arguments)
            elif name == "age":
                await asyncio.gather(*running)
                await world.age()
            elif name == "store":
                world.store.unavailable = not arguments[0]
            elif name == "retire":
                world.retire(*arguments)
            else:
                await getattr(world, name)(*arguments)
        await asyncio.gather(*running)
        if script == A_MEMBER_IS_GONE:
            await world.serve_new()
        world.store.unavailable = False
        await world.heal()
        await world.serve_new()
    finally:
        for task in running:
            task.cancel()
        await world.stop()


DISKS_LOST_AFTER_A_RETIREMENT = [
    ("commit", "x", 0),
    ("sleep", 0.3),
    ("retire", 2),
    ("sleep", 0.3),
    ("wipe", [0, 1]),
    ("sleep", 3.0),
]
"""A host is asked to leave; a moment later two others lose their disks."""

STORE_DOWN_DURING_A_RETIREMENT = [
    ("commit", "x", 0),
    ("store", False),
    ("retire", 0),
    ("sleep", 1.2),
    ("wipe", [1, 2]),
    ("sleep", 3.0),
    ("store", True),
    ("sleep", 0.3),
    ("commit", "y", 1),
]

LEAVING_HOST_LOSES_ITS_DISK = [
    ("commit", "x", 0),
    ("retire", 0),
    ("wipe", [0]),
    ("sleep", 3.0),
    ("commit", "x", 1),
]

RETIREMENTS_IN_SERIES = [
    ("commit", "x", 0),
    ("retire", 0),
    ("retire", 1),
    ("retire", 2),
    ("sleep", 0.3),
    ("wipe", [0, 1]),
    ("sleep", 6.0),
    ("power_cut", [0, 1]),
]


HOST_ADDED_BESIDE_LOST_DISKS = [
    ("commit", "x", 0),
    ("wipe", [0, 1]),
    ("add",),
    ("sleep", 3.0),
]

POWER_CUT_AFTER_THE_RETENTION = [
    *[("commit", "x", 0)] * 5,
    ("sleep", 0.2),
    ("age",),
    ("commit", "x", 0),
    ("sleep", 0.2),
    ("power_cut", [0]),
    ("sleep", 6.0),
    ("commit", "y", 1),
]
"""All lose power, one its disk, after the files that named the set were deleted."""

A_MEMBER_IS_GONE = [("replace", 0), ("sleep", 3.0)]
"""The host that comes must not wait for the one that is gone."""


class HistoryLossesTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @example((2, 3), DISKS_LOST_AFTER_A_RETIREMENT)
    @example((2, 6), DISKS_LOST_AFTER_A_RETIREMENT)
    @example((2, 3), STORE_DOWN_DURING_A_RETIREMENT)
    @example((2, 6), STORE_DOWN_DURING_A_RETIREMENT)
    @example((2, 3), LEAVING_HOST_LOSES_ITS_DISK)
    @example((1, 4), LEAVING_HOST_LOSES_ITS_DISK)
    @example((2, 7), RETIREMENTS_IN_SERIES)
    @example((1, 5), RETIREMENTS_IN_SERIES)
    @example((2, 3), HOST_ADDED_BESIDE_LOST_DISKS)
    @example((2, 3), A_MEMBER_IS_GONE)
    @example((1, 4), POWER_CUT_AFTER_THE_RETENTION)
    @example((2, 6), POWER_CUT_AFTER_THE_RETENTION)
    @given(st.sampled_from(FLEETS), st.lists(steps, min_size=5, max_size=25))
    def test_allowed_losses_in_any_order_lose_nothing_and_end(self, fleet, script):
        self.run_virtually(lambda folder: play(*fleet, script, folder))

    def test_hosts_join_soon(self):
        """A second after a loss is known; each case has losses to bear and hosts."""
        cases = [
            (1, 4, "emptied", JOIN_SECONDS),
            (2, 3, "emptied", JOIN_SECONDS),
            (2, 6, "emptied", JOIN_SECONDS),
            (1, 4, "replaced", SILENCE_SECONDS + JOIN_SECONDS),
            (2, 3, "replaced", SILENCE_SECONDS + JOIN_SECONDS),
            (2, 6, "replaced", SILENCE_SECONDS + JOIN_SECONDS),
        ]

        async def lose_one(folder, tolerated, hosts, how):
            world = LossWorld(folder, tolerated, hosts)
            try:
                await world.start()
                await world.commit("x", 0)
                now = asyncio.get_running_loop().time
                lost_at = now()
                await world.kill("a")
                world.disks["a"].wipe()
                if how == "emptied":
                    await world.run("a")
                else:
                    world.retired.add("a")
                    await world.add()
                while not world.healthy:
                    await asyncio.sleep(0.02)
                return now() - lost_at
            finally:
                await world.stop()

        for *case, seconds in cases:
            with self.subTest(case):
                took = self.run_virtually(lambda folder: lose_one(folder, *case))
                self.assertLess(took, seconds)

    def test_hosts_that_forgot_the_set_resume_without_a_loss(self):
        """Their logs are those of builds that deleted the set with old turns.

        Each case has the losses to bear, hosts, and the hosts whose disks are lost.
        """
        cases = [
            (1, 4, ""),
            (1, 4, "a"),
            (2, 3, ""),
            (2, 3, "ab"),
            (2, 6, "bc"),
            (1, 1, ""),
        ]

        async def forget(folder, tolerated, hosts, lost):
            world = LossWorld(folder, tolerated, hosts)
            try:
                await world.start()
                for number in range(5):
                    await world.commit("x", number)
                await world.kill_all()
                for name, disk in world.disks.items():
                    disk.forget_set()
                    if name in lost:
                        disk.wipe()
                await world.heal()
                self.assertTrue(world.healthy)
                if hosts > 1:
                    await world.serve_new()
                await world.kill_all()
                await world.heal()
            finally:
                await world.stop()

        for case in cases:
            with self.subTest(case):
                self.run_virtually(lambda folder: forget(folder, *case))

    def test_histories_that_are_gone_for_good_are_not_reset_silently(self):
        """All disks are lost; what may be lost is refused until it is accepted."""

        async def lose_all(folder):
            world = LossWorld(folder, tolerated=2, hosts=3)
            try:
                await world.start()
                await world.commit("x", 0)
                await world.kill_all()
                for disk in world.disks.values():
                    disk.wipe()
                for name in list(world.disks):
                    await world.run(name)
                await world.wait_for_joins()
                self.assertTrue(world.healthy)
                client = world.clients["x"]
                client._cache.clear()
                with self.assertRaises(CallError) as caught:
                    await client.read_chain("t1")
                self.assertEqual(caught.exception.code, "history_unavailable")
                with self.assertRaises(CallError) as caught:
                    await client.reserve("c/p", "t2", 1, 9, keep_seconds=KEEP_SECONDS)
                self.assertEqual(caught.exception.code, "history_unavailable")
                self.assertGreater(caught.exception.retry_after, KEEP_SECONDS / 2)
                await world.commit("x", 0)
                self.assertEqual(client.copies.lost_before, 4)
                await client.read_chain("t2")
                accepted = json.dumps({"version": client.copies.version}).encode()
                await world.store.create("copies/accepted-loss", accepted)
                await world.wait_for_joins()
                await world.serve_new()
                with self.assertRaises(CallError) as caught:
                    await client.read_chain("t1")
                self.assertEqual(caught.exception.code, "turn_unknown")
            finally:
                await world.stop()

        self.run_virtually(lose_all)

    def run_virtually(self, scenario):
        """Run a scenario, which gets a folder, in virtual time."""
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            with tempfile.TemporaryDirectory() as folder:
                return loop.run_until_complete(scenario(Path(folder)))
        finally:
            asyncio.set_event_loop(None)
            loop.close()


if __name__ == "__main__":
    unittest.main()
