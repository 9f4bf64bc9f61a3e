"""Tests of the object API adapter against the stand-in server."""

import asyncio
import unittest

from sapphireyard.exceptions import StoreConflict, StoreUnavailable, WatchExpired
from sapphireyard.storage.objects import ObjectStore
from standins._serving import serving
from standins.objects import MAX_VALUE_BYTES, ObjectServer
from standins.scripted_upstream import End, ScriptedUpstream, build_head


class BrokenOffValueTest(unittest.IsolatedAsyncioTestCase):
    async def test_value_without_a_length_is_not_used(self):
        """Nothing tells its end from a broken-off one."""
        head = build_head("", "Object-Version: 7")
        for end in (End.CLOSE, End.RESET, End.CRASH):
            with self.subTest(end):
                server = ScriptedUpstream((head, b"half of a va", end))
                store = ObjectStore(f"http://{await server.start()}")
                self.addAsyncCleanup(server.stop)
                self.addAsyncCleanup(store.close)
                with self.assertRaises(StoreUnavailable):
                    await store.get("journal/1")


class ObjectStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = ObjectServer()
        context = serving(self.server.app)
        address = await context.__aenter__()
        self.addAsyncCleanup(context.__aexit__, None, None, None)
        self.store = ObjectStore(f"http://{address}", call_seconds=0.3)
        self.addAsyncCleanup(self.store.close)

    def set_faults(self, **changes):
        self.server.faults = self.server.faults.merge(changes)
        self.server.on_faults_changed()

    async def test_conditional_writes(self):
        store = self.store
        self.assertIsNone(await store.get("a/b c?d"))
        version = await store.create("a/b c?d", b"one")
        with self.assertRaises(StoreConflict):
            await store.create("a/b c?d", b"two")
        second = await store.update("a/b c?d", b"two", expected_version=version)
        with self.assertRaises(StoreConflict):
            await store.update("a/b c?d", b"three", expected_version=version)
        with self.assertRaises(StoreConflict):
            await store.delete("a/b c?d", expected_version=version)
        stored = await store.get("a/b c?d")
        self.assertEqual((stored.value, stored.version), (b"two", second))
        self.assertEqual(await store.list("a/"), [("a/b c?d", second)])
        await store.delete("a/b c?d", expected_version=second)
        self.assertEqual(await store.list("a/"), [])
        self.assertEqual(store.calls["update"], 2)

    async def test_oversized_value_is_refused(self):
        await self.store.create("most", b"x" * MAX_VALUE_BYTES)
        with self.assertRaises(StoreUnavailable):
            await self.store.create("more", b"x" * (MAX_VALUE_BYTES + 1))

    async def test_watch(self):
        start = await self.store.watch("a/", after_revision=None, timeout_seconds=5)
        waiting = asyncio.ensure_future(
            self.store.watch("a/", after_revision=start.revision, timeout_seconds=5)
        )
        await self.store.create("b/other", b"")
        version = await self.store.create("a/one", b"")
        result = await waiting
        self.assertEqual(
            [(change.name, change.version) for change in result.changes],
            [("a/one", version)],
        )
        with self.assertRaises(WatchExpired):
            await self.store.watch("a/", after_revision=999, timeout_seconds=5)

    async def test_outages(self):
        for outage in ("refuse", "hang", "drop"):
            with self.subTest(outage):
                waiting = asyncio.ensure_future(
                    self.store.watch("", after_revision=0, timeout_seconds=0.1)
                )
                while not self.server.calls["watch"]:
                    await asyncio.sleep(0)
                self.set_faults(outage=outage)
                with self.assertRaises(StoreUnavailable):
                    await self.store.get("a")
                if outage != "hang":
                    with self.assertRaises(StoreUnavailable):
                        await waiting
                waiting.cancel()
                self.set_faults(outage="none")
                self.assertIsNone(await self.store.get("a"))
                self.server.calls.clear()

    async def test_lost_answer_is_no_conflict(self):
        self.assertIsNone(await self.store.get("warm the connection"))
        self.set_faults(lose_answers=1)
        with self.assertRaises(StoreUnavailable):
            await self.store.create("a", b"token")
        self.assertEqual((await self.store.get("a")).value, b"token")
        self.assertEqual(self.server.calls["create"], 1)

    async def test_rate_limit(self):
        self.set_faults(writes_per_second=0.001)
        await self.store.create("first", b"")
        with self.assertRaises(StoreUnavailable):
            await self.store.create("second", b"")
