"""Fetches from other copies the records that this copy lacks.

A copy misses records while it is frozen, cut off, restarted or slow, and nobody keeps
account of that. So each copy follows the logs of all others, by the keys of their
records and a cursor in each log, and fetches what it does not have.
"""

import asyncio
import logging
from dataclasses import dataclass, field

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.history.generated_history import (
    KeysQuery,
    RecordKeys,
    RecordsAt,
    RecordsFound,
)
from sapphireyard.history.keys import KeyIndex, build_key, unpack_keys

logger = logging.getLogger(__name__)

REPAIR_SECONDS = 0.5
"""Interval between two looks at the logs of the other copies."""
ANSWER_TIMEOUT_SECONDS = 1.0
"""Longest wait for another copy."""
PAGE_KEYS = 2000
"""Keys in one message: 16 kB."""
FETCH_RECORDS = 64
"""Records asked for in one message."""
FETCH_BYTES = 128 * 1024
"""Size of an answer with several records; other requests come in between."""
UNKNOWN_MESSAGE = "internal_error"
"""Code with which builds that know no keys answer a question for them."""
WANTED_SECONDS = 2.0
"""Time after which a turn that is missing in a chain is searched in all logs, also in
what was examined before: this copy had it once and dropped it too early."""
MAX_WANTED_SECONDS = 64.0
"""Longest interval of such searches, which is doubled with each of them."""
MAX_LOGGED_TURNS = 10
FETCH_PAUSE_SECONDS = 0.01
"""Pause between two such messages: at most some 13 MB a second of short records."""


@dataclass
class FollowedLog:
    """How far the log of another copy has been examined.

    Parameters
    ----------
    disk : str
        Identity of its disk, as the set names it.
    cursor : int
        Cursor up to which all records are here, or among the awaited.
    awaited : list of tuple of int and int
        Cursor and key of its newest records that are not here: they may be on the way.
    away : bool
        Whether it did not answer last time.
    copied : bool
        Whether all its records were copied, as its build knows no keys.
    """

    disk: str
    cursor: int = 0
    awaited: list = field(default_factory=list)
    away: bool = False
    copied: bool = False


