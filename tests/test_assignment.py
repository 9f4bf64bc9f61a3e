"""Tests of assignment changes, the assignment codec and the failure detector."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.exceptions import RecordError
from sapphireyard.journal.journal import JournalRange
from sapphireyard.ownership import assignment as module
from sapphireyard.ownership.assignment import (
    LEAVING,
    Member,
    check_assignment,
    check_change,
    create_assignment,
    plan_join,
    plan_leave,
    plan_move,
    plan_moves,
    plan_takeover,
    rank_tail_holders,
)
from sapphireyard.ownership.assignment_codec import decode_assignment, encode_assignment
from sapphireyard.ownership.failure_detector import FailureDetector

PARTITIONS = 32

steps = st.lists(
    st.tuples(st.sampled_from(["join", "die", "leave", "move"]), st.integers(0, 7)),
    max_size=20,
)


def make_member(index, incarnation=1):
    """Return a member of one of three failure domains."""
    return Member(f"h{index}", incarnation, "p", "c", f"d{index % 3}")


def move_some(assignment, host):
    """Apply the planned moves of a host as its `PartitionMover` does."""
    for partition, target in plan_moves(assignment, host, limit=PARTITIONS):
        entry = assignment.entries[partition]
        snapshot = JournalRange(
            host, entry.incarnation, entry.since, entry.since, entry.epoch
        )
        assignment = plan_move(
            assignment,
            [partition],
            assignment.members[target],
            snapshots={partition: snapshot},
            since=1,
        )
    return assignment


def even_out(assignment):
    """Move partitions until no host has a planned move."""
    while True:
        before = assignment
        for host in list(assignment.members):
            assignment = move_some(assignment, host)
        if assignment is before:
            return assignment


def apply_step(assignment, step, index):
    """Return the assignment after a step, or the same one."""
    host = f"h{index}"
    known = host in assignment.members
    if step == "join" and not known:
        return plan_join(assignment, make_member(index))
    if not known or len(assignment.members) == 1:
        return assignment
    if step == "die":
        return plan_takeover(assignment, host, last=5)
    if step == "move":
        return move_some(assignment, host)
    member = Member(**{**vars(assignment.members[host]), "state": LEAVING})
    return plan_join(assignment, member)


class AssignmentTest(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(steps)
    def test_each_partition_keeps_an_owner_and_its_sources(self, sequence):
        old = create_assignment(make_member(0), partitions=PARTITIONS)
        for step, index in sequence:
            new = apply_step(old, step, index)
            check_assignment(new)
            if new.version == old.version + 1:
                check_change(old, new)
            self.assertEqual(decode_assignment(encode_assignment(new)), new)
            old = new

    def grow(self, count):
        assignment = create_assignment(make_member(0), partitions=PARTITIONS)
        for index in range(1, count):
            assignment = plan_join(assignment, make_member(index))
            assignment = even_out(assignment)
        return assignment

    def test_joins_move_no_more_partitions_than_needed(self):
        before = self.grow(4)
        after = self.grow(5)
        moved = sum(a.host != b.host for a, b in zip(before.entries, after.entries))
        self.assertLessEqual(moved, PARTITIONS // 5 + 1)
        self.assertLessEqual(max(after.loads.values()) - min(after.loads.values()), 1)
        self.assertEqual(plan_moves(after, "h0", limit=9), [])

    def test_takeover_spreads_over_other_domains(self):
        old = self.grow(6)
        new = plan_takeover(old, "h0", last=9)
        new_owners = [new.entries[partition].host for partition in old.owned_by("h0")]
        self.assertGreater(len(set(new_owners)), 1)
        self.assertNotIn(
            "d0", {new.members[new_owner].failure_domain for new_owner in new_owners}
        )
        for partition in old.owned_by("h0"):
            source = new.entries[partition].sources[-1]
            self.assertEqual((source.host, source.last), ("h0", 9))

    def test_lost_sources_are_detected(self):
        """`check_change` rejects a lost sealed range and a stale epoch."""
        old = self.grow(3)
        new = plan_takeover(old, "h0", last=9)
        partition = old.owned_by("h0")[0]
        for broken in (
            new.entries[partition]._replace(sources=(JournalRange("x", 1, 1, 1),)),
            new.entries[partition]._replace(epoch=0),
        ):
            entries = list(new.entries)
            entries[partition] = broken
            with self.assertRaises(AssertionError):
                check_change(old, module.Assignment(new.version, new.members, entries))

    def test_leaving_member_hands_over_all_partitions(self):
        assignment = self.grow(3)
        leaving = Member(**{**vars(assignment.members["h1"]), "state": LEAVING})
        assignment = move_some(plan_join(assignment, leaving), "h1")
        self.assertEqual(assignment.loads["h1"], 0)
        self.assertNotIn("h1", plan_leave(assignment, "h1").members)

    def test_tail_holders_of_other_domains_come_first(self):
        assignment = self.grow(6)
        holders = rank_tail_holders(assignment, "h0")
        domains = [assignment.members[host].failure_domain for host in holders]
        self.assertEqual(set(domains[:2]), {"d1", "d2"})
        self.assertEqual(domains[-1], "d0")

    def test_refuses_damaged_value(self):
        for value in (b"", b"x", encode_assignment(self.grow(1))[:-3]):
            with self.subTest(value=value), self.assertRaises(RecordError):
                decode_assignment(value)


class FailureDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = FailureDetector("h0", renewal_seconds=2, expiry_seconds=6)
        self.detector.update_members({f"h{n}": 1 for n in range(4)}, 0.0)

    CASES = [
        ("unrenewed", [(0, 5), (3, 5), (6, 5)], True),
        ("too early", [(0, 5), (5.9, 5)], False),
        ("renewed", [(0, 5), (3, 5), (6, 6)], False),
        ("store out in between", [(0, 5), (3, None), (6, 5)], False),
        ("missing object", [(0, 0), (6, 0)], True),
        ("one read after a pause", [(60, 5)], False),
    ]

    def test_expiry(self):
        for name, reads, expired in self.CASES:
            with self.subTest(name):
                self.setUp()
                for now, version in reads:
                    if version is None:
                        self.detector.record_read_failure("h1")
                    else:
                        self.detector.record_version("h1", version, now)
                found = self.detector.expired(reads[-1][0])
                self.assertEqual(found, [("h1", 1, reads[-1][1])] if expired else [])

    def test_old_observation_expires_no_host(self):
        self.detector.record_version("h1", 5, 0.0)
        self.detector.record_version("h1", 5, 7.0)
        self.assertEqual(self.detector.expired(60.0), [])

    def test_silence_only_makes_reads_sooner(self):
        self.detector.record_version("h1", 5, 0.0)
        self.detector.record_heartbeat("h1", 1, 2.0)
        self.assertNotIn("h1", self.detector.hosts_to_read(3.0))
        self.assertIn("h1", self.detector.hosts_to_read(5.0))
        self.assertEqual(self.detector.expired(5.0), [])

    def test_each_host_is_watched_by_a_live_host(self):
        members = {f"h{n}": 1 for n in range(40)}
        live = {f"h{n}" for n in range(0, 40, 4)}
        watched = set()
        for host in live:
            detector = FailureDetector(host, renewal_seconds=2, expiry_seconds=6)
            detector.update_members(members, 0.0)
            for other in live:
                detector.record_heartbeat(other, 1, 10.0)
            watched.update(detector.watched(10.0))
            self.assertGreater(len(detector.receivers(10.0)), 2)
        self.assertEqual(watched, set(members))
