"""Agent programs: their state, folded from journal records.

The key of a program's root determines its partition. `Programs` holds the
programs of the partitions that this host owns. Durable state changes only by
records passed to `Programs.apply`, whether they were created here or read back
during a recovery.
"""

import asyncio
import dataclasses
from collections import defaultdict
from functools import singledispatchmethod

from sapphireyard.exceptions import EXECUTED_NO
from sapphireyard.journal.generated_records import (
    CallAbandoned,
    CallCompleted,
    CallReserved,
    ProgramEnded,
    ProgramLinked,
    ProgramOpened,
    ProgramSnapshot,
    SnapshotCall,
)
from sapphireyard.programs.calls import (
    CALL_COMPLETED,
    CALL_RESERVED,
    CALL_UNKNOWN,
    Call,
)


class Program:
    """The state of one program.

    Parameters
    ----------
    key : str
        ``customer/id``.
    root : str
        Key of the program whose budget is charged as well; a root's own key.
    opened_at : float
        Wall-clock seconds.

    Attributes
    ----------
    calls : dict of int to Call
        Calls by sequence, from 1, in order.
    sequences_by_key : dict of str to int
        Sequences of the calls that have an idempotency key.
    ended : str
        Why the program ended; empty while it is active.
    link : bool
        True when this is only a reference: the state is in the root's
        partition.
    tail_uncertain : bool
        True when the last calls may be missing after a recovery.
    running : Run or None
        The call in progress.
    last_used_at : float
        Wall-clock seconds of the last use, from which idle programs are ended.
    pending_opening : ProgramOpened or None
        The record that opened the program, until it is durable.
    upstreams : set of str
        Addresses of the engines that may hold memory for the program.
    pools : set of str
        Names of the pools in which its calls ran.
    run_ended : asyncio.Condition
        Notified when a call of the program ends.
    """

    def __init__(self, key, root, opened_at):
        self.key = key
        self.root = root
        self.opened_at = opened_at
        self.budget_tokens = 0
        self.budget_calls = 0
        self.budget_seconds = 0.0
        self.spent_tokens = 0
        self.spent_calls = 0
        self.calls = {}
        self.sequences_by_key = {}
        self.ended = ""
        self.link = False
        self.tail_uncertain = False
        self.running = None
        self.last_used_at = 0.0
        self.pending_opening = None
        self.upstreams = set()
        self.pools = set()
        self.run_ended = asyncio.Condition()

    @property
    def is_root(self):
        """bool: Whether the program is its own root."""
        return self.key == self.root

    @property
    def has_budget(self):
        """bool: Whether tokens, calls or seconds of the program are limited."""
        return bool(self.budget_tokens or self.budget_calls or self.budget_seconds)

    @property
    def next_sequence(self):
        """int: The sequence that may run next; that of a call still reserved."""
        sequence = len(self.calls) + 1
        last = self.calls.get(sequence - 1)
        if last is not None and last.state == CALL_RESERVED:
            return sequence - 1
        return sequence

    @property
    def context_tokens(self):
        """int: Tokens of the history, as reported with the last model answer."""
        for call in reversed(self.calls.values()):
            if call.state == CALL_COMPLETED and call.is_model_turn:
                return call.tokens
        return 0

    @property
    def text_bytes(self):
        """int: Size of the texts in memory, counted in characters."""
        return sum(call.text_bytes for call in self.calls.values())

    @property
    def is_loaded(self):
        """bool: Whether all texts are in memory."""
        return all(call.is_loaded for call in self.calls.values())

    def unknown_sequences(self):
        """Return the sequences whose outcome is unknown."""
        return [n for n, call in self.calls.items() if call.state == CALL_UNKNOWN]

    def seconds_left(self, now):
        """Return the budget's seconds left at wall-clock `now`, None if unlimited."""
        if not self.budget_seconds:
            return None
        return self.opened_at + self.budget_seconds - now


