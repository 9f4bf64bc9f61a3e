"""Codec of the assignment object.

Entries are stored column by column; members and ranges are stored once and
referenced by index.
"""

import msgpack
import zstandard

from sapphireyard.exceptions import RecordError
from sapphireyard.journal.journal import JournalRange
from sapphireyard.ownership.assignment import Assignment, Member, PartitionEntry

COMPRESSION_LEVEL = 6
"""zstd compression level."""

RAW_BYTES = 64_000_000
"""Limit on the decompressed size of an assignment in bytes."""


def encode_assignment(assignment):
    """Return the stored form of an assignment."""
    hosts = list(assignment.members)
    indexes = {host: index for index, host in enumerate(hosts)}
    ranges = {}
    for entry in assignment.entries:
        for source in entry.sources:
            ranges.setdefault(source, len(ranges))
    entries = assignment.entries
    fields = {
        "version": assignment.version,
        "members": [_encode_member(member) for member in assignment.members.values()],
        "owners": [indexes[entry.host] for entry in entries],
        "epochs": [entry.epoch for entry in entries],
        "since": [entry.since for entry in entries],
        "sources": [[ranges[s] for s in entry.sources] for entry in entries],
        "ranges": [list(source) for source in ranges],
    }
    return zstandard.compress(msgpack.packb(fields), COMPRESSION_LEVEL)


def decode_assignment(value):
    """Return the `Assignment` of a stored value.

    Raises
    ------
    RecordError
        The value is damaged.
    """
    try:
        raw = zstandard.ZstdDecompressor().decompress(value, max_output_size=RAW_BYTES)
        return _build_assignment(msgpack.unpackb(raw))
    except (zstandard.ZstdError, ValueError, KeyError, TypeError, IndexError) as error:
        raise RecordError(f"not an assignment: {error}") from error


def _build_assignment(fields):
    members = [_decode_member(member) for member in fields["members"]]
    ranges = [JournalRange(*source) for source in fields["ranges"]]
    entries = tuple(
        PartitionEntry(
            members[owner].host,
            members[owner].incarnation,
            epoch,
            since,
            tuple(ranges[index] for index in sources),
        )
        for owner, epoch, since, sources in zip(
            fields["owners"], fields["epochs"], fields["since"], fields["sources"]
        )
    )
    return Assignment(fields["version"], {m.host: m for m in members}, entries)


def _encode_member(member):
    return [
        member.host,
        member.incarnation,
        member.peer_address,
        member.caller_address,
        member.failure_domain,
        member.region,
        member.state,
    ]


def _decode_member(fields):
    return Member(*fields[:7])
