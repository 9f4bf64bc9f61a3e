"""Tests of the limits on idle and total time of programs."""

import unittest

from sapphireyard.journal.generated_records import ProgramEnded, ProgramOpened
from sapphireyard.journal.lifetimes import REASON_IDLE, REASON_TOTAL, Lifetimes
from sapphireyard.programs.programs import Programs

IDLE = 10.0
TOTAL = 100.0


class LifetimesTest(unittest.TestCase):
    def setUp(self):
        self.programs = Programs()
        self.programs.apply(0, ProgramOpened("c/p", "c/p", 0.0))
        self.program = self.programs.get(0, "c/p")
        self.lifetimes = Lifetimes(lambda customer: (IDLE, TOTAL))
        self.lifetimes.watch(0, self.program, 0.0)

    def check(self, now):
        return [reason for _, _, reason in self.lifetimes.check(self.programs, now)]

    def test_times(self):
        cases = [
            ("nothing is due yet", 0.0, 9.9, []),
            ("idle", 0.0, 10.0, [REASON_IDLE]),
            ("used in between", 5.0, 12.0, []),
            ("endless loop", 99.0, 100.0, [REASON_TOTAL]),
        ]
        for name, last_used_at, now, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.lifetimes.watch(0, self.program, last_used_at)
                self.assertEqual(self.check(now), expected)

    def test_running_call_is_not_idle(self):
        self.program.running = object()
        self.assertEqual(self.check(50.0), [])
        self.assertEqual(self.check(100.0), [REASON_TOTAL])

    def test_ended_program_is_removed(self):
        self.programs.apply(0, ProgramEnded("c/p", "test"))
        self.assertEqual(self.check(10.0), [""])

    def test_moved_program_is_no_longer_watched(self):
        self.programs.drop(0)
        self.assertEqual(self.check(10.0), [])
        self.assertEqual(len(self.lifetimes), 0)

    def test_watching_twice_adds_nothing(self):
        for now in range(100):
            self.lifetimes.watch(0, self.program, float(now))
        self.assertEqual(len(self.lifetimes), 1)
