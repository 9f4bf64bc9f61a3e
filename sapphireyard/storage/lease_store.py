"""Reads and writes the lease object in the store for a `LeaseManager`."""

import json
from dataclasses import asdict

from sapphireyard.exceptions import StoreConflict
from sapphireyard.storage.generated_control import LeaseRecord

LEASE_PREFIX = "control/lease/"


class LeaseStore:
    """The lease object of one pool.

    Parameters
    ----------
    store : Store
        The platform's object store.
    name : str
        Name of the pool.
    """

    def __init__(self, store, name):
        self._store = store
        self._name = LEASE_PREFIX + name

    async def step(self, lease, clock, make_token):
        """Read the lease object, then take or renew the lease if it is due.

        Parameters
        ----------
        lease : LeaseManager
            Decides whether to write.
        clock : callable
            Returns monotonic seconds.
        make_token : callable
            Returns a fresh token.

        Raises
        ------
        StoreUnavailable
            The store did not answer. A held lease still expires at its time.
        """
        stored = await self._store.get(self._name)
        record = _decode(stored.value) if stored is not None else None
        lease.observe(record, stored.version if stored else 0, clock())
        write = lease.next_write(clock(), make_token())
        if write is not None:
            await self._write(lease, write, clock)

    async def renew(self, lease, clock, make_token):
        """Renew a held lease at once, which verifies that it is still held."""
        await self._write(lease, lease.build_renewal(clock(), make_token()), clock)

    async def _write(self, lease, write, clock):
        started_at = clock()
        value = json.dumps(asdict(write.record)).encode()
        try:
            if write.expected_version:
                version = await self._store.update(
                    self._name, value, expected_version=write.expected_version
                )
            else:
                version = await self._store.create(self._name, value)
        except StoreConflict:
            lease.record_conflict()
            return
        lease.record_write(write.record, version, started_at, clock())


def _decode(value):
    return LeaseRecord(**json.loads(value))
