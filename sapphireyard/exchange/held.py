"""The bytes that a host keeps for its requests, against its memory.

Handles callers that read their answers slowly or not at all, while others go on to
send requests: what an upstream has answered is read and kept for them, so that its slot
is free, as long as there is room. When room is short, new requests are refused first.
If that does not suffice, callers that do not read are let go, those first whose answers
cost least to get again.
"""

import logging
import math
from dataclasses import dataclass, field

from sapphireyard.bodies import ArrivingBodies
from sapphireyard.history.client import CACHE_BYTES
from sapphireyard.intake import CONNECTION_BYTES
from sapphireyard.unfinished import UnfinishedBodies

logger = logging.getLogger(__name__)

MEBIBYTE = 1024 * 1024
PROCESS_BYTES = 72 * MEBIBYTE
"""Memory of a process that holds nothing for requests: code, tables and heartbeats."""
BUFFER_OVERHEAD = 2.0
"""Memory of a buffer, by the bytes in it: it grows in steps, is copied in part, and
the allocator keeps what is freed."""
REQUEST_BYTES = 32 * 1024
"""Memory of a request and its connections, without its body and answer."""
MIN_HELD_BYTES = 16 * MEBIBYTE
"""Bytes for requests on the smallest host: an answer of the largest size fits."""
ADMISSION_SHARE = 0.75
"""Share of the bytes from which new requests are refused. The rest is for the answers
of requests that have been accepted."""
UNFINISHED_SHARE = 0.25
"""Largest share of the bytes that answers may take while they are being read, besides
one of the largest size: new requests are admitted meanwhile."""
ARRIVING_SHARE = 0.5
"""The same of bodies that callers send."""
PENDING_SHARE = 0.15
"""Largest share that all connections may hold of heads and of further requests."""
FRAMES_SHARE = 0.25
"""The same of large messages between hosts that are being received; a single one may
be larger."""
UNREAD_SHARE = 0.5
"""Largest share of the bytes that one caller may leave unread."""
STALLED_SECONDS = 30.0
"""Time without a byte read after which a caller counts as gone."""
PRESSED_SECONDS = 4.0
"""The same while new requests are refused: about as long as their callers wait."""
RETRY_SECONDS = 1.0
"""Retry-After while there is no room; slow callers take about as long to read on."""

CONNECTIONS_MEMORY_SHARE = 0.25
"""Largest share of the bytes for requests that connections without one may take."""
RESERVED_DESCRIPTORS = 200
"""Descriptors for files, and for connections to other hosts and to the store."""
CALLERS_DESCRIPTOR_SHARE = 0.6
"""Share of the others for callers; each running request needs one to an upstream."""


def find_max_connections(descriptors, room):
    """Return the number of callers' connections that a host keeps open.

    Parameters
    ----------
    descriptors : int
        File descriptors of the process.
    room : float
        As from `find_room`.
    """
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) * CALLERS_DESCRIPTOR_SHARE
    by_memory = room * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
    return max(1, int(min(by_descriptors, by_memory)))


def find_room(memory_bytes):
    """Return the bytes that a host may keep for requests.

    Parameters
    ----------
    memory_bytes : float
        Memory of the process; infinity without a limit.
    """
    return max(MIN_HELD_BYTES, memory_bytes - PROCESS_BYTES - CACHE_BYTES)


@dataclass(eq=False)
class Hold:
    """What is kept for one request.

    Parameters
    ----------
    label : str
        Id of the request, for the log.
    cost : tuple of int
        What it costs to get the answer again, in order of weight; the lowest is let
        go first.
    release : callable or None
        Called to let the caller go.
    measure : callable or None
        Returns the bytes that the caller has not read yet.
    kept : int
        Bytes of the request's body, and of an answer that is not on its way yet.
    unread : int
        Bytes of the answer that wait for the caller to read them.
    overhead : int
        Memory of the request itself; 0 if it is counted elsewhere.
    read_at : float
        Monotonic seconds at which the caller last read, or had nothing to read.
    """

    label: str = ""
    cost: tuple = (0, 0)
    release: object = None
    measure: object = None
    kept: int = 0
    unread: int = 0
    overhead: int = REQUEST_BYTES
    read_at: float = -math.inf
    released: bool = field(default=False, repr=False)

    @property
    def size(self):
        """int: Bytes of memory, with an allowance for the request itself."""
        return self.overhead + int((self.kept + self.unread) * BUFFER_OVERHEAD)


