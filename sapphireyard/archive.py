"""Binary of an archive: a disk cache of immutable objects of the store.

An archive never has the only copy: missing and damaged objects are read from
the store. Journal segments and parts of the configuration never change under
their name, so a cached copy is always valid.
"""

import asyncio
import json
import logging

import mode

from sapphireyard._binaries import run_binary, run_service
from sapphireyard.exceptions import CallError, StoreConflict, StoreError
from sapphireyard.generated_archive_settings import ArchiveSettings
from sapphireyard.journal.archive_files import ArchiveFiles, compute_checksum
from sapphireyard.journal.archive_reader import ARCHIVE_PREFIX, IMMUTABLE_PREFIXES
from sapphireyard.runtime import Runtime
from sapphireyard.storage import generated_control
from sapphireyard.storage.generated_control import SegmentAnswer, SegmentQuery
from sapphireyard.storage.objects import ObjectStore
from sapphireyard.streams.peers import Peers
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

PROGRAM = "sapphireyard-archive"
ANNOUNCE_SECONDS = 30.0
"""Interval between checks of the object that announces this archive."""

RETRY_AFTER_SECONDS = 1.0


class ArchiveService(mode.Service):
    """Serves immutable objects from a folder on disk.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the archive process, with peers set.
    """

    def __init__(self, runtime):
        super().__init__()
        self._runtime = runtime
        self._fetches = {}
        self.files = ArchiveFiles(
            runtime.settings.data_folder, capacity=runtime.settings.size_bytes
        )
        runtime.peers.codec.register_module(generated_control)
        runtime.peers.register(SegmentQuery, self.answer)

    async def on_start(self):
        self.files.open()
        await self.add_runtime_dependency(self._runtime.peers)

    async def answer(self, query, context):
        """Serve a `SegmentQuery`.

        Raises
        ------
        CallError
            The object is not immutable, or the store did not answer.
        """
        name = query.name
        if not name.startswith(IMMUTABLE_PREFIXES):
            raise CallError("invalid_request", f"{name} is not immutable")
        value = self.files.read(name)
        if value is None:
            value = await self._fetch_once(name)
        if value is None:
            return SegmentAnswer(found=False)
        checksum = compute_checksum(name, value).hex()
        return SegmentAnswer(found=True, value=value, checksum=checksum)

    async def _fetch_once(self, name):
        """Read an object from the store; concurrent callers share one read."""
        task = self._fetches.get(name)
        if task is None:
            task = start_task(self._fetch(name), name="fetch")
            self._fetches[name] = task
            task.add_done_callback(lambda _: self._fetches.pop(name, None))
        return await asyncio.shield(task)

    async def _fetch(self, name):
        try:
            stored = await self._runtime.store.get(name)
        except StoreError as error:
            raise CallError(
                "store_unavailable", str(error), retry_after=RETRY_AFTER_SECONDS
            ) from error
        if stored is None:
            return None
        self.files.write(name, stored.value)
        return stored.value

    @mode.Service.task
    async def _announce_periodically(self):
        while not self.should_stop:
            try:
                await self._announce()
            except StoreError as error:
                logger.info("archive not announced: %s", error)
            await self.sleep(ANNOUNCE_SECONDS)

    async def _announce(self):
        settings = self._runtime.settings
        name = ARCHIVE_PREFIX + settings.host
        value = json.dumps(
            {
                "peer_address": self._runtime.peers.address,
                "failure_domain": settings.failure_domain,
            }
        ).encode()
        stored = await self._runtime.store.get(name)
        if stored is None:
            await self._runtime.store.create(name, value)
        elif stored.value != value:
            try:
                await self._runtime.store.update(
                    name, value, expected_version=stored.version
                )
            except StoreConflict:
                logger.warning("another archive uses the name %s", settings.host)


async def run(settings, signals):
    """Run an archive until it is asked to stop; return the exit status."""
    runtime = Runtime(settings, ObjectStore(settings.store))
    runtime.peers = Peers(runtime)
    service = ArchiveService(runtime)
    await runtime.peers.listen()
    return await run_service(
        service, runtime, signals, find_address=lambda: runtime.peers.address
    )


def main():
    """Run the binary."""
    run_binary(run, ArchiveSettings, name=PROGRAM)


if __name__ == "__main__":
    main()
