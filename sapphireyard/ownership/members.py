"""Member objects: one per host in the store, renewed while the host runs.

An object is kept after its host is gone, so that no incarnation, and hence no
name of a journal segment, is ever reused.
"""

import secrets
from dataclasses import asdict, dataclass, replace

import msgpack

from sapphireyard.exceptions import RecordError, StoreConflict, StoreUnavailable

MEMBER_PREFIX = "members/"
"""Prefix of the names of member objects."""

TOKEN_BYTES = 8
"""Number of random bytes in a token."""


@dataclass(frozen=True)
class MemberRecord:
    """The content of a member object.

    Parameters
    ----------
    host, incarnation
        The member.
    token : str
        Unique to the write.
    stored_number : int
        Number up to which the incarnation's journal segments are stored.
    sealed_by : str
        Host that is about to seal the incarnation's journal; after that the
        object is no longer renewed.
    """

    host: str
    incarnation: int
    token: str = ""
    stored_number: int = 0
    sealed_by: str = ""


@dataclass(frozen=True)
class StoredMember:
    """A `MemberRecord` with its object version; 0 if the object is missing."""

    record: MemberRecord
    version: int


class MemberObjects:
    """Reads and writes member objects, and resolves writes with lost answers.

    Parameters
    ----------
    store : Store
        The object store.
    """

    def __init__(self, store):
        self._store = store

    async def read(self, host):
        """Return the `StoredMember` of a host.

        Raises
        ------
        StoreUnavailable
            The store did not answer.
        """
        stored = await self._store.get(MEMBER_PREFIX + host)
        if stored is None:
            return StoredMember(MemberRecord(host, 0), 0)
        return StoredMember(_decode(stored.value), stored.version)

    async def take_incarnation(self, host):
        """Return the `StoredMember` of the next incarnation of a host."""
        while True:
            old = await self.read(host)
            record = MemberRecord(host, old.record.incarnation + 1)
            try:
                return await self.write(record, old.version)
            except StoreConflict:
                continue

    async def mark_sealed(self, member, sealer):
        """Record that `sealer` is about to seal a member's journal.

        Returns the new `StoredMember`.

        Raises
        ------
        StoreConflict
            The object changed after it was read: its host is alive, or
            another host seals the journal.
        """
        return await self.write(
            replace(member.record, sealed_by=sealer), member.version
        )

    async def write(self, record, expected_version):
        """Write a record over the expected version; return the `StoredMember`.

        Raises
        ------
        StoreConflict
            The object has another version that this write did not create.
        StoreUnavailable
            The store did not answer, and the write may have taken effect.
        """
        record = replace(record, token=secrets.token_hex(TOKEN_BYTES))
        name, value = MEMBER_PREFIX + record.host, msgpack.packb(asdict(record))
        try:
            if not expected_version:
                version = await self._store.create(name, value)
            else:
                version = await self._store.update(
                    name, value, expected_version=expected_version
                )
        except (StoreConflict, StoreUnavailable) as error:
            current = await self.read(record.host)
            if current.record.token == record.token:
                return current
            if current.version == expected_version:
                raise StoreUnavailable(f"{name} was not written") from error
            raise StoreConflict(
                f"{name} has version {current.version}, not {expected_version}"
            ) from error
        return StoredMember(record, version)


def _decode(value):
    try:
        fields = msgpack.unpackb(value)
        known = MemberRecord.__dataclass_fields__
        return MemberRecord(**{key: fields[key] for key in fields if key in known})
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RecordError(f"not a member object: {error}") from error
