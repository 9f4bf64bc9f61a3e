"""Turns and spent tokens, folded from records in any order.

A fold takes each record as often and in whatever order it comes, so that copies
which have the same records have the same state.
"""

from dataclasses import dataclass

from sapphireyard.history.generated_history import (
    Reservation,
    Settlement,
    Spending,
    Turn,
)


@dataclass
class StoredTurn:
    """What is in memory of a turn; its texts stay in the log.

    Parameters
    ----------
    position : int
        Where its record lies.
    previous, customer, upstream : str
        As in `Turn`.
    tokens : int
        Tokens of the prompt and the answer together.
    kept_until : float
        Monotonic seconds of this host.
    """

    position: int
    previous: str
    customer: str
    upstream: str
    tokens: int
    kept_until: float


class HistoryState:
    """All turns and the spending of all programs that a copy knows.

    Time is that since a record came to this copy, on its monotonic clock: a time
    of day that jumps, here or where the record was written, ends nothing early.
    """

    def __init__(self):
        self._turns = {}
        self._programs = {}
        self._expiries = {}

    def apply(self, record, position, now):
        """Fold a record that has come at `now`; return whether it was new."""
        if isinstance(record, Turn):
            return self._add_turn(record, position, now)
        if isinstance(record, Settlement):
            return self._spend(record, position, now, settled=True)
        if isinstance(record, Reservation):
            return self._spend(record, position, now, settled=False)
        raise TypeError(f"no fold for {type(record).__name__}")

    def find_turn(self, turn):
        """Return the `StoredTurn`, or None."""
        return self._turns.get(turn)

    def find_chain(self, turn):
        """Return the kept turns of a chain, oldest first, or None if one lacks.

        A caller that uses an id again may close a chain to a ring; it has no
        beginning, so one lacks.
        """
        chain = {}
        while turn:
            kept = self._turns.get(turn)
            if kept is None or turn in chain:
                return None
            chain[turn] = kept
            turn = kept.previous
        return list(reversed(chain.values()))

    def spendings(self, program):
        """Return the `Spending` of each turn of a program."""
        known = self._programs.get(program, {})
        return [
            Spending(turn, tokens, final) for turn, (tokens, final) in known.items()
        ]

    def expire(self, now):
        """Forget what need not be kept; return the first position still needed.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
            None when nothing is kept.
        """
        for turn in [t for t, kept in self._turns.items() if kept.kept_until < now]:
            del self._turns[turn]
        for program in [p for p, kept in self._expiries.items() if kept[0] < now]:
            del self._expiries[program]
            self._programs.pop(program, None)
        positions = [kept.position for kept in self._turns.values()]
        positions += [position for _, position in self._expiries.values()]
        return min(positions, default=None)

    def _add_turn(self, turn, position, now):
        is_new = self._keep_turn(turn, position, now)
        return self._spend(turn, position, now, settled=True) or is_new

    def _keep_turn(self, turn, position, now):
        kept_until = now + turn.keep_seconds
        known = self._turns.get(turn.turn)
        if known is not None:
            known.kept_until = max(known.kept_until, kept_until)
            return False
        self._turns[turn.turn] = StoredTurn(
            position,
            turn.previous,
            turn.customer,
            turn.upstream,
            turn.context_tokens,
            kept_until,
        )
        self._extend_chain(turn.previous, kept_until)
        return True

    def _extend_chain(self, turn, kept_until):
        """Keep the turns before one at least as long as itself."""
        while turn:
            kept = self._turns.get(turn)
            if kept is None or kept.kept_until >= kept_until:
                return
            kept.kept_until = kept_until
            turn = kept.previous

    def _spend(self, record, position, now, *, settled):
        known = self._programs.setdefault(record.program, {})
        until, first = self._expiries.get(record.program, (0.0, position))
        self._expiries[record.program] = max(until, now + record.keep_seconds), first
        before = known.get(record.turn)
        if before is not None and (before[1] or not settled):
            return False
        known[record.turn] = (record.tokens, settled)
        return True
