"""Entries of the store that cannot be decoded or used: each costs itself alone."""

import json
import sys
import unittest
from types import SimpleNamespace
from unittest import mock

from aiohttp import web

from sapphireyard.exceptions import StoreError, StoreUnavailable
from sapphireyard.history.stored_set import StoredSet
from standins import site_store
from standins.scripted_upstream import ScriptedUpstream, build_head
from standins.site_store import SiteStore
from tests.platform_site import ROOT
from tests.test_standby import LoopClock

sys.path.insert(0, str(ROOT / "platform"))

from adapter.feeds import UpstreamsFeed  # noqa: E402
from adapter.store import PlatformStore  # noqa: E402

KIND = "servers"
ENTRY = {
    "service": "engine",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}
DEEP = "[" * 1200 + "]" * 1200
VERY_DEEP = "[" * 100_000 + "]" * 100_000
DEEP_OBJECT = '{"a":' * 3000 + "1" + "}" * 3000
ODD_VALUES = {
    "nested 1,200 levels": DEEP,
    "nested 100,000 levels": VERY_DEEP,
    "nested objects": DEEP_OBJECT,
    "brackets in texts": json.dumps('"]},[{\\"' * 2000),
    "number of 401 digits": "1" * 401,
    "number of 6,000 digits": "1" * 6000,
    "1e400": "1e400",
    "-1e400": "-1e400",
    "NaN": "NaN",
    "lone surrogate": '"\\ud800"',
    "control character": '"\x01"',
    "invalid escape": '"\\q"',
    "nothing": "",
    "leading zeros": "007",
    "null": "null",
    "list": "[1,2]",
}
"""JSON texts, some of which no decoder takes."""


USABLE_VALUES = {
    ("null", "born"),
    ("null", "cold_remaining_ms"),
    ("number of 401 digits", "slots"),
    ("number of 401 digits", "cold_remaining_ms"),
}
"""Fields that may be left out may be null, and quantities may have any size."""


def write_entry(**changes):
    """Return the JSON text of an entry; changes are JSON texts by field."""
    fields = {name: json.dumps(value) for name, value in ENTRY.items()}
    fields |= {name.replace("_", "-"): text for name, text in changes.items()}
    members = (f"{json.dumps(name)}: {text}" for name, text in fields.items())
    return "{" + ", ".join(members) + "}"


