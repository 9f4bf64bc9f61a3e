"""Messages and files that hosts of two builds exchange.

``tests/builds`` has, for each build that may still run, its generated classes and
bytes that it wrote (``scripts/record_messages.py``).
"""

import asyncio
import dataclasses
import importlib
import json
import shutil
import tempfile
import unittest
from pathlib import Path

import msgpack
import msgspec
from hypothesis import given, settings, strategies as st
from pydantic import TypeAdapter

from sapphireyard.exceptions import PeerError
from sapphireyard.fleet import datagrams, generated_fleet
from sapphireyard.fleet.datagrams import HeartbeatEncoder, decode_heartbeat
from sapphireyard.history.log import RecordLog
from sapphireyard.history.stored_set import COPIES_OBJECT, StoredSet
from sapphireyard.streams.frames import FrameError, MessageCodec
from scripts.record_messages import (
    KEPT_RECORDS,
    build_codec,
    build_sample,
    encode_messages,
    list_messages,
)
from standins.memory import MemoryStore

BUILDS = Path(__file__).parent / "builds"
GENERATED = (
    "generated_fleet",
    "generated_history",
    "generated_relays",
    "generated_quotas",
    "generated_messages",
)
CLASSES = {each.__name__: each for each in list_messages()}
PLAIN = st.one_of(st.none(), st.integers(-5, 5), st.text(max_size=5), st.booleans())


class Build:
    """The classes and the recorded bytes of an older build."""

    def __init__(self, folder):
        self.folder = folder
        self.name = folder.name
        self.messages = {
            name: bytes.fromhex(text)
            for name, text in json.loads((folder / "messages.json").read_text()).items()
        }
        self.objects = json.loads((folder / "objects.json").read_text())
        self.modules = [
            importlib.import_module(f"tests.builds.{folder.name}.{module}")
            for module in GENERATED
        ]
        self.classes = {each.__name__: each for each in list_messages(self.modules)}
        self.codec = MessageCodec()
        for module in self.modules:
            self.codec.register_module(module)


def load_builds():
    """Return all recorded builds."""
    return [Build(path) for path in sorted(BUILDS.glob("build_*"))]


