"""Tests of the generated settings model."""

import unittest

from pydantic import ValidationError

from sapphireyard.generated_settings import EntrySettings

REQUIRED = {
    "host": "entry-1",
    "failure_domain": "a",
    "caller_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0",
    "store": "http://127.0.0.1:1",
}


class SettingsTest(unittest.TestCase):
    CASES = [
        ("host", "has space"),
        ("caller_address", "localhost:80"),
        ("store", "127.0.0.1:1"),
        ("partitions", 0),
    ]

    def test_rejects_invalid_values(self):
        for field, value in self.CASES:
            with self.subTest(field=field):
                with self.assertRaises(ValidationError) as caught:
                    EntrySettings(**{**REQUIRED, field: value})
                places = [error["loc"] for error in caught.exception.errors()]
                self.assertEqual(places, [(field,)])

    def test_accepts_required_fields(self):
        self.assertEqual(EntrySettings(**REQUIRED).partitions, 256)
