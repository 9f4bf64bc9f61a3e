"""Deletes journal segments that are no longer needed.

A segment is needed while the assignment lists it as a source, while it may
contain records of its writer's partitions, and while a program may be alive
whose texts (bodies of requests and answers) it contains. The newest segment of
each journal is never deleted: it may be the seal that prevents a paused writer
from committing.
"""

import logging
from dataclasses import dataclass

import mode

from sapphireyard.exceptions import RecordError, StoreConflict, StoreUnavailable
from sapphireyard.journal.lifetimes import IDLE_SECONDS, TOTAL_SECONDS
from sapphireyard.journal.records import unpack_segment

logger = logging.getLogger(__name__)

JOURNAL_PREFIX = "journal/"
TICK_SECONDS = 5.0
PAGE_SEGMENTS = 200
"""Number of segments listed in one tick."""

GRACE_SECONDS = 3600.0
"""Time for which texts are kept beyond the maximum lifetime of a program."""


@dataclass(frozen=True)
class SegmentName:
    """The parts of a segment's name."""

    host: str
    incarnation: int
    number: int

    @property
    def journal(self):
        """tuple: Host and incarnation."""
        return self.host, self.incarnation


def parse_segment(name):
    """Return the `SegmentName` of an object's name, or None."""
    parts = name.removeprefix(JOURNAL_PREFIX).split("/")
    if len(parts) != 3 or not parts[1].isdigit() or not parts[2].isdigit():
        return None
    return SegmentName(parts[0], int(parts[1]), int(parts[2]))


def find_needed(assignment):
    """Return the lowest needed segment number by journal (host, incarnation).

    No partition needs a journal that is absent from the result.
    """
    needed = {}

    def include(journal, number):
        needed[journal] = min(number, needed.get(journal, number))

    for entry in assignment.entries:
        include((entry.host, entry.incarnation), entry.since)
        for source in entry.sources:
            include((source.host, source.incarnation), source.first)
    return needed


def choose_candidates(names, needed):
    """Return the names that no partition needs, except each journal's newest.

    Parameters
    ----------
    names : sequence of str
        Names of objects in order. The last name of each journal is never a
        candidate, so a page has to start with the last name of the previous
        page.
    needed : dict
        Result of `find_needed`.
    """
    candidates = []
    for name, next_name in zip(names, names[1:]):
        segment, next_segment = parse_segment(name), parse_segment(next_name)
        if (
            segment is None
            or next_segment is None
            or segment.journal != next_segment.journal
        ):
            continue
        if segment.number < needed.get(segment.journal, next_segment.number):
            candidates.append(name)
    return candidates


class CollectorService(mode.Service):
    """Sweeps all journals page by page, on one host of the fleet.

    Parameters
    ----------
    runtime : Runtime
        Provides store, clock, configuration and ownership.
    page : int, optional
        Number of segments listed in one tick.
    """

    def __init__(self, runtime, *, page=PAGE_SEGMENTS):
        super().__init__()
        self._runtime = runtime
        self._page = page
        self._after = ""
        self._recent_journals = set()

    @mode.Service.task
    async def _sweep_periodically(self):
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            if not self._is_collector():
                continue
            try:
                await self.sweep_page()
            except (StoreUnavailable, RecordError) as error:
                logger.info("sweep of journals failed: %s", error)

    async def sweep_page(self):
        """Delete the unneeded segments of the next page; return their names."""
        needed = find_needed(self._runtime.ownership.assignment)
        listed = await self._runtime.store.list(
            JOURNAL_PREFIX, after=self._after, limit=self._page
        )
        names = [name for name, _ in listed]
        versions = dict(listed)
        deleted = []
        for name in choose_candidates(names, needed):
            if await self._delete_old(name, versions[name]):
                deleted.append(name)
        self._advance(names)
        return deleted

    def _advance(self, names):
        """Start the next page with the last name of this one."""
        if len(names) < self._page:
            self._after = ""
            self._recent_journals.clear()
            return
        self._after = names[-2]

    async def _delete_old(self, name, version):
        segment = parse_segment(name)
        if segment.journal in self._recent_journals:
            return False
        stored = await self._runtime.store.get(name)
        if stored is None:
            return False
        written_at = unpack_segment(stored.value).written_at
        if self._runtime.clock.wall() - written_at < self._find_retention():
            # Later segments of the journal are more recent still.
            self._recent_journals.add(segment.journal)
            return False
        try:
            await self._runtime.store.delete(name, expected_version=version)
        except StoreConflict:
            return False
        return True

    def _find_retention(self):
        """Return the time in seconds for which a segment's texts may be needed."""
        configuration = self._runtime.configuration.current
        customers = configuration.customers.values() if configuration else ()
        longest = [each.total_seconds + each.idle_seconds for each in customers]
        return max([TOTAL_SECONDS + IDLE_SECONDS, *longest]) + GRACE_SECONDS

    def _is_collector(self):
        """Return whether this host is the one that sweeps the journals."""
        assignment = self._runtime.ownership.assignment
        if assignment is None or not assignment.active:
            return False
        return assignment.active[0].host == self._runtime.host
