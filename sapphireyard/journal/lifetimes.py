"""Ends programs that are idle or too old, and removes those that ended.

A program in an endless loop is stopped by its budget or by its customer's
limit on total time; a program whose caller has gone, by the limit on idle
time.
"""

import heapq
import itertools
import logging

import mode

from sapphireyard.exceptions import SapphireyardError

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.5
IDLE_SECONDS = 3600.0
"""Limit on idle time of programs of customers that are not configured."""

TOTAL_SECONDS = 86400.0
"""Limit on total time of programs of customers that are not configured."""

REASON_IDLE = "idle too long"
REASON_TOTAL = "reached its longest life"
RETRY_SECONDS = 5.0


class Lifetimes:
    """Decides when a program has reached its limit on idle or total time.

    Programs are kept in a heap, ordered by the time of their next check, so
    that a check never scans all programs.

    Parameters
    ----------
    find_limits : callable
        Returns the idle and total limits in seconds for a customer's name.
    """

    def __init__(self, find_limits):
        self._find_limits = find_limits
        self._heap = []
        self._tie_breaker = itertools.count()
        self._watched = set()

    def __len__(self):
        return len(self._heap)

    def watch(self, partition, program, now):
        """Record a use of a program at wall-clock time `now`, and watch it."""
        program.last_used_at = max(program.last_used_at, now)
        if (partition, program.key) in self._watched:
            return
        self._watched.add((partition, program.key))
        self._push(partition, program)

    def check(self, programs, now):
        """Return the triples (partition, program, reason) that are due.

        An empty reason means that the program ended long ago, or is a link
        that is no longer used, and can be removed. Programs of partitions that
        moved away are no longer watched.
        """
        due = []
        while self._heap and self._heap[0][0] <= now:
            _, _, partition, key = heapq.heappop(self._heap)
            self._watched.discard((partition, key))
            program = programs.get(partition, key)
            if program is None:
                continue
            if self._find_due(program) > now:
                self._watched.add((partition, key))
                self._push(partition, program)
                continue
            due.append((partition, program, self._find_reason(program, now)))
        return due

    def _push(self, partition, program):
        entry = (
            self._find_due(program),
            next(self._tie_breaker),
            partition,
            program.key,
        )
        heapq.heappush(self._heap, entry)

    def _limits_of(self, program):
        return self._find_limits(program.key.split("/", 1)[0])

    def _find_due(self, program):
        idle, total = self._limits_of(program)
        deadline = program.opened_at + total
        if program.ended or program.link:
            return program.last_used_at + idle
        if program.running is not None:
            return deadline
        return min(program.last_used_at + idle, deadline)

    def _find_reason(self, program, now):
        if program.ended or program.link:
            return ""
        _, total = self._limits_of(program)
        return REASON_TOTAL if now >= program.opened_at + total else REASON_IDLE


class LifetimeService(mode.Service):
    """Ends and removes the programs that `Lifetimes` reports as due.

    Parameters
    ----------
    runtime : Runtime
        Provides programs, ownership, dispatcher, configuration and clock.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self.lifetimes = Lifetimes(self._find_limits)
        runtime.programs.on_change(self._watch)

    def _watch(self, partition, program):
        self.lifetimes.watch(partition, program, self._runtime.clock.wall())

    def _find_limits(self, name):
        configuration = self._runtime.configuration.current
        customer = configuration.customers.get(name) if configuration else None
        if customer is None:
            return IDLE_SECONDS, TOTAL_SECONDS
        return customer.idle_seconds, customer.total_seconds

    @mode.Service.task
    async def _check_periodically(self):
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            now = self._runtime.clock.wall()
            for due in self.lifetimes.check(self._runtime.programs, now):
                await self._end_or_remove(*due)

    async def _end_or_remove(self, partition, program, reason):
        if not reason:
            self._runtime.programs.remove(partition, program.key)
            return
        logger.info("program ended", extra={"program": program.key, "reason": reason})
        try:
            self._runtime.ownership.check_owned(partition)
            await self._runtime.dispatcher.end_program(partition, program, reason)
        except SapphireyardError as error:
            logger.warning("program %s not ended: %s", program.key, error.code)
        self._watch(partition, program)
