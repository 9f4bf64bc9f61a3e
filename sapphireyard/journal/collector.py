"""Deletes journal segments that nothing needs any more.

A segment is needed while the assignment names it as a source, while its
writer's partitions may have records in it, and as long as a program may live
whose texts stand in it. The newest segment of each journal always stays: it
may be the seal that keeps a paused writer from committing.
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
"""Segments that are listed in one tick."""

GRACE_SECONDS = 3600.0
"""Time for which texts are kept beyond the longest life of a program."""


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
    """Return the least number needed of each journal, by (host, incarnation).

    A journal that is not among them is needed by no partition.
    """
    needed = {}

    def note(journal, number):
        needed[journal] = min(number, needed.get(journal, number))

    for entry in assignment.entries:
        note((entry.host, entry.incarnation), entry.since)
        for source in entry.sources:
            note((source.host, source.incarnation), source.first)
    return needed


def choose_candidates(names, needed):
    """Return the names that no partition needs, without each journal's newest.

    Parameters
    ----------
    names : sequence of str
        Names of objects in order. The last one of each journal among them is
        never a candidate, so a page has to begin with the last of the page
        before.
    needed : dict
        Result of `find_needed`.
    """
    candidates = []
    for name, following in zip(names, names[1:]):
        segment, after = parse_segment(name), parse_segment(following)
        if segment is None or after is None or segment.journal != after.journal:
            continue
        if segment.number < needed.get(segment.journal, after.number):
            candidates.append(name)
    return candidates


class CollectorService(mode.Service):
    """Sweeps all journals, a page at a time, on one host of the fleet.

    Parameters
    ----------
    yard : Yard
        The process this belongs to.
    page : int, optional
        Segments listed in one tick.
    """

    def __init__(self, yard, *, page=PAGE_SEGMENTS):
        super().__init__()
        self._yard = yard
        self._page = page
        self._after = ""
        self._young = set()

    @mode.Service.task
    async def _sweep_steadily(self):
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            if not self._is_chosen():
                continue
            try:
                await self.sweep_page()
            except (StoreUnavailable, RecordError) as error:
                logger.info("sweep of journals: %s", error)

    async def sweep_page(self):
        """Delete what is not needed among the next page; return the names."""
        needed = find_needed(self._yard.ownership.assignment)
        listed = await self._yard.store.list(
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
        """Begin the next page with the last name of this one."""
        if len(names) < self._page:
            self._after = ""
            self._young.clear()
            return
        self._after = names[-2]

    async def _delete_old(self, name, version):
        segment = parse_segment(name)
        if segment.journal in self._young:
            return False
        stored = await self._yard.store.get(name)
        if stored is None:
            return False
        written_at = unpack_segment(stored.value).written_at
        if self._yard.clock.wall() - written_at < self._find_retention():
            self._young.add(segment.journal)
            return False
        try:
            await self._yard.store.delete(name, expected_version=version)
        except StoreConflict:
            return False
        return True

    def _find_retention(self):
        """Return the seconds for which the texts of a segment may be needed."""
        configuration = self._yard.configuration.current
        customers = configuration.customers.values() if configuration else ()
        longest = [each.total_seconds + each.idle_seconds for each in customers]
        return max([TOTAL_SECONDS + IDLE_SECONDS, *longest]) + GRACE_SECONDS

    def _is_chosen(self):
        """Return whether this host is the one that sweeps."""
        assignment = self._yard.ownership.assignment
        if assignment is None or not assignment.active:
            return False
        return assignment.active[0].host == self._yard.host
