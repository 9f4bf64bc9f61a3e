"""Turns and spent tokens, derived from records in any order.

A record may be applied several times and in any order, so that copies with the same
records have the same state.
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
    """A turn as held in memory; its texts stay in the log.

    Parameters
    ----------
    position : int
        Position of its record in the log.
    previous, customer, upstream : str
        As in `Turn`.
    tokens : int
        Tokens of the prompt and the answer together.
    size : int
        Bytes of its texts.
    expires_at : float
        Monotonic seconds of this host.
    """

    position: int
    previous: str
    customer: str
    upstream: str
    tokens: int
    size: int
    expires_at: float


class HistoryState:
    """All turns of a copy, and the spending of all programs.

    Records expire by the time since they arrived at this copy, on its monotonic
    clock: a jump of the wall clock, here or on the host that wrote the record, lets
    nothing expire early.
    """

    def __init__(self):
        self._turns = {}
        self._programs = {}
        self._expiries = {}  # by program: end of retention, position of first record

    def apply(self, record, position, now):
        """Apply a record that arrived at `now`; return whether it was new."""
        if isinstance(record, Turn):
            return self._add_turn(record, position, now)
        if isinstance(record, Settlement):
            return self._record_spending(record, position, now, settled=True)
        if isinstance(record, Reservation):
            return self._record_spending(record, position, now, settled=False)
        raise TypeError(f"cannot apply a {type(record).__name__}")

    def find_turn(self, turn):
        """Return the `StoredTurn`, or None."""
        return self._turns.get(turn)

    def find_chain(self, turn):
        """Return the turns of a chain, oldest first, or None if one is missing.

        A caller that reuses an id may close a chain to a cycle, which has no first
        turn and counts as incomplete.
        """
        chain = {}
        while turn:
            stored = self._turns.get(turn)
            if stored is None or turn in chain:
                return None
            chain[turn] = stored
            turn = stored.previous
        return list(reversed(chain.values()))

    def spendings(self, program):
        """Return the `Spending` of each turn of a program."""
        known = self._programs.get(program, {})
        return [
            Spending(turn, tokens, settled) for turn, (tokens, settled) in known.items()
        ]

    def expire(self, now):
        """Drop what has expired; return the first position that is still needed.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
            None if nothing is left.
        """
        for turn in [t for t, stored in self._turns.items() if stored.expires_at < now]:
            del self._turns[turn]
        for program in [p for p, expiry in self._expiries.items() if expiry[0] < now]:
            del self._expiries[program]
            self._programs.pop(program, None)
        positions = [stored.position for stored in self._turns.values()]
        positions += [position for _, position in self._expiries.values()]
        return min(positions, default=None)

    def _add_turn(self, turn, position, now):
        is_new = self._store_turn(turn, position, now)
        return self._record_spending(turn, position, now, settled=True) or is_new

    def _store_turn(self, turn, position, now):
        expires_at = now + turn.keep_seconds
        known = self._turns.get(turn.turn)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
            return False
        self._turns[turn.turn] = StoredTurn(
            position,
            turn.previous,
            turn.customer,
            turn.upstream,
            turn.context_tokens,
            len(turn.input) + len(turn.output),
            expires_at,
        )
        self._extend_chain(turn.previous, expires_at)
        return True

    def _extend_chain(self, turn, expires_at):
        """Keep a turn and all before it at least until `expires_at`."""
        while turn:
            stored = self._turns.get(turn)
            if stored is None or stored.expires_at >= expires_at:
                return
            stored.expires_at = expires_at
            turn = stored.previous

    def _record_spending(self, record, position, now, *, settled):
        known = self._programs.setdefault(record.program, {})
        end, first = self._expiries.get(record.program, (0.0, position))
        self._expiries[record.program] = max(end, now + record.keep_seconds), first
        before = known.get(record.turn)
        if before is not None and (before[1] or not settled):
            return False
        known[record.turn] = (record.tokens, settled)
        return True
