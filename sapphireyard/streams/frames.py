"""Framing and codec of the internal streams.

A frame is a big-endian 32-bit length and a msgpack array. The first element
is the `FrameKind`, the second the request id, the rest depends on the kind.
Messages are sent as their class name and a map of their fields; unknown fields
are ignored, so that consecutive protocol versions are compatible.
"""

import dataclasses
import enum
import struct

import msgpack
from pydantic import TypeAdapter, ValidationError

from sapphireyard.exceptions import PeerError

HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Largest frame accepted, in bytes."""


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    HELLO = 0
    REQUEST = 1
    ITEM = 2
    END = 3
    FAIL = 4
    CANCEL = 5
    PING = 6
    PONG = 7
    TELL = 8
    CREDIT = 9


class FrameError(PeerError):
    """A frame that violates the protocol."""

    code = "frame_error"


class MessageTooLarge(PeerError):
    """A message that does not fit into a frame; nothing of it was sent."""

    code = "message_too_large"
    sent = False


class MessageCodec:
    """Converts instances of generated message classes to plain maps and back.

    Register the modules whose dataclasses may be sent, then use `dump` and
    `load`.
    """

    def __init__(self):
        self._classes = {}
        self._adapters = {}
        self._fields = {}

    def register_module(self, module):
        """Register all dataclasses defined in `module`."""
        for value in vars(module).values():
            if dataclasses.is_dataclass(value) and value.__module__ == module.__name__:
                self._register(value)

    def _register(self, message_class):
        name = message_class.__name__
        self._classes[name] = message_class
        fields = dataclasses.fields(message_class)
        self._fields[message_class] = tuple(field.name for field in fields)

    def dump(self, message):
        """Return the class name and the fields of `message`."""
        names = self._fields[type(message)]
        values = {name: _to_plain(getattr(message, name)) for name in names}
        return type(message).__name__, values

    def load(self, name, values):
        """Return the validated message of class `name`.

        Raises
        ------
        FrameError
            The class is unknown or the fields don't fit it.
        """
        if not isinstance(name, str):
            raise FrameError("message without a name")
        adapter = self._adapters.get(name) or self._build_adapter(name)
        try:
            return adapter.validate_python(values)
        except ValidationError as error:
            raise FrameError(
                f"invalid {name}: {error.error_count()} validation errors"
            ) from error

    def _build_adapter(self, name):
        """Return the validator of a class, built on first use as that is slow."""
        message_class = self._classes.get(name)
        if message_class is None:
            raise FrameError(f"unknown message {name!r}")
        adapter = self._adapters[name] = TypeAdapter(message_class)
        return adapter


def _to_plain(value):
    if dataclasses.is_dataclass(value):
        return {
            field.name: _to_plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, (list, tuple)):
        return [_to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    return value


def encode_frame(*parts):
    """Return the bytes of one frame.

    Raises
    ------
    MessageTooLarge
        The receiver would end the connection, and with it all other requests.
    """
    payload = msgpack.packb(parts)
    if len(payload) > MAX_FRAME_BYTES:
        raise MessageTooLarge(
            f"a message of {len(payload)} bytes is longer than {MAX_FRAME_BYTES} bytes"
        )
    return HEADER.pack(len(payload)) + payload


class FrameReader:
    """Splits a byte stream into frames.

    `feed` returns the complete frames and buffers the rest.
    """

    def __init__(self):
        self._buffer = bytearray()

    @property
    def pending(self):
        """int: Bytes that are buffered."""
        return len(self._buffer)

    @property
    def wanted(self):
        """int: Bytes of the frame that has begun; 0 if its size is not known."""
        if len(self._buffer) < HEADER.size:
            return 0
        return HEADER.size + HEADER.unpack_from(self._buffer)[0]

    def drop(self):
        """Forget what is buffered, as its connection has ended."""
        self._buffer.clear()

    def feed(self, data, *, limit=None):
        """Return the list of frames completed by `data`.

        Parameters
        ----------
        data : bytes
            What has arrived.
        limit : int, optional
            Frames that are returned at most; the next call returns the others.

        Raises
        ------
        FrameError
            A frame is too long or not msgpack.
        """
        self._buffer += data
        frames = []
        start = 0
        while limit is None or len(frames) < limit:
            frame, start = self._read_frame(start)
            if frame is None:
                break
            frames.append(frame)
        del self._buffer[:start]
        return frames

    def _read_frame(self, start):
        body = start + HEADER.size
        if len(self._buffer) < body:
            return None, start
        (length,) = HEADER.unpack_from(self._buffer, start)
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {length} bytes is longer than {MAX_FRAME_BYTES} bytes"
            )
        end = body + length
        if len(self._buffer) < end:
            return None, start
        return _unpack(self._buffer[body:end]), end


def _unpack(payload):
    try:
        frame = msgpack.unpackb(payload, strict_map_key=False)
    except (
        ValueError,
        TypeError,  # a map has a key that cannot be one
        RecursionError,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise FrameError("frame is not msgpack") from error
    if not isinstance(frame, list) or len(frame) < 2:
        raise FrameError("frame has no kind or no request id")
    return frame
