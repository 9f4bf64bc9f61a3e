"""Tests of the choice among connections that receive large frames."""

import unittest
from dataclasses import dataclass

from sapphireyard.streams.unfinished_frames import STALLED_SECONDS, UnfinishedFrames


@dataclass(eq=False)
class Link:
    host: str = "a"
    frame_bytes: int = 0
    received_at: float = 0.0
    closed: bool = False
    resumed: int = 0

    def go_on(self):
        self.resumed += 1

    def close(self):
        self.closed = True


class UnfinishedFramesTest(unittest.TestCase):
    def test_frames_wait_for_each_other(self):
        frames = UnfinishedFrames(100)
        links = [Link(frame_bytes=size) for size in (60, 40, 30, 200)]
        granted = [frames.request(link) for link in links]
        self.assertEqual(granted, [True, True, False, False])
        frames.release(links[0])
        self.assertEqual([link.resumed for link in links], [0, 0, 1, 0])
        frames.release(links[1])
        frames.release(links[2])
        self.assertEqual(links[3].resumed, 1)  # larger than the limit, but alone
        self.assertEqual(frames.total, 200)

    def test_stalled_frames_make_room(self):
        """Cases are seconds without a byte, whether one waits, whether it is closed."""
        cases = [
            (STALLED_SECONDS + 0.1, True, True),
            (STALLED_SECONDS - 0.1, True, False),
            (STALLED_SECONDS + 0.1, False, False),
        ]
        for seconds, waits, closed in cases:
            with self.subTest(seconds=seconds, waits=waits):
                frames = UnfinishedFrames(100)
                stalled, other = Link(frame_bytes=80), Link(frame_bytes=80)
                frames.request(stalled)
                if waits:
                    frames.request(other)
                frames.check(seconds)
                self.assertEqual(stalled.closed, closed)
                self.assertEqual(other.resumed, int(closed))


if __name__ == "__main__":
    unittest.main()
