"""Refuses calls at once that would wait in a queue beyond their deadline."""

from dataclasses import dataclass

import xxhash

from sapphireyard.exceptions import CallError

MAX_WAIT_SECONDS = 20.0
"""Longest expected wait, however late the deadline."""
MAX_WAIT_FRACTION = 0.5
"""Share of the time left that may be spent waiting; the rest is for the run."""
RATE_TIME_CONSTANT_SECONDS = 5.0
"""Time constant of the average of calls started each second."""
MIN_STARTS = 5.0
"""Calls started below which the average says nothing."""
MAX_QUEUE_UNKNOWN_RATE = 100
"""Longest queue while the rate is not known."""
SHED_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the count of calls refused lately."""
MIN_SPREAD_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
HASH_RANGE = 2**64
IDLE_SECONDS = 60.0


class _DecayingCount:
    """Events counted with a weight that falls off exponentially."""

    def __init__(self, seconds, now):
        self._seconds = seconds
        self._updated_at = now
        self.count = 0.0

    def decay(self, now):
        """Let the weight of past events fall."""
        elapsed = max(0.0, now - self._updated_at)
        self.count /= 1.0 + elapsed / self._seconds
        self._updated_at = max(self._updated_at, now)

    def add(self, now):
        """Count one event."""
        self.decay(now)
        self.count += 1.0


@dataclass
class _Queue:
    """The calls of one pool that wait for a slot."""

    starts: _DecayingCount
    shed: _DecayingCount
    waiting: int = 0
    used_at: float = 0.0

    def rate(self, now):
        """Return calls started each second, or None when it is not known."""
        self.starts.decay(now)
        if self.starts.count < MIN_STARTS:
            return None
        return self.starts.count / RATE_TIME_CONSTANT_SECONDS


class LoadShedder:
    """Bounds the queue of each pool by the wait that is expected in it.

    A call that would spend too much of its time waiting is refused at once
    with the time until the queue has room. Repeats of refused calls are spread
    by a hash of their program over the time that the refused ones need, so
    that they do not come back together.

    Parameters
    ----------
    max_wait_seconds : float, optional
        Longest expected wait in seconds.
    """

    def __init__(self, *, max_wait_seconds=MAX_WAIT_SECONDS):
        self._max_wait_seconds = max_wait_seconds
        self._queues = {}

    def waiting(self, pool):
        """Return the number of calls that wait for a pool."""
        queue = self._queues.get(pool)
        return queue.waiting if queue else 0

    def enter(self, pool, program, now, *, deadline):
        """Let a call into the queue of a pool.

        Parameters
        ----------
        pool, program : str
            What it waits for and whose call it is.
        now, deadline : float
            Monotonic seconds.

        Raises
        ------
        CallError
            ``overloaded``, with the time after which a repeat may succeed.
        """
        queue = self._get_or_create(pool, now)
        allowed = min(self._max_wait_seconds, (deadline - now) * MAX_WAIT_FRACTION)
        rate = queue.rate(now)
        if not self._has_room(queue, rate, allowed):
            queue.shed.add(now)
            raise CallError(
                "overloaded",
                f"the queue of pool {pool!r} is full",
                retry_after=self._compute_retry_after(queue, rate, allowed, program),
            )
        queue.waiting += 1

    def start(self, pool, now):
        """Note that a waiting call got its slot."""
        queue = self._get_or_create(pool, now)
        queue.waiting -= 1
        assert queue.waiting >= 0, "more calls started than entered"
        queue.starts.add(now)

    def leave(self, pool, now):
        """Note that a waiting call gave up."""
        queue = self._get_or_create(pool, now)
        queue.waiting -= 1
        assert queue.waiting >= 0, "more calls left than entered"

    def forget_idle(self, now):
        """Drop queues that have not been used lately."""
        for pool, queue in list(self._queues.items()):
            if not queue.waiting and now - queue.used_at > IDLE_SECONDS:
                del self._queues[pool]

    def _get_or_create(self, pool, now):
        queue = self._queues.get(pool)
        if queue is None:
            queue = _Queue(
                _DecayingCount(RATE_TIME_CONSTANT_SECONDS, now),
                _DecayingCount(SHED_TIME_CONSTANT_SECONDS, now),
            )
            self._queues[pool] = queue
        queue.used_at = now
        queue.shed.decay(now)
        return queue

    @staticmethod
    def _has_room(queue, rate, allowed):
        if allowed <= 0:
            return False
        if rate is None:
            return queue.waiting < MAX_QUEUE_UNKNOWN_RATE
        return queue.waiting <= rate * allowed

    def _compute_retry_after(self, queue, rate, allowed, program):
        """Return the time until there is room, and a place among the refused."""
        if rate is None:
            return MIN_SPREAD_SECONDS * (1.0 + _hash_fraction(program))
        excess = max(0.0, queue.waiting - rate * max(allowed, 0.0))
        spread = max(MIN_SPREAD_SECONDS, queue.shed.count / rate)
        wait = (excess + 1.0) / rate + spread * _hash_fraction(program)
        return min(wait, MAX_RETRY_SECONDS)


def _hash_fraction(program):
    """Return a number in [0, 1) that is the same for each call of a program."""
    return xxhash.xxh3_64_intdigest(program.encode()) / HASH_RANGE
