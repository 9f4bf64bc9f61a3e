"""Codec of journal records and segments.

A segment is a zstd-compressed msgpack map of the fields of `Segment`. Records
are encoded one by one when they are committed, so that a segment can be
assembled without encoding them again. Fields with default values are omitted
and unknown fields are ignored, so that hosts of two releases can read each
other's segments.
"""

import dataclasses
from functools import cache
from typing import NamedTuple

import msgpack
import zstandard
from pydantic import TypeAdapter, ValidationError

from sapphireyard.exceptions import RecordError
from sapphireyard.journal import generated_records
from sapphireyard.journal.generated_records import EncodedRecord, RecordPart

COMPRESSION_LEVEL = 3
"""zstd compression level."""

SEGMENT_BYTES = 900_000
"""Limit on the total size of a segment's encoded records in bytes."""

PART_BYTES = 400_000
"""Limit on the size of one piece of a split record in bytes."""

SEGMENT_RAW_BYTES = 16_000_000
"""Limit on the decompressed size of a segment in bytes."""

RECORD_KINDS = frozenset(
    {
        "ProgramOpened",
        "ProgramLinked",
        "CallReserved",
        "CallCompleted",
        "CallAbandoned",
        "ProgramEnded",
        "ProgramSnapshot",
        "RecordPart",
    }
)
"""Names of the record classes allowed in a journal."""


class PlacedRecord(NamedTuple):
    """A decoded record with its position.

    Parameters
    ----------
    number : int
        Number of the segment in which the record ends.
    partition : int
        Partition of the program.
    epoch : int
        Version of the assignment under which it was written.
    record : object
        Instance of a class of `sapphireyard.journal.generated_records`.
    first : int
        Number of the segment in which the record starts.
    """

    number: int
    partition: int
    epoch: int
    record: object
    first: int


def pack_record(record, *, partition, epoch=0):
    """Return the msgpack form of a record, an `EncodedRecord`.

    Raises
    ------
    RecordError
        The class of `record` is not one of `RECORD_KINDS`.
    """
    kind = type(record).__name__
    if kind not in RECORD_KINDS:
        raise RecordError(f"{kind} is not a record class")
    encoded = EncodedRecord(partition, kind, _strip_defaults(record), epoch)
    return msgpack.packb(_strip_defaults(encoded))


def split_record(packed, *, partition, epoch=0, token):
    """Return the packed record as one or more packed records that fit a segment.

    Parameters
    ----------
    packed : bytes
        Result of `pack_record`.
    token : str
        Unique to the record; identifies its pieces.
    """
    if len(packed) <= PART_BYTES:
        return [packed]
    starts = range(0, len(packed), PART_BYTES)
    return [
        pack_record(
            RecordPart(token, index, len(starts), packed[start : start + PART_BYTES]),
            partition=partition,
            epoch=epoch,
        )
        for index, start in enumerate(starts)
    ]


def pack_segment(*, host, incarnation, number, token, records, seal="", written_at=0.0):
    """Return the stored form of a segment.

    Parameters
    ----------
    records : sequence of bytes
        Packed records, in order.
    written_at : float, optional
        Wall-clock seconds.
    """
    packer = msgpack.Packer(autoreset=False)
    fields = {
        "host": host,
        "incarnation": incarnation,
        "number": number,
        "token": token,
        "seal": seal,
        "written_at": written_at,
    }
    packer.pack_map_header(len(fields) + 1)
    for name, value in fields.items():
        packer.pack(name)
        packer.pack(value)
    packer.pack("records")
    packer.pack_array_header(len(records))
    raw = packer.bytes() + b"".join(records)
    return zstandard.compress(raw, COMPRESSION_LEVEL)


def unpack_segment(value):
    """Return the `Segment` of a stored value.

    Raises
    ------
    RecordError
        The value is damaged or not a segment.
    """
    try:
        raw = zstandard.ZstdDecompressor().decompress(
            value, max_output_size=SEGMENT_RAW_BYTES
        )
        return _find_adapter("Segment").validate_python(msgpack.unpackb(raw))
    except (zstandard.ZstdError, ValueError, msgpack.UnpackException) as error:
        raise RecordError(f"not a segment: {error}") from error


def decode_record(encoded):
    """Return the record of an `EncodedRecord`.

    Raises
    ------
    RecordError
        The kind is unknown, or a field is missing or has the wrong type. A
        record is never skipped silently.
    """
    if encoded.kind not in RECORD_KINDS:
        raise RecordError(f"unknown record kind {encoded.kind}")
    try:
        return _find_adapter(encoded.kind).validate_python(encoded.fields)
    except ValidationError as error:
        raise RecordError(f"{encoded.kind}: {error}") from error


class RecordAssembler:
    """Decodes segments in order and joins the pieces of split records."""

    def __init__(self):
        self._pieces = {}

    def feed(self, segment, *, partitions=None):
        """Return a list of `PlacedRecord` for the records that end in `segment`.

        Parameters
        ----------
        segment : Segment
            Next segment of the journal.
        partitions : container of int, optional
            Partitions to decode; all by default.
        """
        placed = []
        for encoded in segment.records:
            first = segment.number
            if partitions is not None and encoded.partition not in partitions:
                continue
            if encoded.kind == RecordPart.__name__:
                encoded, first = self._join(decode_record(encoded), segment.number)
            if encoded is None:
                continue
            record = decode_record(encoded)
            placed.append(
                PlacedRecord(
                    segment.number, encoded.partition, encoded.epoch, record, first
                )
            )
        return placed

    def _join(self, part, number):
        """Return the joined record and its first segment number, or None and 0."""
        if part.index > 0 and part.token not in self._pieces:
            return None, 0  # the record starts before the first segment fed
        first, pieces = self._pieces.setdefault(part.token, (number, []))
        if part.index != len(pieces):
            raise RecordError(
                f"piece {part.index} of record {part.token} is out of order; "
                f"expected piece {len(pieces)}"
            )
        pieces.append(part.data)
        if len(pieces) < part.count:
            return None, 0
        del self._pieces[part.token]
        fields = msgpack.unpackb(b"".join(pieces))
        return _find_adapter("EncodedRecord").validate_python(fields), first


def _strip_defaults(instance):
    """Return the fields of a dataclass as a dict, without default values."""
    fields = {}
    for field in dataclasses.fields(instance):
        value = getattr(instance, field.name)
        if field.default is not dataclasses.MISSING and value == field.default:
            continue
        if isinstance(value, list):
            value = [_strip_item(item) for item in value]
        fields[field.name] = _strip_item(value)
    return fields


def _strip_item(item):
    if dataclasses.is_dataclass(item):
        return _strip_defaults(item)
    return item


@cache
def _find_adapter(kind):
    return TypeAdapter(getattr(generated_records, kind))


assert all(hasattr(generated_records, kind) for kind in RECORD_KINDS)