class Programs:
    """The programs of all partitions owned by this host."""

    def __init__(self):
        self._partitions = defaultdict(dict)
        self._paused = set()
        self._changed = asyncio.Condition()
        self._callbacks = []

    def __len__(self):
        return sum(map(len, self._partitions.values()))

    def get(self, partition, key):
        """Return the program called `key`, or None."""
        programs = self._partitions.get(partition)
        return programs.get(key) if programs else None

    def list_programs(self, partition=None):
        """Return the programs of one partition, or of all."""
        if partition is not None:
            return list(self._partitions.get(partition, {}).values())
        return [
            program
            for programs in self._partitions.values()
            for program in programs.values()
        ]

    def apply(self, partition, record, *, source=None):
        """Apply one record to the state of its program.

        Parameters
        ----------
        partition : int
            Partition of the program.
        record : object
            Instance of a class of `generated_records`.
        source : CallSource, optional
            Position of the record in a journal.
        """
        programs = self._partitions[partition]
        self._fold(record, programs, source)
        program = programs.get(record.program)
        if program is None:
            return
        for callback in self._callbacks:
            callback(partition, program)

    def on_change(self, callback):
        """Call ``callback(partition, program)`` after each applied record."""
        self._callbacks.append(callback)

    def remove(self, partition, key):
        """Remove an ended program or a link."""
        programs = self._partitions.get(partition, {})
        program = programs.get(key)
        assert program is None or program.ended or program.link, f"{key} has not ended"
        programs.pop(key, None)

    @singledispatchmethod
    def _fold(self, record, programs, source):
        raise TypeError(f"{type(record).__name__} is not a program record")

    @_fold.register
    def _(self, record: ProgramOpened, programs, source):
        if record.program in programs:
            return
        program = Program(record.program, record.root, record.opened_at)
        program.budget_tokens = record.budget_tokens
        program.budget_calls = record.budget_calls
        program.budget_seconds = record.budget_seconds
        programs[record.program] = program

    @_fold.register
    def _(self, record: ProgramLinked, programs, source):
        program = Program(record.program, record.root, 0.0)
        program.link = True
        programs[record.program] = program

    @_fold.register
    def _(self, record: CallReserved, programs, source):
        program = programs[record.program]
        _add_call(program, record)
        _charge(programs, program, tokens=record.tokens, calls=1)

    @_fold.register
    def _(self, record: CallCompleted, programs, source):
        program = programs[record.program]
        if record.sequence not in program.calls:
            _add_call(program, record)
            _charge(programs, program, tokens=record.tokens, calls=1)
        call = program.calls[record.sequence]
        assert call.state == CALL_RESERVED, f"call {record.sequence} is {call.state}"
        _charge(programs, program, tokens=record.tokens - call.tokens, calls=0)
        call.state = CALL_COMPLETED
        call.tokens = record.tokens
        call.status = record.status
        call.request = record.request
        call.answer = record.answer
        call.source = source

    @_fold.register
    def _(self, record: CallAbandoned, programs, source):
        program = programs.get(record.program)
        call = program.calls.get(record.sequence) if program else None
        if call is None:
            return
        if call.state == CALL_COMPLETED:
            return
        assert call.state == CALL_RESERVED, f"call {record.sequence} is {call.state}"
        if record.executed == EXECUTED_NO:
            _charge(programs, program, tokens=-call.tokens, calls=-1)
        if record.executed != EXECUTED_NO and not call.repeatable:
            call.state = CALL_UNKNOWN
            return
        del program.calls[record.sequence]
        program.sequences_by_key.pop(call.idempotency_key, None)

    @_fold.register
    def _(self, record: ProgramEnded, programs, source):
        program = programs.get(record.program)
        if program is not None:
            program.ended = program.ended or record.reason

    @_fold.register
    def _(self, record: ProgramSnapshot, programs, source):
        program = Program(record.program, record.root, record.opened_at)
        program.budget_tokens = record.budget_tokens
        program.budget_calls = record.budget_calls
        program.budget_seconds = record.budget_seconds
        program.spent_tokens = record.spent_tokens
        program.spent_calls = record.spent_calls
        earlier = programs.get(record.program)
        program.ended = record.ended or (earlier.ended if earlier else "")
        program.link = record.link
        for item in record.calls:
            call = Call(**vars(item))
            if call.answer:
                call.source = source
            program.calls[item.sequence] = call
            _index_key(program, item)
        programs[record.program] = program

    def snapshot(self, partition):
        """Return a `ProgramSnapshot` of each program of a partition.

        Texts that are in a journal are left out.
        """
        return [take_snapshot(program) for program in self.list_programs(partition)]

    def finish_recovery(self, partition, *, tail_uncertain=False):
        """Settle the calls that earlier owners left reserved.

        To be called after all records were applied. A reserved call of an
        earlier owner may have run. If it may not be repeated its outcome
        becomes unknown; otherwise its sequence is free again, and the tokens
        reserved for it stay charged.

        Returns
        -------
        list of CallAbandoned
            The records of these changes, already applied; the caller has to
            journal them.
        """
        records = []
        for program in self.list_programs(partition):
            program.tail_uncertain = tail_uncertain
            for call in list(program.calls.values()):
                if call.state == CALL_RESERVED:
                    record = CallAbandoned(program.key, call.sequence, "unknown")
                    self.apply(partition, record)
                    records.append(record)
        return records

    def drop(self, partition):
        """Drop the programs of a partition that this host no longer owns."""
        self._partitions.pop(partition, None)
        self._paused.discard(partition)

    def is_paused(self, partition):
        """Return whether new calls of the partition wait for `resume`."""
        return partition in self._paused

    async def wait_resumed(self, partition):
        """Wait while the partition is paused for a move."""
        async with self._changed:
            await self._changed.wait_for(lambda: partition not in self._paused)

    async def quiesce(self, partition):
        """Pause new calls of a partition and wait for the running ones to end."""
        self._paused.add(partition)
        async with self._changed:
            await self._changed.wait_for(lambda: not self._is_busy(partition))

    async def resume(self, partition):
        """Let the calls of a paused partition proceed."""
        self._paused.discard(partition)
        await self.notify()

    async def notify(self):
        """Wake the tasks that wait for a partition to become idle or resumed."""
        async with self._changed:
            self._changed.notify_all()

    def _is_busy(self, partition):
        return any(
            program.running is not None for program in self.list_programs(partition)
        )


