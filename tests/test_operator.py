"""Tests of the operators' command line and of `Site`."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import yaml

from sapphireyard.clocks import Clock
from sapphireyard.configuration.receipts import Receipts
from sapphireyard.exceptions import SettingsError
from sapphireyard.operators import operator, site as operators_site
from sapphireyard.operators.site import Site, TableConflict
from standins.memory import MemoryStore
from tests.fleet import write_members

POOLS = [{"name": "p", "upstreams": [{"name": "e1", "address": "127.0.0.1:9"}]}]
ROUTES = [{"name": "chat", "kind": "model", "pool": "p", "repeatable": True}]
CUSTOMERS = [{"name": "east", "rate": 5, "burst": 10}]
TABLES = {"routes": ROUTES, "pools": POOLS, "customers": CUSTOMERS}


class OperatorTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = MemoryStore()
        patch = mock.patch.object(operator, "ObjectStore", lambda _: self.store)
        patch.start()
        self.addCleanup(patch.stop)

    def write(self, tables, name="t.yaml"):
        path = self.folder / name
        path.write_text(yaml.safe_dump(tables))
        return str(path)

    def run_command_line(self, *argv, store="http://127.0.0.1:1"):
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            status = operator.run([*argv, "--store", store])
        return status, out.getvalue(), errors.getvalue()

    def test_apply_get_and_history(self):
        self.assertEqual(self.run_command_line("apply", self.write(TABLES))[0], 0)
        status, out, _ = self.run_command_line("get", "--output", "json")
        self.assertEqual(status, 0)
        path = self.folder / "again.json"
        path.write_text(out)
        self.assertIn("nothing", self.run_command_line("apply", str(path))[1])
        changed = self.write({"customers": [{**CUSTOMERS[0], "rate": 6}]}, "c.yaml")
        self.assertIn("rate: 5.0 -> 6.0", self.run_command_line("diff", changed)[1])
        self.run_command_line("apply", changed)
        _, out, _ = self.run_command_line("history", "--output", "json")
        self.assertEqual([row["version"] for row in json.loads(out)], [2, 1])
        self.assertIn(
            "customers east: changed",
            self.run_command_line("history", "--changes", "2")[1],
        )

    def test_exit_statuses(self):
        path = self.write(TABLES)
        self.run_command_line("apply", path)
        bad = self.write({"routes": [{**ROUTES[0], "pool": "q"}]}, "bad.yaml")
        change = self.write({"customers": [{**CUSTOMERS[0], "rate": 9}]}, "c.yaml")
        cases = [
            (["apply", bad], 2, "no pool is named 'q'"),
            (["apply", str(self.folder / "none.yaml")], 2, "No such file"),
            (["apply", change, "--base-version", "7"], 3, "version 1"),
            (["keys", "give"], 2, "specify either a customer"),
            (["keys", "give", "west"], 2, "no customer is named 'west'"),
            (["keys", "withdraw", "abcdef"], 2, "matches 0 keys"),
            (["status"], 2, "SAPPHIREYARD_ADDRESS"),
            (["drain", "e9", "--undo"], 2, "no upstream"),
        ]
        for argv, expected, text in cases:
            with self.subTest(argv=argv):
                status, _, errors = self.run_command_line(*argv)
                self.assertEqual(status, expected)
                self.assertIn(text, errors)
        self.assertEqual(self.run_command_line("get", store="")[0], 2)
        self.store.unavailable = True
        with mock.patch("sapphireyard.configuration.manifests.RETRY_SECONDS", 0):
            self.assertEqual(self.run_command_line("get")[0], 1)

    def test_keys(self):
        self.run_command_line("apply", self.write(TABLES))
        given = json.loads(
            self.run_command_line("keys", "give", "east", "--output", "json")[1]
        )
        self.assertEqual(self.run_command_line("keys", "give", "--operator")[0], 0)
        status, out, _ = self.run_command_line("keys", "list")
        self.assertIn(given["name"], out)
        self.assertNotIn(given["key"], out)
        removal = self.write({"customers": [], "routes": []})
        self.assertEqual(self.run_command_line("apply", removal)[0], 2)
        self.assertEqual(self.run_command_line("keys", "withdraw", given["name"])[0], 0)
        self.assertIn("withdrawn", self.run_command_line("keys", "list")[1])
        for stored in self.store.objects:
            self.assertNotIn(given["key"].encode(), stored.value)

    def withdraw(self, readers):
        """Withdraw a key that some failure domains read of; return the result."""
        self.store = MemoryStore()
        self.run_command_line("apply", self.write(TABLES))
        _, out, _ = self.run_command_line("keys", "give", "east", "--output", "json")
        name = out.split('"name": "')[1][:12]

        async def prepare():
            await write_members(self.store, "abc")
            for domain in readers:
                await Receipts(self.store).leave(domain, 3)

        with mock.patch.object(operators_site, "IN_FORCE_SECONDS", 0.0):
            asyncio.run(prepare())
            return self.run_command_line("keys", "withdraw", name)

    def test_withdrawal_that_most_domains_have_not_read_is_reported(self):
        cases = [
            ((), 4, "0 of 3"),
            (("a",), 4, "1 of 3"),
            (("a", "b"), 0, ""),
            ("abc", 0, ""),
        ]
        for readers, expected, text in cases:
            with self.subTest(readers=readers):
                status, out, errors = self.withdraw(readers)
                self.assertEqual(status, expected)
                self.assertIn("withdrawn", out)
                self.assertIn(text, errors)

    def test_drain_of_an_upstream(self):
        self.run_command_line("apply", self.write(TABLES))
        for argv, state in (
            (["drain", "e1"], "leaving"),
            (["drain", "e1", "--undo"], "active"),
        ):
            self.assertEqual(self.run_command_line(*argv)[0], 0)
            tables = json.loads(
                self.run_command_line("get", "pools", "--output", "json")[1]
            )
            upstream = tables["pools"][0]["upstreams"][0]
            self.assertEqual(upstream.get("state", "active"), state)

    def test_help_contains_examples(self):
        for argv in (["apply", "--help"], ["keys", "give", "--help"]):
            out = io.StringIO()
            with contextlib.redirect_stdout(out), self.assertRaises(SystemExit):
                operator.run(argv)
            self.assertIn("Example", out.getvalue())


class RaceTest(unittest.IsolatedAsyncioTestCase):
    async def test_conflict_reports_the_other_change(self):
        store = MemoryStore()
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for rate in (1, 2, 3):
                path = Path(folder) / f"{rate}.yaml"
                rows = [{**CUSTOMERS[0], "rate": rate}]
                path.write_text(yaml.safe_dump({**TABLES, "customers": rows}))
                paths.append(str(path))
            first, *others = (Site(store, clock=Clock(), author=p) for p in paths)
            await first.apply(paths[:1])
            results = await asyncio.gather(
                *(s.apply([p]) for s, p in zip(others, paths[1:], strict=True)),
                return_exceptions=True,
            )
            keys = await asyncio.gather(*(s.give_key("east") for s in others))
        conflicts = [r for r in results if isinstance(r, TableConflict)]
        self.assertEqual(len(conflicts), 1)
        self.assertEqual([c.name for c in conflicts[0].changes], ["east"])
        _, tables = await first.read()
        self.assertEqual(len(tables["keys"]), len(keys))

    async def test_findings_of_stored_tables(self):
        store = MemoryStore()
        site = Site(store, clock=Clock(), author="a")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "t.yaml"
            path.write_text(yaml.safe_dump(TABLES))
            await site.apply([path])
            path.write_text("pools: []")
            with self.assertRaises(SettingsError) as caught:
                await site.apply([path])
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(places, ["stored routes 'chat', pool"])