class RecordRepair:
    """Follows the logs of the other copies.

    Parameters
    ----------
    peers : Peers
        Connections to the other copies.
    state : HistoryState
        What the records here amount to.
    store : callable
        ``await store(records)`` applies and syncs packed records; returns how many of
        them were new.
    copy_all : callable
        ``await copy_all(host)`` copies all records of a host; returns whether it did.
    """

    def __init__(self, peers, state, store, copy_all):
        self._peers = peers
        self._state = state
        self._lacks = state.lacks
        self._store = store
        self._copy_all = copy_all
        self._followed = {}
        self._fetching = asyncio.Lock()
        self._wanted_since = None
        self._search_after = WANTED_SECONDS
        self.fetched = 0

    async def run(self, members, reachable):
        """Examine the logs of other copies once, and fetch what is lacking.

        Parameters
        ----------
        members : dict of str to str
            The other copies and their disks; how far their logs have been examined is
            remembered.
        reachable : collection of str
            Those of them that are asked.
        """
        self._followed = {
            host: self._continue(host, disk) for host, disk in members.items()
        }
        self._search_wanted()
        await asyncio.gather(*(self._follow(host) for host in reachable))

    def _continue(self, host, disk):
        followed = self._followed.get(host)
        if followed is not None and followed.disk == disk:
            return followed
        return FollowedLog(disk)

    def _search_wanted(self):
        """Examine all logs from their beginnings if a turn is missing for long."""
        now = asyncio.get_running_loop().time()
        if not self._state.wanted:
            self._wanted_since, self._search_after = None, WANTED_SECONDS
            return
        if self._wanted_since is None:
            self._wanted_since = now
        if now - self._wanted_since < self._search_after:
            return
        self._search_after = min(MAX_WANTED_SECONDS, 2 * self._search_after)
        self._wanted_since = now
        for followed in self._followed.values():
            followed.cursor = 0
        logger.info(
            "missing turns are searched",
            extra={
                "decision": "repair",
                "turns": sorted(self._state.wanted)[:MAX_LOGGED_TURNS],
                "again_after": self._search_after,
            },
        )

    async def _follow(self, host):
        followed = self._followed[host]
        fetched = self.fetched
        try:
            await self._fetch(host, followed, followed.awaited)
            followed.awaited = []
            while await self._examine_page(host, followed):
                pass
        except (PeerError, CallError, ValueError) as error:
            self._record_contact(host, followed, error)
            if getattr(error, "code", "") == UNKNOWN_MESSAGE and not followed.copied:
                followed.copied = await self._copy_all(host)
            return
        self._record_contact(host, followed, None)
        if self.fetched > fetched:
            logger.info(
                "missed records fetched",
                extra={
                    "decision": "repair",
                    "member": host,
                    "records": self.fetched - fetched,
                    "cursor": followed.cursor,
                },
            )

    async def _examine_page(self, host, followed):
        """Examine the next keys of a log; return whether there are more."""
        page = await self._peers.ask(
            host, KeysQuery(followed.cursor), timeout=ANSWER_TIMEOUT_SECONDS
        )
        if page.disk != followed.disk:
            raise PeerError(f"{host} has another disk than the set names")
        lacking = [
            (page.first + number, key)
            for number, key in enumerate(unpack_keys(page.keys))
            if self._lacks(key)
        ]
        if page.more:
            await self._fetch(host, followed, lacking)
        else:
            followed.awaited = lacking
        followed.cursor = page.next
        return page.more

    async def _fetch(self, host, followed, wanted):
        """Fetch the records that are still lacking, from one host at a time."""
        if not wanted:
            return
        async with self._fetching:
            cursors = [cursor for cursor, key in wanted if self._lacks(key)]
            while cursors:
                found = await self._peers.ask(
                    host,
                    RecordsAt(followed.disk, cursors[:FETCH_RECORDS]),
                    timeout=ANSWER_TIMEOUT_SECONDS,
                )
                self.fetched += await self._store(found.records)
                cursors = cursors[max(1, found.examined) :]
                if cursors:
                    await asyncio.sleep(FETCH_PAUSE_SECONDS)

    @staticmethod
    def _record_contact(host, followed, error):
        """Log that a copy cannot be followed any more, or that it can again."""
        if bool(error) == followed.away:
            return
        followed.away = bool(error)
        logger.info(
            "log of another copy",
            extra={
                "decision": "repair",
                "member": host,
                "followed": not followed.away,
                "error": str(error or ""),
            },
        )


class RecordSource:
    """Serves the keys and the records of this copy's log to the others.

    Parameters
    ----------
    log : RecordLog
        The records of this copy.
    export : callable
        Returns the packed record at a position as another copy keeps it, or None.
    """

    def __init__(self, log, export):
        self._log = log
        self._export = export
        self._keys = KeyIndex()

    def add(self, record):
        """Note the record that the log got last."""
        self._keys.add(build_key(record))

    def drop_before(self, position):
        """Forget the records that the log has dropped."""
        self._keys.drop_before(position)

    def list_keys(self, disk, cursor):
        """Return the `RecordKeys` from a cursor on."""
        begin, end = self._log.find_range(cursor)
        end = min(end, begin + PAGE_KEYS)
        return RecordKeys(
            disk,
            self._log.find_cursor(begin),
            self._keys.pack(begin, end),
            self._log.find_cursor(end),
            end < self._log.synced_end,
        )

    def find(self, cursors):
        """Return the `RecordsFound` for the first of some cursors."""
        payloads = (
            self._export(self._log.find_position(cursor))
            for cursor in cursors[:FETCH_RECORDS]
        )
        return RecordsFound(*fill_batch(payloads, FETCH_BYTES))


def fill_batch(payloads, limit):
    """Take records for one message, which exceeds `limit` bytes only for a single one.

    Parameters
    ----------
    payloads : iterable of bytes or None
        Packed records; None for one that is left out.
    limit : int
        Size of the message in bytes, well below that of the largest frame.

    Returns
    -------
    int
        How many were examined.
    list of bytes
        Those that were taken.
    """
    taken = []
    size = examined = 0
    for payload in payloads:
        size += len(payload or b"")
        if taken and size > limit:
            break
        examined += 1
        if payload is not None:
            taken.append(payload)
    return examined, taken
