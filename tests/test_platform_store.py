"""Tests the client of the platform's store against a stand-in over HTTP."""

import asyncio
import sys
import unittest
from unittest import mock

from aiohttp import web

from sapphireyard.exceptions import StoreUnavailable
from standins import site_store
from standins.scripted_upstream import End, ScriptedUpstream, build_head
from standins.site_store import SiteStore
from tests.platform_site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from adapter.store import PlatformStore  # noqa: E402


class BrokenOffAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_broken_off_answer_is_an_outage(self):
        """Cases are what is received of the answer before its connection ends."""
        page = b'{"items":[],"more-pages":false,"current-rev":5}'
        for data in (b"", page[:20], page[:-1]):
            for end in (End.CLOSE, End.RESET):
                with self.subTest(data=data, end=end):
                    server = ScriptedUpstream((build_head(""), data, 0.02, end))
                    store = PlatformStore(await server.start())
                    self.addAsyncCleanup(server.stop)
                    self.addAsyncCleanup(store.close)
                    with self.assertRaises(StoreUnavailable):
                        await store.list_objects("servers")


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = SiteStore()
        runner = web.AppRunner(self.site.app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.addAsyncCleanup(runner.cleanup)
        self.store = PlatformStore("127.0.0.1:%d" % runner.addresses[0][1])
        self.addAsyncCleanup(self.store.close)

    async def watch(self, revision):
        """Return what was changed and which names were deleted since a revision."""
        changes = await self.store.watch_objects("k", revision=revision, seconds=0.1)
        return (
            sorted((item.name, item.spec) for item in changes.changed),
            sorted(item.name for item in changes.deleted),
        )

    async def test_connections_that_fell_silent_cost_one_call(self):
        """Cases are how many idle connections were open when all fell silent."""
        for idle in (1, 2, 5):
            with self.subTest(idle):
                await self.asyncSetUp()
                self.site.put("k", "a", "old")
                await asyncio.gather(
                    *(self.store.list_objects("k") for _ in range(idle))
                )
                self.site.silence_connections()
                with self.assertRaises(StoreUnavailable):
                    await self.store.list_objects("k")
                objects, _ = await self.store.list_objects("k")
                self.assertEqual([item.spec for item in objects], ["old"])

    async def test_watch_in_progress_outlasts_another_call_without_an_answer(self):
        _, revision = await self.store.list_objects("k")
        watch = asyncio.ensure_future(
            self.store.watch_objects("k", revision=revision, seconds=2.0)
        )
        await asyncio.sleep(0.1)
        self.site.faults = self.site.faults.merge({"outage": "hang"})
        with self.assertRaises(StoreUnavailable):
            await self.store.list_objects("k")
        self.site.faults = self.site.faults.merge({"outage": "none"})
        self.site.put("k", "a", "new")
        self.assertEqual([item.spec for item in (await watch).changed], ["new"])

    async def test_watch_returns_the_last_change_of_an_object(self):
        """Cases are the changes of an object in order, and whether it exists then."""
        cases = [
            (("put",), True),
            (("put", "put"), True),
            (("put", "remove"), False),
            (("remove",), False),
            (("remove", "put"), True),
            (("put", "remove", "put"), True),
            (("remove", "put", "remove"), False),
        ]
        for steps, exists in cases:
            with self.subTest(steps):
                await self.asyncSetUp()
                self.site.put("k", "a", "old")
                _, revision = await self.store.list_objects("k")
                for number, step in enumerate(steps):
                    if step == "put":
                        self.site.put("k", "a", f"new-{number}")
                    else:
                        self.site.remove("k", "a")
                changed, deleted = await self.watch(revision)
                if exists:
                    spec = f"new-{len(steps) - 1}"
                    self.assertEqual((changed, deleted), ([("a", spec)], []))
                else:
                    self.assertEqual((changed, deleted), ([], ["a"]))

    async def test_changes_between_pages_are_seen(self):
        """An object of the first page changes before the second page is read."""
        for step in ("put", "remove"):
            with self.subTest(step), mock.patch.object(site_store, "PAGE_ITEMS", 2):
                await self.asyncSetUp()
                for name in "abc":
                    self.site.put("k", name, "old")
                call = self.store._call
                pages = []

                async def change_after_first_page(
                    *args, pages=pages, call=call, **options
                ):
                    page = await call(*args, **options)
                    pages.append(page)
                    if len(pages) == 1:
                        if step == "put":
                            self.site.put("k", "a", "new")
                        else:
                            self.site.remove("k", "a")
                    return page

                self.store._call = change_after_first_page
                items, revision = await self.store.list_objects("k")
                self.assertEqual(len(pages), 2)
                self.assertEqual([item.name for item in items], ["a", "b", "c"])
                self.store._call = call
                changed, deleted = await self.watch(revision)
                expected = ([("a", "new")], []) if step == "put" else ([], ["a"])
                self.assertEqual((changed, deleted), expected)
