"""Tests of the journal writer against a simple model, with random store answers."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.exceptions import CommitInDoubt, JournalSealed, StoreUnavailable
from sapphireyard.journal.generated_records import ProgramEnded
from sapphireyard.journal.journal_writer import Commit, JournalWriter
from sapphireyard.journal.records import RecordAssembler, pack_record, unpack_segment

INTERVAL_SECONDS = 0.05

events = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.booleans(), st.integers(1, 3)),
        st.tuples(st.just("stored"), st.booleans()),
        st.tuples(st.sampled_from(["fail", "hold", "answer", "pass"])),
    ),
    max_size=60,
)


class WriterModel:
    """Reference model of a journal: the list of segments in the store.

    Parameters
    ----------
    writer_class : type
        The class under test.
    """

    def __init__(self, writer_class=JournalWriter):
        self.writer = writer_class("a", 1, interval_seconds=INTERVAL_SECONDS)
        self.now = 0.0
        self.count = 0
        self.stored = []
        self.accepted = []
        self.durable = set()
        self.refused = set()
        self.in_doubt = set()

    def add(self, needs_store, records):
        numbers = list(range(self.count, self.count + records))
        self.count += records
        packed = [pack_record(ProgramEnded("p", str(n)), partition=0) for n in numbers]
        commit = Commit(packed, needs_store=needs_store, waiter=numbers)
        try:
            self.writer.add(commit)
        except StoreUnavailable:
            assert needs_store and self.writer.store_out
            self.refused.update(numbers)
            return
        self.accepted += numbers

    def stored_event(self, answered):
        """Store the head segment; the answer may be lost."""
        head = self.writer.head
        if head is None:
            return
        if not self.stored or self.stored[-1] is not head:
            self.stored.append(head)
        if answered:
            self.settle(self.writer.store_succeeded(head.number))
        else:
            self.fail()

    def fail(self):
        for commit, error in self.writer.store_failed():
            assert commit.needs_store
            in_doubt = isinstance(error, CommitInDoubt)
            (self.in_doubt if in_doubt else self.refused).update(commit.waiter)

    def hold(self):
        if self.writer.has_backlog and self.writer.staged:
            self.settle(self.writer.record_replicated(self.writer.staged[-1].number))

    def settle(self, commits):
        for commit in commits:
            assert not self.durable & set(commit.waiter), "acknowledged twice"
            self.durable.update(commit.waiter)

    def step(self, event):
        self.now += INTERVAL_SECONDS
        kind = event[0]
        if kind == "add":
            self.add(*event[1:])
        if kind == "stored":
            self.stored_event(event[1])
        if kind == "fail":
            self.fail()
        if kind == "hold":
            self.hold()
        if kind == "answer":
            self.writer.store_answered()
        self.writer.stage(self.now, token=str(self.now))

    def finish(self):
        """Let the store answer until the writer is idle; check its segments."""
        self.writer.store_answered()
        while not self.writer.idle:
            self.now += 1
            self.writer.stage(self.now, token=str(self.now))
            self.stored_event(True)
        numbers = [segment.number for segment in self.stored]
        assert numbers == list(range(1, len(numbers) + 1)), f"gaps: {numbers}"
        assembler, found = RecordAssembler(), []
        for segment in self.stored:
            placed = assembler.feed(unpack_segment(segment.value))
            found += [int(item.record.reason) for item in placed]
        assert found == sorted(set(found)), f"out of order or repeated: {found}"
        assert not self.refused & set(found), "refused but stored"
        assert self.durable <= set(found), "acknowledged but lost"
        assert set(found) <= set(self.accepted)
        assert set(self.accepted) <= self.durable | self.refused | self.in_doubt


class RequeueingWriter(JournalWriter):
    """A broken variant: refused commits stay queued and become durable later."""

    def store_failed(self):
        queue = list(self._queue)
        failed = super().store_failed()
        self._queue.clear()
        self._queue.extend(queue)
        return failed


class RestagingWriter(JournalWriter):
    """A broken variant: repeats records of an unanswered segment in the next."""

    def store_failed(self):
        failed = super().store_failed()
        for segment in self._staged:
            for commit in segment.commits:
                commit.records = [
                    pack_record(ProgramEnded("p", str(n)), partition=0)
                    for n in commit.waiter
                ]
            self._queue.extendleft(segment.commits)
            segment.commits = []
        return failed


def check_model(writer_class, max_examples):
    """Run random event sequences on a model of the class."""

    @settings(max_examples=max_examples, derandomize=True, deadline=None, database=None)
    @given(events)
    def run(sequence):
        model = WriterModel(writer_class)
        for event in sequence:
            model.step(event)
        model.finish()

    run()


class JournalWriterTest(unittest.TestCase):
    def test_against_model(self):
        check_model(JournalWriter, 300)

    def test_broken_variants_fail(self):
        for writer_class in (RequeueingWriter, RestagingWriter):
            with self.subTest(writer_class.__name__):
                with self.assertRaises(AssertionError):
                    check_model(writer_class, 300)

    def test_interval(self):
        writer = JournalWriter(
            "a", 1, interval_seconds=INTERVAL_SECONDS, burst_segments=1
        )
        packed = pack_record(ProgramEnded("p", "1"), partition=0)
        writer.add(Commit([packed]))
        self.assertEqual(writer.delay(10.0), 0.0)
        writer.stage(10.0, token="t")
        writer.store_succeeded(1)
        writer.add(Commit([packed]))
        self.assertAlmostEqual(writer.delay(10.01), 0.04)
        self.assertIsNone(writer.stage(10.01, token="t"))
        self.assertEqual(writer.stage(10.05, token="t").number, 2)

    def test_sealed(self):
        writer = JournalWriter("a", 1, interval_seconds=0)
        commit = Commit([pack_record(ProgramEnded("p", "1"), partition=0)])
        writer.add(commit)
        self.assertEqual(writer.seal(), [commit])
        with self.assertRaises(JournalSealed):
            writer.add(commit)
        self.assertIsNone(writer.stage(9.0, token="t"))
