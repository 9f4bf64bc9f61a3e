"""Tests of the pace at which records become segments."""

import unittest

from sapphireyard.journal_writer import Commit, JournalWriter

INTERVAL = 0.05
BURST = 4


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.writer = JournalWriter(
            "a", 1, interval_seconds=INTERVAL, burst_segments=BURST
        )

    def write_steadily(self, seconds, step):
        """Commit and store as often as allowed; return the times of segments."""
        times = []
        for tick in range(round(seconds / step)):
            now = tick * step
            if self.writer.idle:
                self.writer.add(Commit([b"r"]))
            segment = self.writer.stage(now, token="t")
            if segment is not None:
                times.append(now)
                self.writer.store_succeeded(segment.number)
        return times

    def test_quiet_journal_writes_at_once(self):
        times = self.write_steadily(BURST * 0.001, 0.001)
        self.assertEqual(len(times), BURST)

    def test_mean_rate_is_bounded(self):
        for seconds in (0.2, 1.0, 5.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                times = self.write_steadily(seconds, 0.001)
                self.assertLessEqual(len(times), BURST + seconds / INTERVAL)

    def test_one_attempt_at_a_time(self):
        for _ in range(2):
            self.writer.add(Commit([b"r"]))
            self.writer.stage(0.0, token="t")
        self.assertEqual(len(self.writer.staged), 1)
