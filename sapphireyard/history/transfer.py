"""Transfer of all records of a host to others, before it leaves the set of copies."""

import asyncio
import logging

from sapphireyard.exceptions import CallError, PeerError
from sapphireyard.history.generated_history import RecordsQuery
from sapphireyard.history.survey import END_POSITION

logger = logging.getLogger(__name__)

BATCH_TIMEOUT_SECONDS = 5.0
"""Longest wait for a batch of records."""


class RecordTransfer:
    """Sends the records of a log to members; each is sent only what it lacks.

    Parameters
    ----------
    peers : Peers
        Connections to the members.
    log : RecordLog
        The records of this host.
    read_batch : callable
        Returns the `RecordBatch` from a position on.
    """

    def __init__(self, peers, log, read_batch):
        self._peers = peers
        self._log = log
        self._read_batch = read_batch
        self._positions = {}  # by host and disk: after the records that it has

    async def send_all(self, copies, hosts, announced):
        """Send all records to some members and announce a set to them.

        Returns those that serve and have all records on their disks.
        """
        stored = await asyncio.gather(
            *(self._send(each, copies.members[each], announced) for each in hosts)
        )
        return [host for host, has_all in zip(hosts, stored) if has_all]

    async def _send(self, host, disk, announced):
        position = self._positions.get((host, disk), 0)
        query = build_query(END_POSITION, announced)
        try:
            await self._peers.ask(host, query, timeout=BATCH_TIMEOUT_SECONDS)
            while position < self._log.end:
                batch = self._read_batch(position)
                await self._peers.ask(host, batch, timeout=BATCH_TIMEOUT_SECONDS)
                position = self._positions[host, disk] = batch.position
        except (PeerError, CallError) as error:
            logger.info("records not transferred to %s: %s", host, error)
            return False
        return True


def build_query(position, copies, *, resuming=False):
    """Return a query that announces a set; an empty one changes nothing."""
    return RecordsQuery(
        position,
        set_version=copies.version,
        members=copies.members,
        lost_before=copies.lost_before,
        resuming=resuming,
    )
