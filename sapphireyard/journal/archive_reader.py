"""Reads immutable objects from archives, falling back to the store."""

import json
import logging

from sapphireyard._hashing import hash_text
from sapphireyard.exceptions import CallError, PeerError, StoreError
from sapphireyard.journal.archive_files import compute_checksum
from sapphireyard.storage import generated_control
from sapphireyard.storage.generated_control import SegmentQuery
from sapphireyard.storage.stores import StoredObject

logger = logging.getLogger(__name__)

ARCHIVE_PREFIX = "archives/"
"""Prefix of the names of objects that contain the addresses of archives."""

IMMUTABLE_PREFIXES = ("journal/", "config/part/")
"""Prefixes of the names of objects that never change."""

ASK_SECONDS = 0.5
"""Timeout of a request to an archive."""

REFRESH_SECONDS = 30.0
"""Minimum time between two listings of the archives."""

FIRST_VERSION = 1
"""Version of an object that was created and never changed."""


class ArchiveReader:
    """Implements `Store.get`; asks an archive first.

    Parameters
    ----------
    runtime : Runtime
        Provides peers, store and clock.
    """

    def __init__(self, runtime):
        self._runtime = runtime
        self._archives = {}
        self._refreshed_at = None
        runtime.peers.codec.register_module(generated_control)

    async def get(self, name):
        """Return the `StoredObject` called `name`, or None.

        Raises
        ------
        StoreUnavailable
            Neither an archive nor the store answered.
        """
        if name.startswith(IMMUTABLE_PREFIXES):
            value = await self._ask_archive(name)
            if value is not None:
                return StoredObject(name, value, FIRST_VERSION)
        return await self._runtime.store.get(name)

    async def _ask_archive(self, name):
        await self._refresh()
        if not self._archives:
            return None
        host = max(self._archives, key=lambda each: hash_text(f"{each} {name}"))
        self._runtime.peers.static_addresses[host] = self._archives[host]
        try:
            answer = await self._runtime.peers.ask(
                host, SegmentQuery(name=name), timeout=ASK_SECONDS
            )
        except (PeerError, CallError) as error:
            logger.info("archive %s did not serve %s: %s", host, name, error)
            return None
        if not answer.found:
            return None
        if compute_checksum(name, answer.value).hex() != answer.checksum:
            logger.warning("archive %s sent damaged object %s", host, name)
            return None
        return answer.value

    async def _refresh(self):
        """List the archives periodically; keep the known ones in an outage."""
        now = self._runtime.clock.monotonic()
        if self._refreshed_at is not None:
            if now - self._refreshed_at < REFRESH_SECONDS:
                return
        self._refreshed_at = now
        try:
            self._archives = {
                name.removeprefix(ARCHIVE_PREFIX): await self._read_address(name)
                for name, _ in await self._runtime.store.list(ARCHIVE_PREFIX)
            }
        except (StoreError, ValueError, KeyError) as error:
            logger.info("archives not listed: %s", error)

    async def _read_address(self, name):
        stored = await self._runtime.store.get(name)
        return json.loads(stored.value)["peer_address"] if stored else ""
