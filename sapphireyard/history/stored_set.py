"""The set of copies in the platform's store, and what operators say of it there."""

import json
import logging
from dataclasses import asdict

from sapphireyard.exceptions import StoreConflict, StoreError
from sapphireyard.fleet.generated_fleet import CopySet

logger = logging.getLogger(__name__)

COPIES_OBJECT = "copies/main"
"""Name of the set of copies in the platform's store."""
ACCEPTED_LOSS_OBJECT = "copies/accepted-loss"
"""Name of the object by which an operator accepts a loss: the set's version."""


class StoredSet:
    """Reads and changes the set of copies.

    Parameters
    ----------
    store : Store
        The platform's store.
    """

    def __init__(self, store):
        self._store = store

    async def read(self):
        """Return the stored object, or None, and the `CopySet`.

        Raises
        ------
        StoreError
            The store does not answer, or the object is not one that this build reads.
        """
        stored = await self._store.get(COPIES_OBJECT)
        if stored is None:
            return None, CopySet()
        try:
            return stored, CopySet(**json.loads(stored.value))
        except (ValueError, TypeError) as error:
            raise StoreError(f"invalid {COPIES_OBJECT}: {error}") from error

    async def write(self, stored, copies):
        """Write the set unless another host has changed it since it was read."""
        fields = asdict(copies)
        if not copies.lost_before:  # builds without the field refuse it
            del fields["lost_before"]
        value = json.dumps(fields).encode()
        try:
            if stored is None:
                await self._store.create(COPIES_OBJECT, value)
            else:
                await self._store.update(
                    COPIES_OBJECT, value, expected_version=stored.version
                )
        except StoreConflict:
            logger.info("another host changed the set of copies first")
            raise

    async def read_accepted_loss(self):
        """Return the version of the set whose loss an operator accepts, or 0."""
        stored = await self._store.get(ACCEPTED_LOSS_OBJECT)
        if stored is None:
            return 0
        try:
            return int(json.loads(stored.value)["version"])
        except (ValueError, KeyError, TypeError) as error:
            logger.warning("invalid %s: %r", ACCEPTED_LOSS_OBJECT, error)
            return 0
