"""Tests of the decisions on the bytes that a host keeps for its requests."""

import gc
import math
import unittest
import weakref

from sapphireyard.exchange.held import (
    BUFFER_OVERHEAD,
    MEBIBYTE,
    MIN_HELD_BYTES,
    PRESSED_SECONDS,
    REQUEST_BYTES,
    STALLED_SECONDS,
    HeldBytes,
    find_max_connections,
    find_room,
)
from sapphireyard.intake import choose_closed

REPEATABLE, STREAM, UNREPEATABLE = 0, 1, 2


def fill(mebibytes):
    """Return the bytes in buffers that take so much memory."""
    return int(mebibytes * MEBIBYTE / BUFFER_OVERHEAD)


class Owner:
    """Something for which bytes are held, as an answer to a caller."""

    def __init__(self, held):
        self.hold = held.open(
            "a", now=0.0, release=self.let_go, measure=self.count_unread
        )

    def let_go(self):
        pass

    def count_unread(self):
        return 0


class HeldBytesTest(unittest.TestCase):
    def test_room_by_the_memory_of_the_process(self):
        cases = [
            ("no limit", math.inf, math.inf),
            ("small host", 128 * MEBIBYTE, 44 * MEBIBYTE),
            ("large host", 552 * MEBIBYTE, 468 * MEBIBYTE),
            ("less than the process needs", 64 * MEBIBYTE, MIN_HELD_BYTES),
        ]
        for name, memory, room in cases:
            with self.subTest(name):
                self.assertEqual(find_room(memory), room)

    def test_connections_by_descriptors_and_memory(self):
        cases = [
            ("few descriptors", 1638, 468 * MEBIBYTE, 862),
            ("little memory", 4100, 44 * MEBIBYTE, 1408),
            ("no limit of memory", 4100, math.inf, 2340),
            ("hardly any", 100, MEBIBYTE, 1),
        ]
        for name, descriptors, room, expected in cases:
            with self.subTest(name):
                self.assertEqual(find_max_connections(descriptors, room), expected)

    def test_connections_idle_for_longest_are_closed(self):
        idle_since = {"a": 3.0, "b": 1.0, "c": 2.0}
        cases = [(-1, []), (0, []), (1, ["b"]), (2, ["b", "c"]), (9, ["b", "c", "a"])]
        for count, expected in cases:
            with self.subTest(count=count):
                self.assertEqual(choose_closed(idle_since, count), expected)

    def test_new_requests_are_refused_before_accepted_ones_wait(self):
        """Room is left for the answers of requests that have been accepted."""
        cases = [
            # kept MiB, size MiB, admitted, fits
            (0, 0, True, True),
            (62, 11, True, True),
            (75, 0, False, True),
            (62, 25, False, True),
            (62, 50, False, False),
            (101, 0, False, False),
        ]
        for kept, size, admitted, fits in cases:
            with self.subTest(kept=kept, size=size):
                held = HeldBytes(100 * MEBIBYTE)
                held.keep(held.open("a", now=0.0), fill(kept))
                self.assertEqual(held.admits(fill(size)), admitted)
                self.assertEqual(held.fits(fill(size)), fits)

    def test_an_owner_is_freed_with_its_hold(self):
        """Its answer stayed in memory until the next garbage collection."""
        held = HeldBytes(MEBIBYTE)
        owner = Owner(held)
        reference = weakref.ref(owner)
        gc.disable()
        self.addCleanup(gc.enable)
        held.close(owner.hold)
        del owner
        self.assertIsNone(reference())

    def test_total_is_zero_once_all_are_closed(self):
        held = HeldBytes(MEBIBYTE)
        first, second = held.open("a", now=0.0), held.open("b", now=0.0)
        held.keep(first, 1000)
        held.note_unread(second, 500, 1.0, written=500)
        held.close(first)
        self.assertEqual(held.total, REQUEST_BYTES + 500 * BUFFER_OVERHEAD)
        held.close(second)
        held.close(second)
        held.keep(second, 1000)
        self.assertEqual((held.total, held.count), (0, 0))
        self.assertGreater(held.highest, 2 * REQUEST_BYTES)

    def test_callers_that_do_not_read_are_let_go_cheapest_first(self):
        """Each caller takes 12.5 MiB, by name; the last read is that long ago."""
        callers = {
            "turn": ((STREAM, -1), 2.0),
            "urgent turn": ((STREAM, 0), 2.0),
            "view": ((REPEATABLE, -1), 1.0),
            "older view": ((REPEATABLE, -1), 3.0),
            "booking": ((UNREPEATABLE, -3), 3.5),
        }
        order = ["older view", "view", "turn", "urgent turn", "booking"]
        # From 25 MiB on each leaves more than its share.
        for limit, count in ((70, 0), (60, 1), (50, 2), (24, 5)):
            with self.subTest(limit=limit):
                held = HeldBytes(limit * MEBIBYTE)
                for name, (cost, seconds) in callers.items():
                    hold = held.open(name, now=100.0 - seconds)
                    hold.cost = cost
                    size = fill(12.5)
                    held.note_unread(hold, size, 100.0 - seconds, written=size)
                chosen = [hold.label for hold in held.choose_released(100.0)]
                self.assertEqual(chosen, order[:count])

    def test_callers_that_do_not_read_do_not_shut_out_others(self):
        """Ten leave 8 % of the limit each unread; one of them reads slowly."""
        held = HeldBytes(100 * MEBIBYTE)
        size = fill(8)
        holds = []
        for number in range(10):
            holds.append(held.open(f"{number}", now=0.0))
            held.note_unread(holds[-1], size, 0.0, written=size)
        for now in (1.0, 2.0, 3.0, 4.0, 5.0, 6.0):
            held.note_unread(holds[0], holds[0].unread - 1, now)
        self.assertFalse(held.admits(0))
        cases = [(PRESSED_SECONDS - 0.1, 0), (PRESSED_SECONDS + 0.1, 1)]
        for now, count in cases:
            with self.subTest(now=now):
                chosen = held.choose_released(now)
                self.assertEqual([hold.label for hold in chosen], ["1"][:count])
        for hold in chosen:
            held.close(hold)
        self.assertTrue(held.admits(0))
        self.assertEqual(held.choose_released(PRESSED_SECONDS + 0.2), [])

    def test_room_is_made_for_accepted_requests(self):
        held = HeldBytes(100 * MEBIBYTE)
        reader = held.open("reader", now=0.0)
        held.note_unread(reader, fill(20), 0.0, written=fill(20))
        held.keep(held.open("turn", now=0.0), fill(75))
        cases = [(fill(1), []), (fill(10), [reader])]
        for needed, expected in cases:
            with self.subTest(needed=needed):
                self.assertEqual(held.fits(needed), not expected)
                self.assertEqual(held.choose_released(1.0, needed=needed), expected)

    def test_callers_are_let_go_once(self):
        """Their connections take a moment to close, and count until then."""
        held = HeldBytes(100 * MEBIBYTE)
        gone = []
        for number in range(10):
            hold = held.open(
                f"{number}", now=number / 10, release=lambda n=number: gone.append(n)
            )
            held.note_unread(hold, fill(11.2), number / 10, written=fill(11.2))
        held.relieve(2.0)
        held.relieve(2.0)
        self.assertEqual(gone, [0, 1])

    def test_a_caller_that_reads_a_little_is_not_let_go(self):
        cases = [
            ("reads nothing", 1000, 0, True),
            ("reads nothing while more is written", 3000, 2000, True),
            ("reads a little", 999, 0, False),
            ("reads less than is written", 2999, 2000, False),
            ("has read all", 0, 0, False),
        ]
        for name, unread, written, released in cases:
            with self.subTest(name):
                held = HeldBytes(MEBIBYTE)
                hold = held.open("a", now=0.0)
                held.note_unread(hold, 1000, 0.0, written=1000)
                held.note_unread(hold, unread, STALLED_SECONDS, written=written)
                chosen = held.choose_released(STALLED_SECONDS + 1.0)
                self.assertEqual(chosen == [hold], released)

    def test_relief_counts_what_callers_have_read_since(self):
        """A caller that is only slow is not let go for bytes it has read."""
        held = HeldBytes(MEBIBYTE)
        hold = held.open("a", now=0.0, measure=lambda: 10, release=self.fail)
        held.note_unread(hold, 2 * MEBIBYTE, 0.0, written=2 * MEBIBYTE)
        held.relieve(1.0)
        self.assertEqual(held.total, REQUEST_BYTES + 10 * BUFFER_OVERHEAD)
