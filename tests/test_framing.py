"""Tests of the pieces in which a connection's bytes reach the parser."""

import re
import unittest

from hypothesis import given, strategies as st

from sapphireyard.framing import (
    MAX_BLANK_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_EXTENSION_BYTES,
    FramingError,
    RequestFraming,
)

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_HEAD_BYTES = 200
PIECE = re.compile(rb"([0-9a-f]+)\r\n")


def decode(pieces):
    """Return the data of pieces with chunks, and whether the last chunk is there."""
    data = b"".join(pieces)
    decoded = b""
    while data:
        match = PIECE.match(data)
        size = int(match[1], 16)
        if not size:
            return decoded, data == b"0\r\n\r\n"
        decoded += data[match.end() : match.end() + size]
        data = data[match.end() + size + 2 :]
    return decoded, False


def take_all(framing):
    """Return the pieces that a framing has."""
    pieces = []
    while (piece := framing.take()) is not None:
        pieces.append(piece)
    return pieces


class RequestFramingTest(unittest.TestCase):
    def setUp(self):
        self.framing = RequestFraming(MAX_HEAD_BYTES)

    def begin_chunks(self):
        self.framing.feed(HEAD)
        self.framing.take()
        self.framing.begin_body(chunked=True)

    def test_heads(self):
        """Cases are name, bytes, and the head or the status of the refusal."""
        field = b"X: " + b"v" * MAX_HEAD_BYTES
        cases = [
            ("whole", HEAD, HEAD),
            ("followed", HEAD + b"rest", HEAD),
            ("empty lines before", b"\r\n\r\n" + HEAD, HEAD),
            ("not complete", HEAD[:-1], None),
            ("too many empty lines", b"\r\n" * MAX_BLANK_BYTES, 400),
            ("line feeds", b"\n" * 2 * MAX_BLANK_BYTES, 400),
            ("too long, complete", HEAD[:-2] + field + b"\r\n\r\n", 431),
            ("too long, not complete", HEAD[:-2] + field, 431),
            ("no version", b"GET /x\r\n\r\n", 400),
            ("other version", b"GET /x HTTP/2.0\r\n\r\n", 400),
        ]
        for name, data, expected in cases:
            for size in (1, 7, len(data)):
                with self.subTest(name, size=size):
                    self.assertEqual(self.read_head(data, size), expected)

    def read_head(self, data, size):
        framing = RequestFraming(MAX_HEAD_BYTES)
        for start in range(0, len(data), size):
            framing.feed(data[start : start + size])
            try:
                head = framing.take()
            except FramingError as error:
                return error.status
            if head is not None:
                return head
        return None

    def test_body_with_a_length_ends_after_its_bytes(self):
        self.framing.feed(HEAD + b"abcdefgh")
        self.framing.take()
        self.framing.begin_body(length=6)
        self.assertEqual(take_all(self.framing), [b"abcdef"])
        self.assertTrue(self.framing.complete)
        self.assertEqual(self.framing.pending, 2)

    def test_nothing_of_the_next_request_is_taken_before_the_answer(self):
        self.framing.feed(HEAD + HEAD)
        self.assertEqual(self.framing.take(), HEAD)
        self.framing.begin_body()
        self.assertIsNone(self.framing.take())
        self.framing.begin_next()
        self.assertEqual(self.framing.take(), HEAD)

    @given(
        st.lists(st.binary(min_size=1, max_size=20), max_size=50),
        st.integers(1, 40),
        st.sampled_from([b"", b";a=b", b" ;c"]),
    )
    def test_chunks_are_joined(self, chunks, size, extension):
        self.framing = RequestFraming(MAX_HEAD_BYTES)
        self.begin_chunks()
        data = b"".join(
            b"%X%s\r\n%s\r\n" % (len(each), extension, each) for each in chunks
        )
        data += b"0\r\nX-Trailer: t\r\n\r\n"
        pieces = []
        for start in range(0, len(data), size):
            self.framing.feed(data[start : start + size])
            pieces += take_all(self.framing)
        self.assertEqual(decode(pieces), (b"".join(chunks), True))
        self.assertTrue(self.framing.complete)
        self.assertEqual(self.framing.pending, 0)

    def test_many_small_chunks_come_in_few_pieces(self):
        for size in (1, 2, 15, 17):
            with self.subTest(size):
                self.framing = RequestFraming(MAX_HEAD_BYTES)
                self.begin_chunks()
                chunk = b"%x\r\n%s\r\n" % (size, b"c" * size)
                self.framing.feed(chunk * 1000)
                pieces = take_all(self.framing)
                self.assertEqual(decode(pieces), (b"c" * size * 1000, False))
                self.assertLess(len(pieces), 20)

    def test_chunks_that_are_refused(self):
        extension = b";" + b"e" * (MAX_CHUNK_LINE_BYTES // 2)
        extended = b"1" + extension + b"\r\nc\r\n"
        cases = [
            ("sign", b"+1\r\nc\r\n", 400),
            ("prefix", b"0x1\r\nc\r\n", 400),
            ("space", b"1 \r\nc\r\n", 400),
            ("no size", b"\r\nc\r\n", 400),
            ("bare line feed", b"1\nc\r\n" + b"x" * MAX_CHUNK_LINE_BYTES, 400),
            ("longer than its size", b"1\r\ncc\r\n", 400),
            ("size without end", b"1" * 2 * MAX_CHUNK_LINE_BYTES, 400),
            ("extension without end", b"1;" + b"e" * 2 * MAX_CHUNK_LINE_BYTES, 400),
            ("control in an extension", b"1;\x00\r\nc\r\n", 400),
            ("extensions", extended * (MAX_EXTENSION_BYTES // 256), 400),
            ("trailers", b"0\r\n" + b"X: t\r\n" * MAX_HEAD_BYTES, 431),
            ("trailer without end", b"0\r\nX: " + b"t" * 2 * MAX_HEAD_BYTES, 400),
        ]
        for name, data, status in cases:
            with self.subTest(name):
                self.framing = RequestFraming(MAX_HEAD_BYTES)
                self.begin_chunks()
                self.framing.feed(data)
                with self.assertRaises(FramingError) as caught:
                    take_all(self.framing)
                self.assertEqual(caught.exception.status, status)


if __name__ == "__main__":
    unittest.main()
