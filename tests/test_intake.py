"""Tests of the choice among accepted connections."""

import unittest
from dataclasses import dataclass, field

from sapphireyard.intake import (
    BEGUN,
    CONNECTION_BYTES,
    IDLE,
    UNREAD_BYTES,
    UNUSED,
    Intake,
)


@dataclass(eq=False)
class Connection:
    claim: tuple = (IDLE, 0.0)
    reasons: list = field(default_factory=list)

    def let_go(self, reason):
        self.reasons.append(reason)


class IntakeTest(unittest.TestCase):
    def test_connections_that_claim_least_are_closed(self):
        """Cases are claims in the order of arrival, and which is closed; limit 3."""
        cases = [
            ([(UNUSED, 1), (IDLE, 0), (BEGUN, 0), (IDLE, 5)], 0),
            ([(IDLE, 1), (IDLE, 0), (BEGUN, 0), (UNUSED, 5)], 1),
            ([(BEGUN, 1), (BEGUN, 0), None, (UNUSED, 5)], 1),
            ([None, None, (UNUSED, 4), (UNUSED, 5)], 2),
            ([None, None, None, (UNUSED, 5)], 3),
        ]
        for claims, closed in cases:
            with self.subTest(claims):
                intake = Intake(max_connections=3)
                connections = [Connection(claim) for claim in claims]
                for connection in connections:
                    intake.add(connection)
                let_go = [bool(each.reasons) for each in connections]
                self.assertEqual(let_go, [n == closed for n in range(4)])
                self.assertEqual(intake.count, 3)

    def test_bytes_of_all_connections_together(self):
        intake = Intake(max_pending=100)
        busy, first, second = Connection(None), Connection(), Connection((BEGUN, 1.0))
        for connection in (busy, first, second):
            intake.add(connection)
        each = CONNECTION_BYTES + UNREAD_BYTES
        self.assertEqual(intake.size, 3 * each)
        intake.note(busy, 60)
        intake.note(second, 40)
        self.assertEqual(intake.size, 3 * each + 100)
        self.assertFalse(intake.fits(1))
        intake.note(second, 41)
        self.assertEqual(len(second.reasons), 1)
        self.assertEqual(first.reasons, [])  # it holds nothing
        self.assertTrue(intake.fits(40))
        intake.remove(busy)
        self.assertEqual(intake.size, each)


if __name__ == "__main__":
    unittest.main()
