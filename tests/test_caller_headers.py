"""Estimates and parts of prompts in callers' headers, which may have any form."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from adapter.callers import (  # noqa: E402
    MAX_PROMPT_PARTS,
    read_estimate,
    read_parts,
)


class PromptPartsTest(unittest.TestCase):
    CASES = (
        ("absent", None, ()),
        ("empty", "", ()),
        ("one", "5c1e:800", (("5c1e", 800),)),
        ("in order", "5c1e:800,91bd:410", (("5c1e", 800), ("91bd", 410))),
        ("spaces", " 5c1e:800 , 91bd:410", (("5c1e", 800), ("91bd", 410))),
        ("what follows an unreadable part is left out", "a:1,b,c:3", (("a", 1),)),
        ("negative", "a:-1", ()),
        ("no id", ":5", ()),
        ("other digits", "a:\u0663", ()),
        ("too large", "a:" + "9" * 16, ()),
    )

    def test_parts(self):
        for name, text, expected in self.CASES:
            with self.subTest(name):
                headers = {} if text is None else {"Prompt-Prefix": text}
                self.assertEqual(read_parts(headers), expected)

    def test_number_of_parts_is_bounded(self):
        text = ",".join(f"{number:x}:1" for number in range(1000))
        self.assertEqual(len(read_parts({"Prompt-Prefix": text})), MAX_PROMPT_PARTS)


class EstimateTest(unittest.TestCase):
    CASES = (
        (None, 0),
        ("", 0),
        ("70", 70),
        (" 70 ", 70),
        ("-3", 0),
        ("7.5", 0),
        ("many", 0),
        ("9" * 16, 0),
    )

    def test_estimate(self):
        for text, expected in self.CASES:
            with self.subTest(text):
                headers = {} if text is None else {"Length-Hint": text}
                self.assertEqual(read_estimate(headers), expected)