def list_odd_entries():
    """Return name, JSON text, and whether the entry still names an upstream.

    None if either is right: the odd value is in a field that nobody reads.
    """
    cases = []
    for name, text in ODD_VALUES.items():
        cases.append((f"{name} in an unknown field", write_entry(more=text), None))
        for field in ("slots", "born", "address", "state", "cold_remaining_ms"):
            usable = (name, field) in USABLE_VALUES
            cases.append((f"{name} as {field}", write_entry(**{field: text}), usable))
        cases.append((f"{name} as the entry", text, False))
    for address in (
        "::1:8080",
        "[::1]:8080",
        "10.0.0.9",
        "10.0.0.9:",
        "10.0.0.9:0",
        "10.0.0.9:99999",
        "10.0.0.9:080",
        "10.0.0.9:+80",
        "10.0.0.9: 80",
        "10.0.0.9:8_0",
        "10.0.0.9:٨٠",
        "10.0.0.9:" + "1" * 5000,
        "10.0.0.09:80",
        "10.0.0.9/x:80",
        "user@10.0.0.9:80",
        "server:80",
        "0.0.0.0:80",
        "",
    ):
        case = f"address {address[:20]!r}"
        cases.append((case, write_entry(address=json.dumps(address)), False))
    for field, text in (
        ("slots", "0"),
        ("slots", "-1"),
        ("slots", "8.5"),
        ("slots", "true"),
        ("born", "-1"),
        ("born", "99999999999999999999"),
        ("service", json.dumps("s" * 10_000)),
    ):
        case = f"{field} {text[:20]}"
        cases.append((case, write_entry(**{field: text}), False))
    for text in ("8.0", "10000000000", str(2**53 - 1)):
        cases.append((f"slots {text}", write_entry(slots=text), True))
    return cases


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Base class: a store, its client, and the feed of upstreams."""

    async def asyncSetUp(self):
        self.site = SiteStore()
        runner = web.AppRunner(self.site.app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.addAsyncCleanup(runner.cleanup)
        self.store = PlatformStore("127.0.0.1:%d" % runner.addresses[0][1])
        self.addAsyncCleanup(self.store.close)

    def build_feed(self):
        """Return a feed that is polled by hand; its upstreams are in `self.listed`."""
        self.listed = {}

        def set_upstreams(upstreams):
            self.listed = {each.name: each for each in upstreams}

        runtime = SimpleNamespace(
            store=self.store,
            clock=LoopClock(),
            pools=SimpleNamespace(set_upstreams=set_upstreams),
            settings=SimpleNamespace(
                contact_seconds=3.0, drain_seconds=2.0, report_seconds=1.2, regions={}
            ),
        )
        feed = UpstreamsFeed(runtime)
        feed._seconds = 0.5
        return feed


class OddEntriesTest(StoreCase):
    async def test_odd_entry_costs_itself_alone(self):
        """In a list and in a watch; the entry was usable before."""
        for name, text, usable in list_odd_entries():
            with self.subTest(name):
                self.site.put(KIND, "a", ENTRY)
                self.site.put(KIND, "odd", ENTRY)
                self.site.put(KIND, "z", ENTRY)
                feed = self.build_feed()
                await feed._poll()
                self.assertEqual(set(self.listed), {"a", "odd", "z"})
                self.site.put_text(KIND, "odd", text)
                self.site.put(KIND, "z", {**ENTRY, "slots": 9})
                await feed._poll()
                self.check_listed(usable)
                feed = self.build_feed()
                await feed._poll()
                self.check_listed(usable)
                for entry in ("a", "odd", "z"):
                    self.site.remove(KIND, entry)

    def check_listed(self, usable):
        self.assertLessEqual({"a", "z"}, set(self.listed))
        self.assertEqual(self.listed["z"].slots, 9)
        if usable is not None:
            self.assertEqual("odd" in self.listed, usable)

    async def test_entry_that_becomes_valid_again_is_used(self):
        feed = self.build_feed()
        for text, usable in ((None, True), (DEEP, False), (None, True)):
            if text is None:
                self.site.put(KIND, "a", {**ENTRY, "slots": 8})
            else:
                self.site.put_text(KIND, "a", text)
            await feed._poll()
            self.assertEqual("a" in self.listed, usable)

    async def test_odd_entry_at_the_end_of_a_page(self):
        with mock.patch.object(site_store, "PAGE_ITEMS", 2):
            for name in "abcde":
                self.site.put(KIND, name, ENTRY)
            for text in (DEEP, "1" * 6000, "null"):
                for odd in "abcde":
                    with self.subTest(text=text[:10], odd=odd):
                        self.site.put_text(KIND, odd, text)
                        feed = self.build_feed()
                        await feed._poll()
                        self.assertEqual(set(self.listed), set("abcde") - {odd})
                        self.site.put(KIND, odd, ENTRY)

    async def test_names_that_no_header_can_carry(self):
        """Cases are names of upstreams that can't be named to them."""
        for name in ("a b", "a\r\nX: 1", "ä", "n" * 1000):
            with self.subTest(name[:10]):
                self.site.put(KIND, name, ENTRY)
        self.site.put(KIND, "a", ENTRY)
        feed = self.build_feed()
        await feed._poll()
        self.assertEqual(set(self.listed), {"a"})

    async def test_log_lines_of_odd_entries_are_short(self):
        feed = self.build_feed()
        with self.assertLogs("adapter") as logs:
            for number, (_, text, _) in enumerate(list_odd_entries()):
                self.site.put_text(KIND, f"odd-{number}", text)
            await feed._poll()
        for record in logs.records:
            fields = {name: str(value) for name, value in vars(record).items()}
            self.assertLess(sum(map(len, fields.values())), 3000, fields)

    async def test_value_of_another_writer_is_an_error_of_the_store(self):
        """Cases are what stands in place of the set of copies."""
        stored = StoredSet(self.store)
        for name, text in ODD_VALUES.items():
            with self.subTest(name):
                for encoded in (text, json.dumps(text)):
                    self.site.put_text("copies", "main", encoded)
                    with self.assertRaises(StoreError):
                        await stored.read()
                    self.site.put_text("copies", "accepted-loss", encoded)
                    try:
                        self.assertEqual(await stored.read_accepted_loss(), 0)
                    except StoreError:
                        pass

    async def test_accepted_loss_as_operators_write_it(self):
        for spec in ({"version": 4}, '{"version": 4}'):
            with self.subTest(spec):
                self.site.put("copies", "accepted-loss", spec)
                accepted = await StoredSet(self.store).read_accepted_loss()
                self.assertEqual(accepted, 4)


class InvalidAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def call_all(self, data):
        """Return what each call makes of an answer: its result or its error."""
        results = []
        for name, call in (
            ("list", lambda s: s.list_objects(KIND)),
            ("watch", lambda s: s.watch_objects(KIND, revision=1, seconds=0.1)),
            ("get", lambda s: s.get_object(KIND, "a")),
            ("value", lambda s: s.get("copies/main")),
            ("create", lambda s: s.create("copies/main", b"x")),
            ("update", lambda s: s.update("copies/main", b"x", expected_version=1)),
        ):
            head = build_head(f"Content-Length: {len(data)}\r\n")
            server = ScriptedUpstream((head, data))
            store = PlatformStore(await server.start())
            try:
                results.append((name, await call(store)))
            except StoreError as error:
                results.append((name, error))
            finally:
                await store.close()
                await server.stop()
        return results

    async def test_answers_without_what_they_must_have(self):
        """Each is an answer that the store did not give, whatever was called."""
        for data in (
            b"",
            b"null",
            b"5",
            b'"text"',
            b"[]",
            b"{}",
            b"{",
            b"\xff\xfe",
            DEEP.encode(),
            b'{"items": 5, "events": 5, "more-pages": false, "current-rev": 5}',
            b'{"items": [], "events": [], "more-pages": false}',
            b'{"items": [], "events": [], "more-pages": false, "current-rev": "5"}',
            b'{"items": [], "events": [], "more-pages": false, "current-rev": true}',
            b'{"items": [], "events": [], "more-pages": false, "current-rev": -1}',
            b'{"items": [], "events": {}, "current-rev": 5}',
            b'{"items": [], "more-pages": true, "current-rev": 5}',
            b'{"metadata": 5}',
            b'{"metadata": {}}',
            b'{"metadata": {"name": 5, "revision": 5}}',
            b'{"object": {}, "deleted": true}',
        ):
            for name, result in await self.call_all(data):
                with self.subTest(data=data[:60], call=name):
                    self.assertIsInstance(result, StoreUnavailable)


if __name__ == "__main__":
    unittest.main()
