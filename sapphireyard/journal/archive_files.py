"""Files of an archive: bounded in size, checked on each read."""

import hashlib
import logging
from collections import OrderedDict
from pathlib import Path

logger = logging.getLogger(__name__)

CHECKSUM_BYTES = 32
SUFFIX = ".object"
PARTIAL_SUFFIX = ".partial"


def compute_checksum(name, value):
    """Return the checksum of an object, over its name and value."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
    digest.update(name.encode() + b"\0" + value)
    return digest.digest()


class ArchiveIndex:
    """Which files are kept, the least recently used first to go.

    Parameters
    ----------
    capacity : int
        Most bytes of all files together.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._sizes = OrderedDict()
        self._total = 0

    @property
    def total_bytes(self):
        """int: Bytes of all files."""
        return self._total

    def __contains__(self, key):
        return key in self._sizes

    def fits(self, size):
        """Return whether a file of `size` bytes may be kept at all."""
        return size <= self._capacity

    def touch(self, key):
        """Note the use of a file."""
        self._sizes.move_to_end(key)

    def add(self, key, size):
        """Add a file; return the keys of those that have to go."""
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
        """Forget a file."""
        self._total -= self._sizes.pop(key, 0)


class ArchiveFiles:
    """Objects in one folder; any file may vanish or be damaged.

    Parameters
    ----------
    folder : str or Path
        Holds all files; made when it is missing.
    capacity : int
        Most bytes of all files together.
    """

    def __init__(self, folder, *, capacity):
        self._folder = Path(folder)
        self._index = ArchiveIndex(capacity)

    @property
    def total_bytes(self):
        """int: Bytes of all files."""
        return self._index.total_bytes

    def open(self):
        """Take over the files that an earlier run left."""
        self._folder.mkdir(parents=True, exist_ok=True)
        for path in self._folder.glob(f"*{PARTIAL_SUFFIX}"):
            path.unlink(missing_ok=True)
        found = [(path, path.stat()) for path in self._folder.glob(f"*{SUFFIX}")]
        found.sort(key=lambda pair: pair[1].st_mtime)
        for path, status in found:
            if self._index.fits(status.st_size):
                self._remove_all(self._index.add(path.stem, status.st_size))
            else:
                path.unlink(missing_ok=True)

    def read(self, name):
        """Return an object's value, or None; a damaged file is removed."""
        key = _name_key(name)
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
        """Keep an object, if the folder has room for it."""
        key = _name_key(name)
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


def _name_key(name):
    return hashlib.blake2b(name.encode(), digest_size=CHECKSUM_BYTES).hexdigest()