def to_plain(value):
    """Return messages in a value as dicts of their fields."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, list):
        return list(map(to_plain, value))
    if isinstance(value, dict):
        return {key: to_plain(each) for key, each in value.items()}
    return value


def select_fields(value, old):
    """Return the fields of a message, nested ones too, that an older build has.

    Raises
    ------
    AssertionError
        A field that it does not have differs from its default.
    """
    if dataclasses.is_dataclass(old):
        names = {field.name for field in dataclasses.fields(old)}
        for field in dataclasses.fields(value):
            if field.name in names:
                continue
            default = field.default
            if field.default_factory is not dataclasses.MISSING:
                default = field.default_factory()
            assert getattr(value, field.name) == default, field.name
        return {
            name: select_fields(getattr(value, name), getattr(old, name))
            for name in names
        }
    if isinstance(old, list):
        assert len(value) == len(old)
        return [select_fields(*pair) for pair in zip(value, old)]
    if isinstance(old, dict):
        assert value.keys() == old.keys()
        return {key: select_fields(value[key], old[key]) for key in old}
    return value


class OlderMessagesTest(unittest.TestCase):
    """Bytes of an older build, read by this one."""

    def test_messages_are_read(self):
        codec = build_codec()
        for build in load_builds():
            for name, payload in build.messages.items():
                with self.subTest(build.name, message=name):
                    message = codec.load(*msgpack.unpackb(payload))
                    old = build_sample(build.classes[name])
                    self.assertEqual(select_fields(message, old), to_plain(old))

    def test_heartbeats_are_read(self):
        for build in load_builds():
            payload = (build.folder / "heartbeat.msgpack").read_bytes()
            heartbeat = decode_heartbeat(payload)
            old = build_sample(build.classes["Heartbeat"])
            old.answer = [5, 6]
            with self.subTest(build.name):
                self.assertEqual(select_fields(heartbeat, old), to_plain(old))

    def test_entries_in_the_store_are_read(self):
        for build in load_builds():
            for name, values in build.objects.items():
                with self.subTest(build.name, object=name):
                    message = TypeAdapter(CLASSES[name]).validate_python(values)
                    plain = dataclasses.asdict(message)
                    self.assertEqual(plain, {**plain, **values})

    def test_logs_of_copies_are_read(self):
        codec = build_codec()
        for build in load_builds():
            with self.subTest(build.name), tempfile.TemporaryDirectory() as folder:
                shutil.copy(build.folder / "00000000.records", folder)
                log = RecordLog(folder)
                self.addCleanup(log.close)
                records = [
                    codec.load(*msgpack.unpackb(payload)) for _, payload in log.open()
                ]
                self.assertEqual(
                    [type(record).__name__ for record in records], list(KEPT_RECORDS)
                )


class NewerMessagesTest(unittest.TestCase):
    """Bytes of this build, read by an older one."""

    def test_messages_are_read(self):
        written = encode_messages()
        for build in load_builds():
            for name in build.messages:
                with self.subTest(build.name, message=name):
                    build.codec.load(*msgpack.unpackb(written[name]))

    def test_heartbeats_are_read(self):
        payload = HeartbeatEncoder(build_sample(CLASSES["Heartbeat"])).encode([5, 6])
        version, *values = msgspec.msgpack.decode(payload, type=list)
        self.assertEqual(version, datagrams.FORMAT)
        for build in load_builds():
            with self.subTest(build.name):
                old_class = build.classes["Heartbeat"]
                names = [field.name for field in dataclasses.fields(old_class)]
                heartbeat = msgspec.convert(dict(zip(names, values)), old_class)
                self.assertEqual(heartbeat.answer, [5, 6])

    def test_fields_of_heartbeats_keep_their_positions(self):
        fields = [f.name for f in dataclasses.fields(generated_fleet.Heartbeat)]
        for build in load_builds():
            with self.subTest(build.name):
                old = [f.name for f in dataclasses.fields(build.classes["Heartbeat"])]
                self.assertEqual(fields[: len(old)], old)

    def test_entries_in_the_store_are_read(self):
        for build in load_builds():
            for name in build.objects:
                with self.subTest(build.name, object=name):
                    values = dataclasses.asdict(build_sample(CLASSES[name]))
                    TypeAdapter(build.classes[name]).validate_python(values)

    def test_set_of_copies_without_losses_is_read_by_its_exact_fields(self):
        """Build 776a765 refuses a stored set with a field that it does not know."""
        store = MemoryStore()
        copies = generated_fleet.CopySet(4, {"copy-1": "disk"})
        asyncio.run(StoredSet(store).write(None, copies))
        values = json.loads(asyncio.run(store.get(COPIES_OBJECT)).value)
        for build in load_builds():
            with self.subTest(build.name):
                old = build.classes["CopySet"](**values)
                self.assertEqual((old.version, old.members), (4, {"copy-1": "disk"}))

    def test_new_records_of_copies_are_rejected_and_not_misread(self):
        """An older copy cannot keep a record of a kind that it does not know."""
        written = encode_messages()
        for build in load_builds():
            for name in written.keys() - build.messages.keys():
                with self.subTest(build.name, message=name):
                    with self.assertRaises(FrameError):
                        build.codec.load(*msgpack.unpackb(written[name]))


class UnknownFieldsTest(unittest.TestCase):
    """Bytes of builds to come."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        name=st.sampled_from(sorted(CLASSES)),
        extra=st.dictionaries(st.text(min_size=1, max_size=8), PLAIN, max_size=4),
    )
    def test_unknown_fields_of_messages_are_ignored(self, name, extra):
        codec = build_codec()
        _, values = codec.dump(build_sample(CLASSES[name]))
        message = codec.load(name, {**extra, **values})
        self.assertEqual(codec.dump(message)[1], values)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(extra=st.lists(PLAIN, max_size=4))
    def test_trailing_fields_of_heartbeats_are_ignored(self, extra):
        sample = build_sample(CLASSES["Heartbeat"])
        values = msgspec.msgpack.decode(HeartbeatEncoder(sample).encode([5, 6]))
        heartbeat = decode_heartbeat(msgspec.msgpack.encode(values + extra))
        self.assertEqual(heartbeat.host, sample.host)

    def test_missing_trailing_fields_get_their_defaults(self):
        sample = build_sample(CLASSES["Heartbeat"])
        values = msgspec.msgpack.decode(HeartbeatEncoder(sample).encode([5, 6]))
        fields = dataclasses.fields(generated_fleet.Heartbeat)
        required = sum(
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
            for field in fields
        )
        for count in range(len(values)):
            payload = msgspec.msgpack.encode(values[:count])
            with self.subTest(count=count):
                if count <= required:
                    with self.assertRaises(PeerError):
                        decode_heartbeat(payload)
                else:
                    decode_heartbeat(payload)


if __name__ == "__main__":
    unittest.main()