class HeldBytes:
    """Decides who may keep bytes in the memory of a host.

    Parameters
    ----------
    limit : float
        Bytes that may be kept for requests; infinity without a limit.
    count_others : callable, optional
        Returns the bytes that connections take besides.

    Attributes
    ----------
    total : int
        Bytes kept now for requests.
    highest : int
        Most bytes that were kept.
    unfinished : UnfinishedBodies
        The part of the bytes that belongs to answers that are being read.
    arriving : ArrivingBodies
        The part that is reserved for bodies of requests that are being read.
    """

    def __init__(self, limit=math.inf, *, count_others=lambda: 0):
        self.limit = limit
        self._count_others = count_others
        self.unfinished = UnfinishedBodies(limit * UNFINISHED_SHARE / BUFFER_OVERHEAD)
        self.arriving = ArrivingBodies(
            limit * ARRIVING_SHARE / BUFFER_OVERHEAD, fits=self.admits
        )
        self.total = 0
        self.highest = 0
        self._holds = set()

    @property
    def _used(self):
        return self.total + self._count_others()

    @property
    def count(self):
        """int: Requests for which bytes are kept."""
        return len(self._holds)

    def open(self, label, *, now, release=None, measure=None, overhead=REQUEST_BYTES):
        """Return a new `Hold` for a request, or for a part of one without overhead."""
        hold = Hold(
            label, release=release, measure=measure, overhead=overhead, read_at=now
        )
        self._holds.add(hold)
        self._add(hold.size)
        return hold

    def close(self, hold):
        """Keep nothing for a request any more."""
        if hold in self._holds:
            self._holds.remove(hold)
            self.total -= hold.size
        # Its owner refers to it: as a cycle, both would stay until a collection.
        hold.release = hold.measure = None

    def admits(self, size):
        """Return whether a new request with a body of `size` bytes may be read."""
        return self._used + size * BUFFER_OVERHEAD <= self.limit * ADMISSION_SHARE

    def fits(self, size):
        """Return whether a request that was accepted may keep `size` bytes more."""
        return self._used + size * BUFFER_OVERHEAD <= self.limit

    def keep(self, hold, size):
        """Count `size` bytes more, or fewer, of a body or a buffered answer."""
        self._resize(hold, kept=max(0, hold.kept + size))

    def note_unread(self, hold, unread, now, *, written=0):
        """Record the bytes of an answer that its caller has not read yet.

        Parameters
        ----------
        hold : Hold
            What is kept for the request.
        unread : int
            Bytes that wait now.
        now : float
            Monotonic seconds.
        written : int, optional
            Bytes added since the last record.
        """
        if not unread or unread < hold.unread + written:
            hold.read_at = now
        self._resize(hold, unread=unread)

    def is_short(self, hold):
        """Return whether callers may have to be let go, this one first of all."""
        return self._used > self.limit or self._leaves_too_much(hold)

    def list_unread(self):
        """Return the holds of callers that have bytes to read."""
        return [hold for hold in self._holds if hold.unread]

    def choose_released(self, now, *, needed=0):
        """Return the holds of the callers to let go, those that cost least first.

        `needed` bytes more are to be kept for a request that was accepted.

        These are callers that have read nothing for long, that leave too much unread
        each, and, if all bytes together exceed the limit, as many as make room. While
        new requests are refused, callers that have read nothing for some seconds go
        until there is room for some. No caller goes while it has nothing to read.
        """
        waiting = [hold for hold in self.list_unread() if not hold.released]
        waiting.sort(
            key=lambda each: (each.cost, each.read_at, -each.unread, each.label)
        )
        chosen = [hold for hold in waiting if self._is_excessive(hold, now)]
        leaving = {*chosen, *(hold for hold in self._holds if hold.released)}
        left = self._used + int(needed * BUFFER_OVERHEAD)
        left -= sum(hold.size for hold in leaving)
        for hold in [each for each in waiting if each not in leaving]:
            is_stalled = now - hold.read_at > PRESSED_SECONDS
            limit = self.limit * ADMISSION_SHARE if is_stalled else self.limit
            if left > limit:
                chosen.append(hold)
                left -= hold.size
        return chosen

    def relieve(self, now, *, needed=0):
        """Let callers go as `choose_released` says, and log each."""
        for hold in self.list_unread():
            if hold.measure is not None:
                self.note_unread(hold, hold.measure(), now)
        for hold in self.choose_released(now, needed=needed):
            hold.released = True
            logger.info(
                "caller let go",
                extra={
                    "decision": "held",
                    "request_id": hold.label,
                    "unread": hold.unread,
                    "seconds": round(now - hold.read_at, 2),
                    "cost": list(hold.cost),
                    "total": self.total,
                    "limit": self.limit,
                },
            )
            if hold.release is not None:
                hold.release()

    def _is_excessive(self, hold, now):
        return self._leaves_too_much(hold) or now - hold.read_at > STALLED_SECONDS

    def _leaves_too_much(self, hold):
        return hold.unread * BUFFER_OVERHEAD > self.limit * UNREAD_SHARE

    def _resize(self, hold, **sizes):
        before = hold.size
        for name, size in sizes.items():
            setattr(hold, name, size)
        if hold in self._holds:
            self._add(hold.size - before)

    def _add(self, size):
        self.total += size
        self.highest = max(self.highest, self.total)
