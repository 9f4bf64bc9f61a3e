"""The interface of the platform's object store.

The site's object API stands behind `Store`; one adapter module for each form
of that API. The store is the only arbiter of ownership: every decision that
must be made once is a `Store.create` or a `Store.update`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True)
class StoredObject:
    """An object as read: its name, value and version (from 1)."""

    name: str
    value: bytes
    version: int


@dataclass(frozen=True)
class ObjectChange:
    """One change seen by a watch; `version` is 0 when the object was deleted."""

    name: str
    version: int
    revision: int


@dataclass(frozen=True)
class WatchResult:
    """The changes after a revision and the revision to go on from."""

    changes: tuple[ObjectChange, ...]
    revision: int


class Store(ABC):
    """An object store with versions, conditional writes and watches.

    All methods raise `StoreUnavailable` when no answer came. After that a
    write may or may not have taken effect: read the object back and compare
    the unique token inside its value, never assume.
    """

    @abstractmethod
    async def get(self, name):
        """Return the `StoredObject` called `name`, or None."""

    @abstractmethod
    async def create(self, name, value):
        """Create an object and return its version.

        Raises
        ------
        StoreConflict
            An object of this name exists.
        """

    @abstractmethod
    async def update(self, name, value, *, expected_version):
        """Replace an object of the expected version; return the new version.

        Raises
        ------
        StoreConflict
            The object has another version or does not exist.
        """

    @abstractmethod
    async def delete(self, name, *, expected_version):
        """Delete an object of the expected version.

        Raises
        ------
        StoreConflict
            The object has another version or does not exist.
        """

    @abstractmethod
    async def list(self, prefix, *, after="", limit=1000):
        """Return up to `limit` pairs (name, version), by name, beyond `after`."""

    @abstractmethod
    async def watch(self, prefix, *, after_revision, timeout_seconds):
        """Wait for changes beyond a revision; return a `WatchResult`.

        With ``after_revision=None`` it returns at once with the current
        revision and no change.

        Raises
        ------
        WatchExpired
            The revision is too old to go on from.
        """

    async def close(self):
        """Release connections."""
