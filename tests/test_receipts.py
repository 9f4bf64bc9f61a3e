"""Receipts: a withdrawn key that no host had read of was accepted in an outage."""

import unittest

from sapphireyard.configuration.receipts import RECEIPT_PREFIX, Receipts, is_majority
from standins.memory import MemoryStore

DOMAINS = ("a", "b", "c")


class MajorityTest(unittest.TestCase):
    def test_more_than_half_of_the_domains(self):
        cases = [
            ((), (), True),
            ((), ("a",), False),
            (("a",), ("a",), True),
            (("a",), ("a", "b"), False),
            (("a",), DOMAINS, False),
            (("a", "b"), DOMAINS, True),
            (("a", "b"), ("a", "b", "c", "d"), False),
        ]
        for readers, domains, expected in cases:
            with self.subTest(readers=readers, domains=domains):
                self.assertEqual(is_majority(readers, domains), expected)


class ReceiptsTest(unittest.IsolatedAsyncioTestCase):
    async def test_receipts_never_go_back(self):
        receipts = Receipts(MemoryStore())
        for left, readers in ((3, ["a"]), (2, ["a"]), (4, ["a"])):
            with self.subTest(left):
                await receipts.leave("a", left)
                self.assertEqual(await receipts.list_readers(DOMAINS, 3), readers)
        self.assertEqual(await receipts.list_readers(DOMAINS, 5), [])

    async def test_receipt_that_cannot_be_read_is_written_again(self):
        store = MemoryStore()
        receipts = Receipts(store)
        for value in (b"", b"x", b"\xff", b"1.5"):
            with self.subTest(value):
                name = RECEIPT_PREFIX + "a"
                stored = await store.get(name)
                if stored is None:
                    await store.create(name, value)
                else:
                    version = stored.version
                    await store.update(name, value, expected_version=version)
                self.assertEqual(await receipts.list_readers(DOMAINS, 1), [])
                await receipts.leave("a", 1)
                self.assertEqual(await receipts.list_readers(DOMAINS, 1), ["a"])
