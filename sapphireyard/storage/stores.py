"""The interface of the platform's object store.

`Store` abstracts the site's object API; each form of that API has an adapter
module. The store is the only arbiter of ownership: every decision that must
be made exactly once is a `Store.create` or a `Store.update`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True)
class StoredObject:
    """An object as read; versions start at 1."""

    name: str
    value: bytes
    version: int


@dataclass(frozen=True)
class ObjectChange:
    """One change seen by a watch.

    Parameters
    ----------
    version : int
        The object's version; 0 if it was deleted.
    revision : int
        Revision of the store after the change. Each change of any object
        increases it.
    """

    name: str
    version: int
    revision: int


@dataclass(frozen=True)
class WatchResult:
    """The changes after a revision, and the revision from which to continue."""

    changes: tuple[ObjectChange, ...]
    revision: int


class Store(ABC):
    """An object store with versions, conditional writes and watches.

    All methods raise `StoreUnavailable` if the store does not answer. A write
    may then have taken effect or not: read the object back and compare the
    unique token in its value to find out.
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
        """Return up to `limit` pairs (name, version), sorted by name, after `after`."""

    @abstractmethod
    async def watch(self, prefix, *, after_revision, timeout_seconds):
        """Wait for changes after a revision; return a `WatchResult`.

        With ``after_revision=None`` it returns the current revision and no
        changes at once.

        Raises
        ------
        WatchExpired
            The changes after the revision are no longer available.
        """

    async def close(self):
        """Close all connections."""
