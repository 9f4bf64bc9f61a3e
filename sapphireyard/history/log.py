"""An append-only log of records in segment files, with group commit.

A record consists of a length, a checksum and the payload. Reading a file stops at
the first torn record; what follows it was never synced.

Positions count from the first record that was there when the log was opened. A cursor
names a record by its file and its place there, which a restart does not change.
"""

import asyncio
import bisect
import logging
import os
import secrets
import struct
from pathlib import Path

import xxhash

from sapphireyard.exceptions import CallError
from sapphireyard.tasks import start_task

logger = logging.getLogger(__name__)

HEADER = struct.Struct("!IQ")
SEGMENT_BYTES = 4 * 1024 * 1024
"""Size from which a new file is started; files are only deleted as a whole."""
WRITE_BYTES = 64 * 1024
"""Size from which a record, or several, are passed to the disk."""
SEGMENT_SUFFIX = ".records"
IDENTITY_FILE = "identity"
CURSOR_BITS = 32
"""Bits of a cursor for the place of a record in its file."""
PROBE_FILE = "probe"
PROBE_BYTES = 4096
RETRY_SECONDS = 1.0
"""Interval between attempts to write after a failure, for example of a full disk."""


class LogFailed(CallError):
    """A write to the disk failed; nothing can be made durable here for now."""

    def __init__(self, detail):
        super().__init__(
            "history_unavailable", f"the disk of a copy: {detail}", retry_after=None
        )


