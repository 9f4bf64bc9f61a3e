"""Random faults on copies of histories, in virtual time, against a simple model.

Hosts, network and disks are simulated; services and client are the real ones. An
acknowledged turn must never be reported as unknown, and must be readable in full
once all faults have ended. No program may be granted more tokens than its budget.
"""

import asyncio
import tempfile
import unittest
from collections import Counter

from hypothesis import example, given, settings, strategies as st

from tests.history_world import (
    COPIES,
    ENTRIES,
    LATENCY_SECONDS,
    REPAIRED_SECONDS,
    World,
)
from tests.virtual_loop import VirtualLoop

EXAMPLES = 100
MIN_OCCASIONS = 10
OCCASIONS = (
    "scattered chain",
    "turn expired at a copy while it was continued",
    "turn kept by renewals",
    "set changed before a settlement",
)
"""What the promises must be put to in all examples together."""
copies = st.sampled_from(COPIES)
entries = st.sampled_from(ENTRIES)
numbers = st.integers(0, 11)
steps = st.one_of(
    st.tuples(st.just("commit"), entries, numbers),
    st.tuples(st.just("commit_at"), st.sets(copies, min_size=1, max_size=4), numbers),
    st.tuples(st.just("commit_scattered"), st.permutations("abcd")),
    st.tuples(st.just("commit_late"), copies),
    st.tuples(st.just("settle_after_change"), copies),
    st.tuples(st.just("read"), entries, numbers),
    st.tuples(st.just("read_at"), st.sets(copies, min_size=1, max_size=3), numbers),
    st.tuples(st.just("spend"), numbers),
    st.tuples(st.just("replace"), copies),
    st.tuples(
        st.just("replace_all"),
    ),
    st.tuples(st.just("kill"), copies),
    st.tuples(st.just("run"), copies),
    st.tuples(st.just("wipe"), copies),
    st.tuples(st.just("wipe_and_power_off"), copies),
    st.tuples(st.just("retire"), copies),
    st.tuples(st.just("cut"), copies, numbers),
    st.tuples(st.just("lossy"), copies),
    st.tuples(
        st.just("restore_network"),
    ),
    st.tuples(st.just("sleep"), st.sampled_from((0.01, 0.2, 1.2, 3.0))),
    st.tuples(
        st.just("kill_all"),
    ),
    st.tuples(
        st.just("age"),
    ),
    st.tuples(
        st.just("heal"),
    ),
)


async def play(script, folder):
    """Run the steps of a script; several may overlap."""
    world = World(folder)
    running = []
    try:
        await world.start()
        for name, *arguments in script:
            if name in ("commit", "read", "spend"):
                action = getattr(world, name)(*arguments)
                running.append(asyncio.ensure_future(action))
                await asyncio.sleep(LATENCY_SECONDS)
            elif name in ("age", "commit_late"):
                await asyncio.gather(*running)
                await getattr(world, name)(*arguments)
            elif name == "lossy":
                world.network.lossy.add(*arguments)
            elif name == "restore_network":
                world.network.cuts.clear()
                world.network.lossy.clear()
            elif name == "check_repaired":
                world.check_repaired()
            elif name == "sleep":
                await asyncio.sleep(*arguments)
            elif name == "cut":
                world.cut(*arguments)
            else:
                await getattr(world, name)(*arguments)
        await asyncio.gather(*running)
        await world.heal()
        return world.occasions
    finally:
        for task in running:
            task.cancel()
        await world.stop()


JOIN_WITHOUT_THE_HOLDERS = [
    ("commit_at", {"a", "b", "c"}, 0),
    ("wipe", "a"),
    ("lossy", "b"),
    ("kill", "c"),
    ("run", "a"),
    ("sleep", 14.0),
    ("read_at", {"a", "d", "e"}, 0),
]
"""An empty copy joins while the two copies that have a turn cannot be asked."""

POWER_LOST_WITH_THE_DISKS = [
    step
    for name in COPIES
    for step in (
        ("commit_at", {"a", "b", "c"}, 0),
        ("commit", "x", 1),
        ("spend", 0),
        ("wipe_and_power_off", name),
        ("heal",),
    )
]
"""Each copy in turn loses its disk while all other hosts lose power."""

POWER_LOST_AFTER_A_RETIREMENT = [
    ("commit_at", {"a", "b", "c"}, 0),
    ("retire", "a"),
    ("wipe_and_power_off", "b"),
    ("heal",),
]
"""A copy has left, and the next one loses its disk while the others lose power."""

POWER_LOST_BEFORE_REPLACEMENTS = [
    ("commit", "x", 0),
    ("heal",),
    ("wipe_and_power_off", "a"),
    ("replace_all",),
]
"""No further disk is lost until the hosts are back."""

ALL_KILLED_AFTER_THE_RETENTION = [
    *[("commit", "x", 0)] * 5,
    ("sleep", 0.2),
    ("age",),
    ("commit", "x", 0),
    ("spend", 0),
    ("sleep", 0.2),
    ("kill_all",),
    ("heal",),
    ("commit", "y", 1),
]
"""The files in which copies first wrote the set are deleted before all are killed."""


EACH_COPY_MISSES_A_TURN = [
    ("commit_at", {"a", "b", "c"}, 0),
    ("commit_at", {"b", "c", "d"}, 1),
    ("commit_at", {"a", "c", "d"}, 1),
    ("commit_at", {"a", "b", "d"}, 2),
    ("read_all",),
    ("sleep", REPAIRED_SECONDS),
    ("check_repaired",),
]
"""Four turns of one chain, each stored by three of four copies."""


class HistoryMachineTest(unittest.TestCase):
    """All occasions must be drawn, some times at least, or nothing is shown."""

    @classmethod
    def setUpClass(cls):
        cls.occasions = Counter()

    @classmethod
    def tearDownClass(cls):
        found = {name: cls.occasions[name] for name in OCCASIONS}
        if min(found.values()) < MIN_OCCASIONS:
            raise AssertionError(f"occasions drawn: {found}")

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @example(JOIN_WITHOUT_THE_HOLDERS)
    @example(POWER_LOST_WITH_THE_DISKS)
    @example(POWER_LOST_AFTER_A_RETIREMENT)
    @example(POWER_LOST_BEFORE_REPLACEMENTS)
    @example(ALL_KILLED_AFTER_THE_RETENTION)
    @example(EACH_COPY_MISSES_A_TURN)
    @given(st.lists(steps, min_size=10, max_size=40))
    def test_nothing_acknowledged_is_lost_or_denied(self, script):
        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            with tempfile.TemporaryDirectory() as folder:
                self.occasions += loop.run_until_complete(play(script, folder))
        finally:
            asyncio.set_event_loop(None)
            loop.close()
