"""Files of an archive, a disk cache of immutable objects of the store.

Their total size is bounded, and checksums are verified on each read.
"""

import hashlib
import logging
from collections import OrderedDict
from pathlib import Path

logger = logging.getLogger(__name__)

CHECKSUM_BYTES = 32
SUFFIX = ".object"
PARTIAL_SUFFIX = ".partial"


def compute_checksum(name, value):
    """Return the checksum over an object's name and value."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
    digest.update(name.encode() + b"\0" + value)
    return digest.digest()


class ArchiveIndex:
    """Index of the files with least-recently-used eviction.

    Parameters
    ----------
    capacity : int
        Limit on the total size of all files in bytes.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._sizes = OrderedDict()
        self._total = 0

    @property
    def total_bytes(self):
        """int: Total size of all files in bytes."""
        return self._total

    def __contains__(self, key):
        return key in self._sizes

    def fits(self, size):
        """Return whether a file of `size` bytes fits into the capacity."""
        return size <= self._capacity

    def touch(self, key):
        """Mark a file as most recently used."""
        self._sizes.move_to_end(key)

    def add(self, key, size):
        """Add a file; return the keys of evicted files, to be deleted."""
        assert self.fits(size), "the file is larger than the archive"
        self.remove(key)
        self._sizes[key] = size
        self._total += size
        evicted = []
        while self._total > self._capacity:
            oldest = next(iter(self._sizes))
            self.remove(oldest)
            evicted.append(oldest)
        return evicted

    def remove(self, key):
        """Remove a file from the index."""
        self._total -= self._sizes.pop(key, 0)


class ArchiveFiles:
    """Objects in one folder; tolerates missing and damaged files.

    Parameters
    ----------
    folder : str or Path
        Folder of all files; created if missing.
    capacity : int
        Limit on the total size of all files in bytes.
    """

    def __init__(self, folder, *, capacity):
        self._folder = Path(folder)
        self._index = ArchiveIndex(capacity)

    @property
    def total_bytes(self):
        """int: Total size of all files in bytes."""
        return self._index.total_bytes

    def open(self):
        """Index the files of an earlier run; delete partial and oversized ones."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for path in self._folder.glob(f"*{PARTIAL_SUFFIX}"):
            path.unlink(missing_ok=True)
        existing = [(path, path.stat()) for path in self._folder.glob(f"*{SUFFIX}")]
        existing.sort(key=lambda pair: pair[1].st_mtime)
        for path, status in existing:
            if self._index.fits(status.st_size):
                self._remove_all(self._index.add(path.stem, status.st_size))
            else:
                path.unlink(missing_ok=True)

    def read(self, name):
        """Return an object's value, or None; a damaged file is deleted."""
        key = _hash_name(name)
        if key not in self._index:
            return None
        try:
            content = self._path(key).read_bytes()
        except OSError as error:
            logger.warning("archive file not read: %s", error)
            content = b""
        checksum, value = content[:CHECKSUM_BYTES], content[CHECKSUM_BYTES:]
        if checksum != compute_checksum(name, value):
            logger.warning("archive file %s is damaged", key)
            self._remove(key)
            return None
        self._index.touch(key)
        return value

    def write(self, name, value):
        """Store an object, unless it is larger than the capacity."""
        key = _hash_name(name)
        content = compute_checksum(name, value) + value
        if not self._index.fits(len(content)):
            return
        partial = self._folder / f"{key}{PARTIAL_SUFFIX}"
        self._remove_all(self._index.add(key, len(content)))
        try:
            partial.write_bytes(content)
            partial.replace(self._path(key))
        except OSError as error:
            logger.warning("archive file not written: %s", error)
            partial.unlink(missing_ok=True)
            self._remove(key)

    def _path(self, key):
        return self._folder / f"{key}{SUFFIX}"

    def _remove(self, key):
        self._index.remove(key)
        self._remove_all([key])

    def _remove_all(self, keys):
        for key in keys:
            try:
                self._path(key).unlink(missing_ok=True)
            except OSError as error:
                logger.warning("archive file not removed: %s", error)


def _hash_name(name):
    return hashlib.blake2b(name.encode(), digest_size=CHECKSUM_BYTES).hexdigest()
