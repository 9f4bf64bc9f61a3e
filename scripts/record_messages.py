"""Records one message of each kind as this build writes them.

Usage: ``python -m scripts.record_messages FOLDER``, in a checkout of the build. The
files are fixtures of ``tests/test_builds.py``, which shows that later builds read them.
"""

import asyncio
import dataclasses
import json
import sys
import tempfile
import types
import typing
from pathlib import Path

import msgpack

from sapphireyard.exchange import generated_relays
from sapphireyard.fleet import generated_fleet, generated_quotas
from sapphireyard.fleet.datagrams import HeartbeatEncoder
from sapphireyard.fleet.generated_fleet import CopySet, Heartbeat, HostProfile
from sapphireyard.history import generated_history
from sapphireyard.history.log import RecordLog
from sapphireyard.streams import generated_messages
from sapphireyard.streams.frames import MessageCodec

MODULES = (generated_fleet, generated_history, generated_relays, generated_quotas)
PEER_MODULES = (generated_messages,)
KEPT_RECORDS = ("Reservation", "Settlement", "Turn", "CopySet")
"""Records in the log of a copy."""
SAMPLES = {str: "text", int: 3, float: 1.5, bool: True, bytes: b"\x00bytes"}


def list_messages(modules=MODULES + PEER_MODULES):
    """Return the message classes of the generated modules."""
    return [
        value
        for module in modules
        for value in vars(module).values()
        if dataclasses.is_dataclass(value) and value.__module__ == module.__name__
    ]


def build_sample(message_class):
    """Return an instance with a value other than the default in each field."""
    hints = typing.get_type_hints(message_class)
    names = [field.name for field in dataclasses.fields(message_class)]
    return message_class(**{name: _build_value(hints[name]) for name in names})


def _build_value(hint):
    if hint in SAMPLES:
        return SAMPLES[hint]
    if dataclasses.is_dataclass(hint):
        return build_sample(hint)
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is list:
        return [_build_value(arguments[0])]
    if origin is dict:
        return {"name": _build_value(arguments[1])}
    if origin in (types.UnionType, typing.Union):
        return _build_value(arguments[0])
    if origin is typing.Literal:
        return arguments[0]
    return "any"


def build_codec():
    """Return a codec that knows all messages."""
    codec = MessageCodec()
    for module in MODULES + PEER_MODULES:
        codec.register_module(module)
    return codec


def encode_messages():
    """Return the bytes of each message by its class name."""
    codec = build_codec()
    return {
        message_class.__name__: msgpack.packb(codec.dump(build_sample(message_class)))
        for message_class in list_messages()
    }


def record(folder):
    """Write all fixtures of this build to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    messages = {name: data.hex() for name, data in encode_messages().items()}
    (folder / "messages.json").write_text(json.dumps(messages, indent=1) + "\n")
    heartbeat = HeartbeatEncoder(build_sample(Heartbeat)).encode([5, 6])
    (folder / "heartbeat.msgpack").write_bytes(heartbeat)
    objects = {
        each.__name__: dataclasses.asdict(build_sample(each))
        for each in (CopySet, HostProfile)
    }
    (folder / "objects.json").write_text(json.dumps(objects, indent=1) + "\n")
    asyncio.run(record_log(folder))


async def record_log(folder):
    """Write a log of a copy with one record of each kind that it keeps."""
    codec = build_codec()
    classes = {each.__name__: each for each in list_messages()}
    with tempfile.TemporaryDirectory() as data:
        log = RecordLog(data)
        list(log.open())
        for name in KEPT_RECORDS:
            log.append(msgpack.packb(codec.dump(build_sample(classes[name]))))
        await log.sync()
        log.close()
        (segment,) = Path(data).glob("*.records")
        (folder / segment.name).write_bytes(segment.read_bytes())


if __name__ == "__main__":
    record(Path(sys.argv[1]))
