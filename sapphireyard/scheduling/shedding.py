"""Load shedding: refuses calls at once whose expected wait is too long."""

from dataclasses import dataclass

import xxhash

from sapphireyard.exceptions import CallError

MAX_WAIT_SECONDS = 20.0
"""Maximum expected wait, regardless of the deadline."""
MAX_WAIT_FRACTION = 0.5
"""Fraction of the remaining time that may be spent waiting; the run needs the rest."""
RATE_TIME_CONSTANT_SECONDS = 5.0
"""Time constant of the moving average of the rate of started calls."""
MIN_STARTS = 5.0
"""Minimum weighted count of started calls for a known rate."""
MAX_QUEUE_UNKNOWN_RATE = 100
"""Maximum length of the queue while the rate is unknown."""
SHED_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the count of recently refused calls."""
MIN_SPREAD_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
HASH_RANGE = 2**64
IDLE_SECONDS = 60.0


class _DecayingCount:
    """A count of events that decays with time.

    A step of t seconds divides the count by ``1 + t / seconds``.
    """

    def __init__(self, seconds, now):
        self._seconds = seconds
        self._updated_at = now
        self.count = 0.0

    def decay(self, now):
        """Decay the count up to `now`."""
        elapsed = max(0.0, now - self._updated_at)
        self.count /= 1.0 + elapsed / self._seconds
        self._updated_at = max(self._updated_at, now)

    def add(self, now):
        """Count one event."""
        self.decay(now)
        self.count += 1.0


@dataclass
class _Queue:
    """State of the calls that wait for a slot of one pool."""

    starts: _DecayingCount
    shed: _DecayingCount
    waiting: int = 0
    used_at: float = 0.0

    def rate(self, now):
        """Return the calls started per second, or None when unknown."""
        self.starts.decay(now)
        if self.starts.count < MIN_STARTS:
            return None
        return self.starts.count / RATE_TIME_CONSTANT_SECONDS


class LoadShedder:
    """Bounds the queue of each pool by its expected wait.

    A call that would spend too much of its time waiting is refused at once,
    with the time until the queue has room. Retries of refused calls are spread
    by a hash of their program over the time that it takes to serve all of
    them, so that they do not arrive together.

    Parameters
    ----------
    max_wait_seconds : float, optional
        Maximum expected wait.
    """

    def __init__(self, *, max_wait_seconds=MAX_WAIT_SECONDS):
        self._max_wait_seconds = max_wait_seconds
        self._queues = {}

    def waiting(self, pool):
        """Return the number of calls that wait for a pool."""
        queue = self._queues.get(pool)
        return queue.waiting if queue else 0

    def enter(self, pool, program, now, *, deadline):
        """Admit a call to the queue of a pool.

        Parameters
        ----------
        pool, program : str
            Pool and program of the call.
        now, deadline : float
            Monotonic seconds.

        Raises
        ------
        CallError
            ``overloaded``, with the time after which a retry may succeed.
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
        """Record that a waiting call got its slot."""
        queue = self._get_or_create(pool, now)
        queue.waiting -= 1
        assert queue.waiting >= 0, "more calls started than entered"
        queue.starts.add(now)

    def leave(self, pool, now):
        """Record that a waiting call left without a slot."""
        queue = self._get_or_create(pool, now)
        queue.waiting -= 1
        assert queue.waiting >= 0, "more calls left than entered"

    def forget_idle(self, now):
        """Drop empty queues that have been unused for `IDLE_SECONDS`."""
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
        """Return the time until the queue has room, plus the program's offset."""
        if rate is None:
            return MIN_SPREAD_SECONDS * (1.0 + _hash_fraction(program))
        excess = max(0.0, queue.waiting - rate * max(allowed, 0.0))
        spread = max(MIN_SPREAD_SECONDS, queue.shed.count / rate)
        wait = (excess + 1.0) / rate + spread * _hash_fraction(program)
        return min(wait, MAX_RETRY_SECONDS)


def _hash_fraction(program):
    """Return a hash of a program in [0, 1), the same for each of its calls."""
    return xxhash.xxh3_64_intdigest(program.encode()) / HASH_RANGE
