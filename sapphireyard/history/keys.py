"""Keys by which copies tell each other which records they have.

A key has a digest of the turn and its program, and the rank of the record: a settlement
replaces the reservation of its turn, and the turn itself replaces both.
"""

import sys
from array import array

import xxhash

from sapphireyard.history.generated_history import Reservation, Settlement, Turn

RANKS = {Reservation: 1, Settlement: 2, Turn: 3}
RANK_MASK = 3
KEY_BYTES = 8


def build_digest(program, turn):
    """Return the digest of a turn of a program, with the bits of the rank clear."""
    return xxhash.xxh3_64_intdigest(f"{program}\0{turn}".encode()) & ~RANK_MASK


def build_key(record):
    """Return the key of a record; 0 for one that other copies do not fetch."""
    rank = RANKS.get(type(record))
    if rank is None:
        return 0
    return build_digest(record.program, record.turn) | rank


def split_key(key):
    """Return the digest and the rank of a key."""
    return key & ~RANK_MASK, key & RANK_MASK


def unpack_keys(data):
    """Return the keys in the bytes of a message.

    Raises
    ------
    ValueError
        The bytes are no whole number of keys.
    """
    keys = array("Q")
    keys.frombytes(data)
    if sys.byteorder == "little":
        keys.byteswap()
    return keys


class KeyIndex:
    """The keys of the records in a log, by position."""

    def __init__(self):
        self._keys = array("Q")
        self._first = 0

    def add(self, key):
        """Add the key of the next record."""
        self._keys.append(key)

    def drop_before(self, position):
        """Forget the keys of records that the log has dropped."""
        del self._keys[: max(0, position - self._first)]
        self._first = max(self._first, position)

    def pack(self, begin, end):
        """Return the keys of a range of positions as the bytes of a message."""
        keys = self._keys[begin - self._first : end - self._first]
        if sys.byteorder == "little":
            keys.byteswap()
        return keys.tobytes()
