"""Tests of archives, with damaged files and store outages."""

import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from sapphireyard.archive import ArchiveService
from sapphireyard.clocks import Clock
from sapphireyard.exceptions import CallError, PeerUnavailable, StoreUnavailable
from sapphireyard.journal.archive_files import (
    CHECKSUM_BYTES,
    ArchiveFiles,
    ArchiveIndex,
)
from sapphireyard.journal.archive_reader import ArchiveReader
from sapphireyard.streams.frames import MessageCodec
from standins.memory import MemoryStore

NAME = "journal/h1/1/0000000001"


class IndexTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 100)), max_size=40))
    def test_never_exceeds_capacity(self, additions):
        index = ArchiveIndex(100)
        kept = {}
        for key, size in additions:
            evicted = index.add(key, size)
            kept[key] = size
            for old in evicted:
                del kept[old]
            self.assertEqual(index.total_bytes, sum(kept.values()))
            self.assertLessEqual(index.total_bytes, 100)
            self.assertIn(key, index)


class ArchiveTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = MemoryStore()
        self.handlers = {}
        self.cut = False
        peers = SimpleNamespace(
            codec=MessageCodec(),
            register=self.handlers.__setitem__,
            static_addresses={},
            address="127.0.0.1:1",
            ask=self.ask,
        )
        self.runtime = SimpleNamespace(
            store=self.store,
            peers=peers,
            clock=Clock(),
            settings=SimpleNamespace(
                host="archive-1",
                failure_domain="a",
                data_folder=str(self.folder),
                size_bytes=1000,
            ),
        )
        self.archive = ArchiveService(self.runtime)
        self.archive.files.open()
        await self.archive._announce()
        self.reader = ArchiveReader(self.runtime)
        await self.store.create(NAME, b"records")

    async def ask(self, host, message, *, timeout):
        if self.cut:
            raise PeerUnavailable("cut")
        return await self.handlers[type(message)](message, None)

    def only_file(self):
        (path,) = self.folder.iterdir()
        return path

    async def test_second_read_needs_no_store(self):
        for expected in (1, 1):
            self.assertEqual((await self.reader.get(NAME)).value, b"records")
            # The other two reads are of the object with the archive's address.
            name_reads = self.store.calls["get"] - 2
            self.assertEqual(name_reads, expected)
        with self.store.outage():
            self.assertEqual((await self.reader.get(NAME)).value, b"records")

    async def test_damaged_file_is_read_again_from_the_store(self):
        damages = [
            lambda path: path.write_bytes(path.read_bytes()[:-1]),
            lambda path: path.write_bytes(b"x" * 100),
            lambda path: path.unlink(),
        ]
        for number, damage in enumerate(damages):
            with self.subTest(number):
                await self.reader.get(NAME)
                damage(self.only_file())
                self.assertEqual((await self.reader.get(NAME)).value, b"records")
                self.assertIsNotNone(self.archive.files.read(NAME))

    async def test_mutable_objects_are_not_archived(self):
        await self.store.create("assignment", b"1")
        await self.reader.get("assignment")
        self.assertEqual(list(self.folder.iterdir()), [])
        query = SimpleNamespace(name="assignment")
        with self.assertRaises(CallError):
            await self.archive.answer(query, None)

    async def test_absence_is_not_cached(self):
        name = NAME.replace("01", "02")
        self.assertIsNone(await self.reader.get(name))
        await self.store.create(name, b"later")
        self.assertEqual((await self.reader.get(name)).value, b"later")

    async def test_unreachable_archive_falls_back_to_the_store(self):
        self.cut = True
        self.assertEqual((await self.reader.get(NAME)).value, b"records")
        with self.store.outage(), self.assertRaises(StoreUnavailable):
            await self.reader.get(NAME)

    async def test_restart_indexes_existing_files(self):
        await self.reader.get(NAME)
        (self.folder / "torn.partial").write_bytes(b"x")
        files = ArchiveFiles(self.folder, capacity=1000)
        files.open()
        self.assertEqual(files.total_bytes, CHECKSUM_BYTES + len(b"records"))
        self.assertEqual(files.read(NAME), b"records")
        small = ArchiveFiles(self.folder, capacity=10)
        small.open()
        self.assertIsNone(small.read(NAME))
        self.assertEqual(list(self.folder.iterdir()), [])
