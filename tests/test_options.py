"""Tests of settings from flags and environment variables."""

import contextlib
import io
import unittest

from sapphireyard._options import load_settings, parse_settings
from sapphireyard.exceptions import SettingsError
from sapphireyard.generated_settings import EntrySettings

FLAGS = [
    "--host=entry-1",
    "--failure-domain=a",
    "--caller-address=127.0.0.1:0",
    "--peer-address=127.0.0.1:0",
    "--store=http://127.0.0.1:1",
]


class OptionsTest(unittest.TestCase):
    def test_flags_override_variables(self):
        environ = {"SAPPHIREYARD_HOST": "other", "SAPPHIREYARD_PARTITIONS": "16"}
        settings = parse_settings(EntrySettings, FLAGS, environ)
        self.assertEqual(settings.host, "entry-1")
        self.assertEqual(settings.partitions, 16)
        self.assertEqual(settings.renewal_seconds, 1.0)

    def test_reports_all_findings_with_their_location(self):
        with self.assertRaises(SettingsError) as caught:
            parse_settings(
                EntrySettings,
                ["--host", "has space", *FLAGS[1:-1]],
                {"SAPPHIREYARD_PARTITIONS": "none"},
            )
        places = [finding.place for finding in caught.exception.findings]
        expected = [
            "--host",
            "--store or SAPPHIREYARD_STORE",
            "SAPPHIREYARD_PARTITIONS",
        ]
        self.assertEqual(places, expected)

    def test_exit_status(self):
        cases = [("missing", FLAGS[1:], 2), ("unknown", ["--no-such=1"], 2)]
        cases.append(("help", ["--help"], 0))
        for name, argv, status in cases:
            with self.subTest(name), contextlib.redirect_stderr(io.StringIO()):
                with contextlib.redirect_stdout(io.StringIO()) as output:
                    with self.assertRaises(SystemExit) as caught:
                        load_settings(EntrySettings, argv=argv, environ={}, name="x")
            self.assertEqual(caught.exception.code, status)
        self.assertIn("SAPPHIREYARD_FAILURE_DOMAIN", output.getvalue())
