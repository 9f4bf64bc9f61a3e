"""Turns and spent tokens, derived from records in any order.

A record may be applied several times and in any order, so that copies with the same
records have the same state.
"""

from dataclasses import dataclass, replace

from sapphireyard.history.generated_history import (
    Reservation,
    Settlement,
    Spending,
    Turn,
)
from sapphireyard.history.keys import RANKS, build_digest, split_key


@dataclass
class StoredTurn:
    """A turn as held in memory; its texts stay in the log.

    Parameters
    ----------
    position : int
        Position of its record in the log.
    previous, customer, program, upstream : str
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
    program: str
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
        self._ranks = {}  # by digest of a turn: highest rank of its records
        self._wanted = {}  # turns missing in chains, and until when these are kept

    @property
    def wanted(self):
        """collection of str: Turns that are missing in chains that are kept."""
        return self._wanted.keys()

    def apply(self, record, position, now):
        """Apply a record that arrived at `now`; return whether it was new."""
        digest = build_digest(record.program, record.turn)
        self._ranks[digest] = max(self._ranks.get(digest, 0), RANKS[type(record)])
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
        """Return the turns of a chain, oldest first, or None if one is missing."""
        chain, missing = self.find_part(turn)
        return None if missing else chain

    def find_part(self, turn, until=""):
        """Return the end of a chain as far as it is here.

        A caller that reuses an id may close a chain to a cycle, which has no first
        turn and counts as incomplete.

        Parameters
        ----------
        turn : str
            The last turn.
        until : str, optional
            Turn before the wanted part; empty for the whole chain.

        Returns
        -------
        list of StoredTurn
            The oldest first.
        str
            The turn before these, which is missing; empty if none is.
        """
        chain = {}
        while turn and turn != until:
            stored = self._turns.get(turn)
            if stored is None or turn in chain:
                return list(reversed(chain.values())), turn
            chain[turn] = stored
            turn = stored.previous
        return list(reversed(chain.values())), ""

    def renew(self, program, turn, expires_at):
        """Keep a chain and the spending of a program at least until `expires_at`."""
        self._extend_chain(turn, expires_at)
        if program in self._expiries:
            end, first = self._expiries[program]
            self._expiries[program] = max(end, expires_at), first

    def lacks(self, key):
        """Return whether no record is known that has a key, or replaces it."""
        digest, rank = split_key(key)
        return self._ranks.get(digest, 0) < rank

    def limit_retention(self, record, now):
        """Return a stored record for another copy, with the retention left to it.

        Returns None if it has expired, or a later record replaces it. Of a turn that
        has expired, its spending may be left.
        """
        spending = self._programs.get(record.program, {}).get(record.turn)
        remaining = 0.0
        if spending is not None:
            remaining = self._expiries[record.program][0] - now
        if isinstance(record, Turn):
            stored = self._turns.get(record.turn)
            left = 0.0 if stored is None else stored.expires_at - now
            if left > 0:
                return replace(record, keep_seconds=max(left, remaining))
            record = Settlement(
                record.program,
                record.turn,
                record.tokens,
                written_at=record.written_at,
            )
        is_replaced = isinstance(record, Reservation) and spending and spending[1]
        if remaining <= 0 or is_replaced:
            return None
        return replace(record, keep_seconds=remaining)

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
        for turn in [t for t, end in self._wanted.items() if end < now]:
            del self._wanted[turn]
        for turn in [t for t, stored in self._turns.items() if stored.expires_at < now]:
            stored = self._turns.pop(turn)
            self._forget_rank(stored.program, turn)
        for program in [p for p, expiry in self._expiries.items() if expiry[0] < now]:
            del self._expiries[program]
            for turn in self._programs.pop(program, ()):
                self._forget_rank(program, turn)
        positions = [stored.position for stored in self._turns.values()]
        positions += [position for _, position in self._expiries.values()]
        return min(positions, default=None)

    def _forget_rank(self, program, turn):
        """Lower the rank of a turn to that of the records that are left of it."""
        digest = build_digest(program, turn)
        stored = self._turns.get(turn)
        if stored is not None and stored.program == program:
            return
        spending = self._programs.get(program, {}).get(turn)
        if spending is None:
            self._ranks.pop(digest, None)
        else:
            self._ranks[digest] = RANKS[Settlement if spending[1] else Reservation]

    def _add_turn(self, turn, position, now):
        is_new = self._store_turn(turn, position, now)
        return self._record_spending(turn, position, now, settled=True) or is_new

    def _store_turn(self, turn, position, now):
        expires_at = now + turn.keep_seconds
        known = self._turns.get(turn.turn)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
            return False
        # Turns that came before this one may need it for longer.
        expires_at = max(expires_at, self._wanted.pop(turn.turn, 0.0))
        self._turns[turn.turn] = StoredTurn(
            position,
            turn.previous,
            turn.customer,
            turn.program,
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
            if stored is None:
                self._wanted[turn] = max(expires_at, self._wanted.get(turn, 0.0))
                return
            if stored.expires_at >= expires_at:
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
