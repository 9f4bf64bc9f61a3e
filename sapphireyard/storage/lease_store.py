"""Carries a `LeaseKeeper`'s writes out on the lease's object in the store."""

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

    async def step(self, keeper, clock, make_token):
        """Read the lease and take or renew it when the keeper says so.

        Parameters
        ----------
        keeper : LeaseKeeper
            Decides.
        clock : callable
            Returns monotonic seconds.
        make_token : callable
            Returns a fresh token.

        Raises
        ------
        StoreUnavailable
            The store did not answer; the keeper's own bound still holds.
        """
        stored = await self._store.get(self._name)
        record = _decode(stored.value) if stored is not None else None
        keeper.observe(record, stored.version if stored else 0, clock())
        write = keeper.next_write(clock(), make_token())
        if write is not None:
            await self._write(keeper, write, clock)

    async def renew(self, keeper, clock, make_token):
        """Renew a held lease at once, which shows that it is still held."""
        await self._write(keeper, keeper.renewal(clock(), make_token()), clock)

    async def _write(self, keeper, write, clock):
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
            keeper.lost()
            return
        keeper.wrote(write.record, version, started_at, clock())


def _decode(value):
    return LeaseRecord(**json.loads(value))
