"""An append-only log of records in files of one folder, with group commit.

A record is a length, a checksum and the payload. Reading a file stops at the
first record that is torn; what stands behind it was never synced.
"""

import asyncio
import logging
import os
import struct
from pathlib import Path

import xxhash

from sapphireyard.exceptions import YardError
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

HEADER = struct.Struct("!IQ")
SEGMENT_BYTES = 4 * 1024 * 1024
"""Size from which a new file is begun; files are deleted whole."""
SEGMENT_SUFFIX = ".records"


class LogFailed(YardError):
    """The disk refused a write; nothing more can be made durable here."""

    code = "log_failed"


class RecordLog:
    """Records on disk, by position.

    Parameters
    ----------
    folder : str or Path
        Where the files lie.
    segment_bytes : int, optional
        Size from which a new file is begun.
    """

    def __init__(self, folder, *, segment_bytes=SEGMENT_BYTES):
        self._folder = Path(folder)
        self._segment_bytes = segment_bytes
        self._places = []
        self._first = 0
        self._pending = []
        self._file = None
        self._size = 0
        self._segment = 0
        self._flushed = 0
        self._flushing = None
        self._failure = None

    @property
    def end(self):
        """int: Position behind the last record."""
        return self._first + len(self._places)

    def open(self):
        """Read the folder and yield (position, payload) of all records."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for path in sorted(self._folder.glob(f"*{SEGMENT_SUFFIX}")):
            self._segment = int(path.stem) + 1
            for offset, payload in _read_segment(path):
                self._places.append((path, offset, len(payload)))
                yield self.end - 1, payload
        self._flushed = self.end
        self._begin_segment()

    def append(self, payload):
        """Add a record; return its position. `sync` makes it durable."""
        if self._failure is not None:
            raise LogFailed(str(self._failure))
        record = HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload
        self._pending.append((record, payload))
        self._places.append(payload)
        return self.end - 1

    def read(self, position):
        """Return the payload at a position, or None when it was dropped."""
        index = position - self._first
        if not 0 <= index < len(self._places):
            return None
        place = self._places[index]
        if isinstance(place, bytes):
            return place
        path, offset, size = place
        with open(path, "rb") as file:
            file.seek(offset)
            return file.read(size)

    async def sync(self):
        """Return once all records appended so far are durable.

        Raises
        ------
        LogFailed
            The disk refused the write.
        """
        wanted = self.end
        while self._flushed < wanted:
            if self._failure is not None:
                raise LogFailed(str(self._failure))
            if self._flushing is None:
                self._flushing = start_task(self._flush(), name="flush of the log")
            await asyncio.shield(self._flushing)

    def close(self):
        """Close the file; records not synced may be lost."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    async def _flush(self):
        """Write and sync what is pending, in a thread, as one batch."""
        batch, self._pending = self._pending, []
        begin = self.end - len(batch)
        loop = asyncio.get_running_loop()
        try:
            data = b"".join(record for record, _ in batch)
            await loop.run_in_executor(None, self._write, data)
        except OSError as error:
            self._failure = error
            logger.error("log refused by the disk: %s", error)
            return
        finally:
            self._flushing = None
        self._note_written(batch, begin)
        if self._size >= self._segment_bytes:
            self._begin_segment()

    def _write(self, data):
        view = memoryview(data)
        while view:
            view = view[os.write(self._file, view) :]
        os.fdatasync(self._file)

    def _note_written(self, batch, begin):
        for number, (record, payload) in enumerate(batch):
            offset = self._size + HEADER.size
            place = (self._path, offset, len(payload))
            self._places[begin + number - self._first] = place
            self._size += len(record)
        self._flushed = begin + len(batch)

    def _begin_segment(self):
        self.close()
        self._path = self._folder / f"{self._segment:08d}{SEGMENT_SUFFIX}"
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_TRUNC
        self._file = os.open(self._path, flags, 0o644)
        self._size = 0
        self._segment += 1
        sync_folder(self._folder)

    def drop_before(self, position):
        """Delete the files whose records all stand before a position."""
        keep = set()
        for place in self._places[max(0, position - self._first) :]:
            if not isinstance(place, bytes):
                keep.add(place[0])
        dropped = 0
        while dropped < len(self._places):
            place = self._places[dropped]
            if isinstance(place, bytes) or place[0] in keep or place[0] == self._path:
                break
            dropped += 1
        for path in {place[0] for place in self._places[:dropped]}:
            path.unlink(missing_ok=True)
        del self._places[:dropped]
        self._first += dropped


def sync_folder(folder):
    """Make names created or removed in a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _read_segment(path):
    """Yield (offset, payload) of the records of a file up to a torn one."""
    data = path.read_bytes()
    start = 0
    while start + HEADER.size <= len(data):
        size, checksum = HEADER.unpack_from(data, start)
        offset = start + HEADER.size
        payload = data[offset : offset + size]
        if len(payload) < size or xxhash.xxh3_64_intdigest(payload) != checksum:
            logger.warning("%s is torn at byte %d of %d", path, start, len(data))
            return
        yield offset, payload
        start = offset + size
