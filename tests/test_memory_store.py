"""Tests of the in-memory store and its faults."""

import unittest

from sapphireyard.exceptions import StoreConflict, StoreUnavailable, WatchExpired
from standins.memory import CONFLICT, DROP, LOSE, MemoryStore


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    FAULTS = [
        (DROP, StoreUnavailable, None),
        (LOSE, StoreUnavailable, b"1"),
        (CONFLICT, StoreConflict, None),
    ]

    async def test_faults_on_create(self):
        for kind, error, value in self.FAULTS:
            with self.subTest(kind=kind):
                store = MemoryStore()
                store.add_fault(kind, operation="create", prefix="a/")
                with self.assertRaises(error):
                    await store.create("a/1", b"1")
                stored = await store.get("a/1")
                self.assertEqual(stored and stored.value, value)

    async def test_conditional_writes(self):
        store = MemoryStore()
        self.assertEqual(await store.create("a", b"1"), 1)
        self.assertEqual(await store.update("a", b"2", expected_version=1), 2)
        with self.assertRaises(StoreConflict):
            await store.create("a", b"3")
        with self.assertRaises(StoreConflict):
            await store.update("a", b"3", expected_version=1)
        with self.assertRaises(StoreConflict):
            await store.delete("a", expected_version=1)
        await store.delete("a", expected_version=2)
        self.assertIsNone(await store.get("a"))

    async def test_watch_returns_changes_in_order(self):
        store = MemoryStore()
        start = await store.watch("a", after_revision=None, timeout_seconds=0)
        for name in ("a1", "b1", "a2"):
            await store.create(name, b"")
        seen = await store.watch("a", after_revision=start.revision, timeout_seconds=60)
        self.assertEqual([change.name for change in seen.changes], ["a1", "a2"])
        with self.assertRaises(WatchExpired):
            await store.watch("a", after_revision=99, timeout_seconds=0)

    async def test_outage(self):
        store = MemoryStore()
        with store.outage(), self.assertRaises(StoreUnavailable):
            await store.create("a", b"1")
        self.assertIsNone(await store.get("a"))
