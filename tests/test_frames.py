"""Tests of the framing and codec of internal streams."""

import unittest

from hypothesis import given, settings, strategies as st

from sapphireyard.streams import generated_messages
from sapphireyard.streams.frames import (
    HEADER,
    MAX_FRAME_BYTES,
    FrameError,
    FrameReader,
    MessageCodec,
    encode_frame,
)
from sapphireyard.streams.generated_messages import ForwardCall, Hello

FIXED = settings(derandomize=True, deadline=None, database=None, max_examples=100)


class FrameReaderTest(unittest.TestCase):
    @FIXED
    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 99), st.binary())),
        st.integers(1, 17),
    )
    def test_frames_survive_any_split(self, frames, step):
        data = b"".join(encode_frame(*frame) for frame in frames)
        reader = FrameReader()
        read = []
        for start in range(0, len(data), step):
            read += reader.feed(data[start : start + step])
        self.assertEqual([tuple(frame) for frame in read], frames)

    def test_rejects_invalid_frames(self):
        cases = [
            ("too long", HEADER.pack(MAX_FRAME_BYTES + 1)),
            ("not msgpack", HEADER.pack(1) + b"\xc1"),
            ("not an array", HEADER.pack(1) + b"\x01"),
            ("no request id", HEADER.pack(2) + b"\x91\x01"),
        ]
        for name, data in cases:
            with self.subTest(name), self.assertRaises(FrameError):
                FrameReader().feed(data)


class MessageCodecTest(unittest.TestCase):
    def setUp(self):
        self.codec = MessageCodec()
        self.codec.register_module(generated_messages)

    def test_round_trip(self):
        call = ForwardCall(customer="c", program="p", route="r", body="{}", hops=2)
        self.assertEqual(self.codec.load(*self.codec.dump(call)), call)

    def test_ignores_fields_of_newer_versions(self):
        name, values = self.codec.dump(Hello("a", 1, 2, 1))
        values["added_later"] = 7
        self.assertEqual(self.codec.load(name, values), Hello("a", 1, 2, 1))

    def test_rejects_invalid_messages(self):
        for name, values in [
            ("Unheard", {}),
            ("Hello", {"host": "a"}),
            ("Hello", [1]),
        ]:
            with self.subTest(name=name), self.assertRaises(FrameError):
                self.codec.load(name, values)