class RecordLog:
    """Records on disk, addressed by position.

    Parameters
    ----------
    folder : str or Path
        Folder of the files.
    segment_bytes : int, optional
        Size from which a new file is started.
    """

    def __init__(self, folder, *, segment_bytes=SEGMENT_BYTES):
        self._folder = Path(folder)
        self._segment_bytes = segment_bytes
        self._locations = []
        self._first_position = 0
        self._starts = []  # number of each file, and position of its first record
        self._pending = []
        self._file = None
        self._segment_path = None
        self._segment_size = 0
        self._closed = False
        self._next_segment = 0
        self._synced_end = 0
        self._flush_task = None
        self._failure = None

    @property
    def files(self):
        """int: Files that hold records."""
        paths = (each[0] for each in self._locations if not isinstance(each, bytes))
        return len(set(paths))

    @property
    def first(self):
        """int: Position of the oldest record that was not dropped."""
        return self._first_position

    @property
    def end(self):
        """int: Position after the last record."""
        return self._first_position + len(self._locations)

    @property
    def synced_end(self):
        """int: Position after the last durable record."""
        return self._synced_end

    def open(self):
        """Read all files and yield (position, payload) of their records."""
        self._folder.mkdir(parents=True, exist_ok=True)
        sync_folder(self._folder.parent)
        for path in _list_segments(self._folder):
            self._next_segment = int(path.stem) + 1
            for offset, payload in _read_segment(path):
                self._record_start(path, self.end)
                self._locations.append((path, offset, len(payload)))
                yield self.end - 1, payload
        self._synced_end = self.end
        try:
            self._start_segment()
        except OSError as error:
            logger.error("no file could be started, the first write tries: %s", error)

    def append(self, payload):
        """Add a record; return its position. `sync` makes it durable."""
        self._check()
        header = HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload))
        self._pending.append((header, payload))
        self._locations.append(payload)
        return self.end - 1

    def read(self, position, start=0, size=None):
        """Return a payload, or `size` bytes of it from `start`; None if dropped."""
        index = position - self._first_position
        if not 0 <= index < len(self._locations):
            return None
        location = self._locations[index]
        if isinstance(location, bytes):
            return location[start:] if size is None else location[start : start + size]
        path, offset, length = location
        with open(path, "rb") as file:
            file.seek(offset + start)
            return file.read(length - start if size is None else size)

    def find_cursor(self, position):
        """Return the cursor of a durable record, or of the next one after the last."""
        place = bisect.bisect_right(self._starts, position, key=lambda each: each[1])
        if not place:
            return 0
        number, start = self._starts[place - 1]
        return (number << CURSOR_BITS) + position - start

    def find_position(self, cursor):
        """Return the position of the first durable record from a cursor on."""
        number, index = divmod(cursor, 1 << CURSOR_BITS)
        place = bisect.bisect_left(self._starts, number, key=lambda each: each[0])
        if place == len(self._starts):
            return self._synced_end
        found, start = self._starts[place]
        if found != number:
            return start
        return min(start + index, self._find_file_end(place))

    def find_range(self, cursor):
        """Return the range of durable positions from a cursor on, in one file."""
        begin = self.find_position(cursor)
        place = bisect.bisect_right(self._starts, begin, key=lambda each: each[1])
        return begin, self._find_file_end(place - 1)

    def _find_file_end(self, place):
        if place + 1 < len(self._starts):
            return self._starts[place + 1][1]
        return self._synced_end

    async def sync(self):
        """Return once all records appended so far are durable.

        Raises
        ------
        LogFailed
            The write to the disk failed.
        """
        wanted = self.end
        while self._synced_end < wanted:
            if self._failure is not None:
                raise LogFailed(str(self._failure))
            await asyncio.shield(self._start_flush())

    async def finish(self):
        """Make all records durable and close the log; later ones are refused."""
        self._closed = True
        try:
            await self.sync()
        finally:
            while self._flush_task is not None:
                await asyncio.shield(self._flush_task)
            self.close()

    def close(self):
        """Close the file; unsynced records may be lost."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _check(self):
        if self._closed:
            raise LogFailed("the log is closed")
        if self._failure is not None:
            raise LogFailed(str(self._failure))

    def _start_flush(self):
        if self._flush_task is None:
            self._flush_task = start_task(self._flush(), name="log flush")
        return self._flush_task

    async def _flush(self):
        """Write and sync the pending records as one batch, in a thread.

        What failed is written again, to another file, as the old one may end with a
        torn record. Until then nothing is appended, so that memory is bounded.
        """
        batch, self._pending = self._pending, []
        begin = self.end - len(batch)
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self._write, batch)
        except Exception as error:  # none may make a lost batch look written
            self._pending = batch + self._pending
            self._failure = error
            logger.error("log could not be written to the disk: %r", error)
            loop.call_later(RETRY_SECONDS, self._retry)
            return
        finally:
            self._flush_task = None
        if self._failure is not None:
            logger.info("log is written again")
            self._failure = None
        self._record_written(batch, begin)
        if self._segment_size >= self._segment_bytes:
            self.close()

    def _retry(self):
        if not self._closed:
            self._start_flush()

    def _write(self, batch):
        """Write and sync; runs in a thread, as each call waits for the disk."""
        if self._file is None:
            self._start_segment()
        try:
            for data in _join_records(batch):
                view = memoryview(data)
                while view:
                    view = view[os.write(self._file, view) :]
            os.fdatasync(self._file)
        except OSError:
            self.close()
            raise

    def _record_start(self, path, position):
        """Record at which position a file begins."""
        number = int(path.stem)
        if not self._starts or self._starts[-1][0] != number:
            self._starts.append((number, position))

    def _record_written(self, batch, begin):
        if batch:
            self._record_start(self._segment_path, begin)
        for number, (header, payload) in enumerate(batch):
            offset = self._segment_size + HEADER.size
            location = (self._segment_path, offset, len(payload))
            self._locations[begin + number - self._first_position] = location
            self._segment_size += len(header) + len(payload)
        self._synced_end = begin + len(batch)

    def _start_segment(self):
        path = self._folder / f"{self._next_segment:08d}{SEGMENT_SUFFIX}"
        self._next_segment += 1
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND | os.O_TRUNC
        file = os.open(path, flags, 0o644)
        try:
            sync_folder(self._folder)
        except OSError:
            os.close(file)
            raise
        self._file, self._segment_path, self._segment_size = file, path, 0

    def find_kept(self, position):
        """Return the first position that `drop_before` would keep.

        Files are deleted as a whole, and not the one that is written.
        """
        keep = {self._segment_path}
        for location in self._locations[max(0, position - self._first_position) :]:
            if not isinstance(location, bytes):
                keep.add(location[0])
        for number, location in enumerate(self._locations):
            if isinstance(location, bytes) or location[0] in keep:
                return self._first_position + number
        return self.end

    def drop_before(self, position):
        """Delete the files whose records all precede a position."""
        dropped = self.find_kept(position) - self._first_position
        if not dropped:
            return
        paths = {location[0] for location in self._locations[:dropped]}
        for path in paths:
            path.unlink(missing_ok=True)
        del self._locations[:dropped]
        self._first_position += dropped
        self._starts = [each for each in self._starts if each[1] >= self.first]
        logger.info(
            "files deleted",
            extra={
                "decision": "purge",
                "files": len(paths),
                "records": dropped,
                "first": self._first_position,
                "end": self.end,
            },
        )


def _join_records(batch):
    """Yield the bytes of records: short ones joined, and long ones without a copy."""
    parts, size = [], 0
    for header, payload in batch:
        parts.append(header)
        if len(payload) >= WRITE_BYTES:
            yield b"".join(parts)
            yield payload
            parts, size = [], 0
            continue
        parts.append(payload)
        size += len(payload)
        if size >= WRITE_BYTES:
            yield b"".join(parts)
            parts, size = [], 0
    if parts:
        yield b"".join(parts)


def sync_folder(folder):
    """Make the creation and removal of files in a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read_identity(folder):
    """Return the identity of a disk, which is generated at its first use."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists() and path.read_text():
        return path.read_text()
    identity = secrets.token_hex(8)
    with open(path, "w") as file:
        file.write(identity)
        file.flush()
        os.fsync(file.fileno())
    sync_folder(folder)
    return identity


def check_writable(folder):
    """Write a file to a folder and remove it; raise `OSError` if that fails."""
    path = Path(folder) / PROBE_FILE
    path.write_bytes(bytes(PROBE_BYTES))
    path.unlink()


def _list_segments(folder):
    """Return the files with records in their order."""
    found = sorted(folder.glob(f"*{SEGMENT_SUFFIX}"))
    segments = [path for path in found if path.stem.isdecimal() and path.is_file()]
    for path in set(found) - set(segments):
        logger.warning("%s is no file of this log", path)
    return segments


def _read_segment(path):
    """Yield (offset, payload) of the records of a file up to the first torn one."""
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
