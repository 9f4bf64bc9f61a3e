"""Stateful tests of programs: order, history, budget and at-most-once execution."""

import unittest

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from sapphireyard.exceptions import CallError
from sapphireyard.journal.generated_records import (
    CallAbandoned,
    CallCompleted,
    CallReserved,
    ProgramOpened,
)
from sapphireyard.programs.calls import Admission, admit
from sapphireyard.programs.programs import Programs

PARTITION = 3
KEY = "c/p"
COST = 10
BUDGET = 200
DETERMINISTIC = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
)
DETERMINISTIC_NO_SHRINK = settings(DETERMINISTIC, phases=(Phase.generate,))
"""Settings for the machines that are expected to fail."""


class ProgramMachine(RuleBasedStateMachine):
    """One program whose caller repeats calls and whose owner changes."""

    skips_reservations = False
    ignores_digests = False

    def __init__(self):
        super().__init__()
        self.programs = Programs()
        self.journal = []
        self.execution_counts = {}
        self.answers = {}
        self.executed_sequences = []
        self.in_flight = None
        self._record(ProgramOpened(KEY, KEY, 0.0, budget_tokens=BUDGET))

    @property
    def program(self):
        return self.programs.get(PARTITION, KEY)

    def _record(self, record):
        if not (self.skips_reservations and isinstance(record, CallReserved)):
            self.journal.append(record)
        self.programs.apply(PARTITION, record)

    @precondition(lambda self: self.in_flight is None)
    @rule(
        sequence=st.integers(0, 6),
        content=st.sampled_from("ab"),
        repeatable=st.booleans(),
    )
    def call(self, sequence, content, repeatable):
        digest = content
        if self.ignores_digests:
            digest = "same"
        try:
            decision = admit(
                self.program, sequence=sequence, digest=digest, idempotency_key=""
            )
        except CallError:
            return
        if decision.admission is Admission.REPLAY:
            call = self.program.calls[decision.sequence]
            assert call.answer == self.answers[decision.sequence]
            assert call.answer.startswith(content), "answer of another request"
            return
        if decision.admission is not Admission.RUN:
            return
        if self.program.spent_tokens + COST > BUDGET:
            return
        self._record(
            CallReserved(KEY, decision.sequence, digest, "r", repeatable, COST)
        )
        self.in_flight = (decision.sequence, content, repeatable)

    @precondition(lambda self: self.in_flight is not None)
    @rule(sent=st.booleans(), answered=st.booleans(), used=st.integers(0, COST))
    def finish(self, sent, answered, used):
        sequence, content, repeatable = self.in_flight
        self.in_flight = None
        if sent or answered:
            self._execute(sequence, repeatable)
        if answered:
            answer = f"{content}{len(self.answers)}"
            self.answers[sequence] = answer
            digest = self.program.calls[sequence].digest
            self._record(
                CallCompleted(KEY, sequence, digest, 200, "{}", answer, tokens=used)
            )
            return
        executed = "unknown" if sent else "no"
        self._record(CallAbandoned(KEY, sequence, executed))

    @rule(sent=st.booleans())
    def lose_owner(self, sent):
        if self.in_flight is not None and sent:
            self._execute(self.in_flight[0], self.in_flight[2])
        self.in_flight = None
        self.programs = Programs()
        for record in self.journal:
            self.programs.apply(PARTITION, record)
        self.journal += self.programs.finish_recovery(PARTITION)

    @rule()
    def move(self):
        if self.in_flight is not None:
            return
        snapshots = self.programs.snapshot(PARTITION)
        self.programs = Programs()
        for snapshot in snapshots:
            self.programs.apply(PARTITION, snapshot)
        self.journal = snapshots

    def _execute(self, sequence, repeatable):
        self.executed_sequences.append(sequence)
        runs = self.execution_counts.setdefault((sequence, repeatable), 0)
        self.execution_counts[sequence, repeatable] = runs + 1

    @invariant()
    def once_only(self):
        for (sequence, repeatable), runs in self.execution_counts.items():
            assert repeatable or runs <= 1, f"sequence {sequence} ran {runs} times"

    @invariant()
    def in_order(self):
        assert self.executed_sequences == sorted(
            self.executed_sequences
        ), self.executed_sequences

    @invariant()
    def within_budget(self):
        assert self.program.spent_tokens <= BUDGET

    @invariant()
    def no_answer_is_lost(self):
        for sequence, answer in self.answers.items():
            assert self.program.calls[sequence].answer == answer


# Name and body of a machine select the examples that derandomized settings draw.
# Under the name WithoutReservations, none of the 60 examples found the fault.
class WithoutIntents(ProgramMachine):
    skips_reservations = True


class WithoutDigests(ProgramMachine):
    ignores_digests = True


class ProgramMachineTest(unittest.TestCase):
    def test_invariants_hold(self):
        run_state_machine_as_test(ProgramMachine, settings=DETERMINISTIC)

    def test_broken_variants_are_found(self):
        for broken in (WithoutIntents, WithoutDigests):
            with self.subTest(broken.__name__):
                with self.assertRaises(Exception):
                    run_state_machine_as_test(broken, settings=DETERMINISTIC_NO_SHRINK)


class BudgetSharingTest(unittest.TestCase):
    def test_sub_agent_charges_the_root_budget(self):
        programs = Programs()
        programs.apply(PARTITION, ProgramOpened("c/r", "c/r", 0.0, budget_tokens=50))
        programs.apply(PARTITION, ProgramOpened("c/s", "c/r", 0.0))
        programs.apply(PARTITION, CallReserved("c/s", 1, "d", "r", True, 30))
        programs.apply(
            PARTITION, CallCompleted("c/s", 1, "d", 200, "{}", "{}", tokens=20)
        )
        for key in ("c/r", "c/s"):
            program = programs.get(PARTITION, key)
            with self.subTest(key):
                self.assertEqual(program.spent_tokens, 20)
                self.assertEqual(program.spent_calls, 1)