def _add_call(program, record):
    assert record.sequence == program.next_sequence, (
        f"{record.program}: sequence {record.sequence} reserved, "
        f"expected {program.next_sequence}"
    )
    program.calls[record.sequence] = Call(
        sequence=record.sequence,
        state=CALL_RESERVED,
        digest=record.digest,
        route=record.route,
        repeatable=record.repeatable,
        tokens=record.tokens,
        idempotency_key=record.idempotency_key,
        is_model=record.is_model,
    )
    _index_key(program, record)


def _index_key(program, item):
    if item.idempotency_key:
        program.sequences_by_key[item.idempotency_key] = item.sequence


def _charge(programs, program, *, tokens, calls):
    charged_keys = {program.key, program.root}
    for key in charged_keys:
        charged = programs.get(key)
        if charged is None:
            continue
        charged.spent_tokens += tokens
        charged.spent_calls += calls
        assert charged.spent_tokens >= 0, f"{key} spent {charged.spent_tokens} tokens"


def take_snapshot(program, *, with_texts=False):
    """Return a record of the whole state of a program.

    Parameters
    ----------
    program : Program
        The program; all its texts must be loaded for `with_texts`.
    with_texts : bool, optional
        Whether to include texts that are already in a journal.
    """
    return ProgramSnapshot(
        program=program.key,
        root=program.root,
        opened_at=program.opened_at,
        budget_tokens=program.budget_tokens,
        budget_calls=program.budget_calls,
        budget_seconds=program.budget_seconds,
        spent_tokens=program.spent_tokens,
        spent_calls=program.spent_calls,
        ended=program.ended,
        link=program.link,
        calls=[_snapshot_call(call, with_texts) for call in program.calls.values()],
    )


def _snapshot_call(call, with_texts):
    names = (field.name for field in dataclasses.fields(SnapshotCall))
    item = SnapshotCall(**{name: getattr(call, name) for name in names})
    if with_texts:
        assert call.is_loaded, f"call {call.sequence} is not loaded"
        item.source = None
    elif item.source is not None:
        item.request = item.answer = ""
    return item
