"""Reads and updates the assignment object in the store."""

import asyncio

from sapphireyard.exceptions import RecordError, StoreConflict, StoreUnavailable
from sapphireyard.ownership.assignment import (
    ASSIGNMENT_NAME,
    check_assignment,
    check_change,
)
from sapphireyard.ownership.assignment_codec import decode_assignment, encode_assignment

RETRY_SECONDS = 0.2
"""Wait before an attempt without an answer is repeated."""


class AssignmentStore:
    """The assignment object, changed only by conditional writes.

    Parameters
    ----------
    store : Store
        The object store.
    retry_seconds : float, optional
        Wait before an attempt without an answer is repeated.
    """

    def __init__(self, store, *, retry_seconds=RETRY_SECONDS):
        self._store = store
        self._retry_seconds = retry_seconds

    async def read(self):
        """Return the `Assignment` in the store, or None.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        """
        stored = await self._store.get(ASSIGNMENT_NAME)
        if stored is None:
            return None
        assignment = decode_assignment(stored.value)
        if assignment.version != stored.version:
            raise RecordError("assignment version differs from its object's version")
        return assignment

    async def change(self, plan):
        """Change the assignment; return the one in force.

        Parameters
        ----------
        plan : callable
            Takes the `Assignment` in the store (or None) and returns the one
            to write, or None if nothing is to be changed. It is called again
            after a conflict, so it must detect that its change is already in
            force.

        Raises
        ------
        StoreUnavailable
            The store did not answer before the first write. Once a write was
            attempted, this method retries until the outcome is known.
        """
        old = await self.read()
        while True:
            new = plan(old)
            if new is None:
                return old
            if await self.write(old, new):
                return new
            old = await self._read_with_retries()

    async def write(self, old, new):
        """Write `new` in place of `old`; return whether it is in force.

        False means that another change came first, or that later changes
        followed; read the assignment to find the outcome.
        """
        check_assignment(new)
        if old is not None:
            check_change(old, new)
        value = encode_assignment(new)
        while True:
            try:
                await self._write_once(value, new.version)
                return True
            except StoreConflict:
                pass
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)
            current = await self._read_with_retries()
            if current is not None and encode_assignment(current) == value:
                return True
            if (current.version if current is not None else 0) >= new.version:
                return False

    async def _write_once(self, value, version):
        if version == 1:
            await self._store.create(ASSIGNMENT_NAME, value)
            return
        await self._store.update(ASSIGNMENT_NAME, value, expected_version=version - 1)

    async def _read_with_retries(self):
        while True:
            try:
                return await self.read()
            except StoreUnavailable:
                await asyncio.sleep(self._retry_seconds)
