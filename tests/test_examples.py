"""Tests that documentation and examples agree with the code."""

import re
import unittest
from pathlib import Path

from sapphireyard.configuration.tables import check_rows
from sapphireyard.exceptions import STATUSES
from sapphireyard.operators._table_files import load_files

ROOT = Path(__file__).resolve().parent.parent


class ExampleTest(unittest.TestCase):
    CASES = [
        ("hatua.yaml", {"models": 4, "booking": 6}, 8),
        ("kitamichi.yaml", {"models": 5, "alert": 9}, 8),
    ]

    def test_examples_have_the_expected_sizes(self):
        for name, upstreams, customers in self.CASES:
            with self.subTest(name):
                rows, _, findings = load_files([ROOT / "examples" / name])
                self.assertEqual(findings + check_rows(rows), [])
                pools = {
                    row.name: len(row.value["upstreams"])
                    for row in rows
                    if row.table == "pools"
                }
                self.assertEqual(pools, upstreams)
                count = sum(row.table == "customers" for row in rows)
                self.assertEqual(count, customers)


class OperationsPageTest(unittest.TestCase):
    def test_lists_every_error_code_with_its_status(self):
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        rows = re.findall(r"^\| `([a-z_]+)` \| (\d+) \|", text, re.MULTILINE)
        self.assertEqual({code: int(status) for code, status in rows}, STATUSES)
