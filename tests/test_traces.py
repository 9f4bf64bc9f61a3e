"""Logs of several hosts, merged around one request."""

import contextlib
import io
import json
import tempfile
import unittest
from datetime import UTC, datetime
from pathlib import Path

from sapphireyard.operators import operator
from sapphireyard.operators.traces import estimate_offsets, parse_line

START = 1_800_000_000.0


def build_line(at, host, message, **fields):
    """Return the text of a log line; `at` is in seconds after the start."""
    time = datetime.fromtimestamp(START + at, UTC).isoformat(timespec="milliseconds")
    time = time.replace("+00:00", "Z")
    return json.dumps({"time": time, "host": host, "message": message, **fields})


def build_version(at, host, version):
    return build_line(
        at, host, "configuration in force", decision="configuration", version=version
    )


class OffsetTest(unittest.TestCase):
    def test_offsets_of_clocks(self):
        """Each case has the clock offsets of four hosts, and the corrected ones."""
        cases = [
            ((0.0, 0.0, 0.0, 0.0), (0.0, 0.0, 0.0, 0.0)),
            ((0.0, 0.2, -0.3, 0.0), (0.0, 0.0, 0.0, 0.0)),
            ((0.0, 0.0, 0.0, 5.0), (0.0, 0.0, 0.0, 5.0)),
            ((0.0, -30.0, 0.0, 5.0), (0.0, -30.0, 0.0, 5.0)),
        ]
        for clocks, expected in cases:
            with self.subTest(clocks):
                lines = [
                    parse_line(build_version(at + 0.1 * n + clock, f"h{n}", at))
                    for at in (10, 20, 30)
                    for n, clock in enumerate(clocks)
                ]
                offsets = estimate_offsets(lines)
                for number, offset in enumerate(expected):
                    self.assertAlmostEqual(offsets[f"h{number}"], offset, delta=0.3)

    def test_host_without_common_versions_is_not_shifted(self):
        lines = [parse_line(build_version(50.0, "a", 1))]
        lines.append(parse_line(build_line(10.0, "b", "started", decision="start")))
        self.assertEqual(estimate_offsets(lines), {"a": 0.0, "b": 0.0})


class ParseTest(unittest.TestCase):
    def test_lines(self):
        line = build_line(1.0, "a", "x")
        cases = [
            ("plain", line, True),
            ("prefixed", f"  1.25 a {line}", True),
            ("empty", "", False),
            ("text", "Traceback (most recent call last):", False),
            ("cut off", line[:-5], False),
            ("without a host", '{"time": "2026-01-01T00:00:00Z"}', False),
            ("without a time", '{"host": "a"}', False),
            ("no object", '["{"]', False),
        ]
        for name, text, valid in cases:
            with self.subTest(name):
                self.assertEqual(parse_line(text) is not None, valid)


class TraceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines))
        return str(path)

    def run_trace(self, *argv):
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            status = operator.run(["trace", *argv])
        return status, out.getvalue(), errors.getvalue()

    def test_lines_that_explain_a_request(self):
        """The clock of b is 60 s ahead; c did not serve the program."""
        a = self.write(
            "a",
            build_version(1.0, "a", 7),
            build_line(9.0, "a", "store does not answer", decision="store"),
            build_line(10.0, "a", "request ended", request_id="r1", program="p"),
            build_line(10.1, "a", "request ended", request_id="other", program="q"),
            build_line(90.0, "a", "stopped", decision="stop"),
        )
        b = self.write(
            "b",
            build_version(61.1, "b", 7),
            build_line(70.5, "b", "host is out of touch", peer="a"),
            build_line(70.8, "b", "request ended", request_id="r2", program="p"),
        )
        c = self.write(
            "c",
            build_version(1.2, "c", 7),
            build_line(10.0, "c", "started", decision="start"),
        )
        status, out, _ = self.run_trace("r1", a, b, c, "--output", "json")
        self.assertEqual(status, 0)
        shown = [(line["host"], line["message"]) for line in json.loads(out)]
        self.assertEqual(
            shown,
            [
                ("a", "store does not answer"),
                ("a", "request ended"),
                ("b", "host is out of touch"),
                ("b", "request ended"),
            ],
        )
        status, out, _ = self.run_trace("r1", a, b, c)
        self.assertEqual(status, 0)
        self.assertEqual(len(out.splitlines()), 1 + len(shown))
        self.assertIn("request_id=r1", out)

    def test_exit_statuses(self):
        a = self.write("a", build_line(1.0, "a", "started", decision="start"))
        for name, argv, expected, text in (
            ("unknown request", ("r1", a), 1, "read 1 lines of 1 hosts"),
            ("no such file", ("r1", str(self.folder / "none")), 2, "none"),
        ):
            with self.subTest(name):
                status, _, errors = self.run_trace(*argv)
                self.assertEqual(status, expected)
                self.assertIn(text, errors)


if __name__ == "__main__":
    unittest.main()
