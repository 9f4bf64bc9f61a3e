"""Tests answers whose upstream stops at any byte and ends the connection."""

import unittest
from types import SimpleNamespace

from sapphireyard.clocks import Clock
from sapphireyard.upstreams.upstreams import UpstreamError, Upstreams
from standins.scripted_upstream import End, ScriptedUpstream, build_head
from tests.answer_case import AnswerTestCase, chunk
from tests.exchange_case import EVENTS

RESET_SECONDS = 0.003
"""Time to read what comes before a reset."""
STREAM = b"".join(EVENTS)
EXTRA = "X-Extra: value"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
TRAILERS = b"0\r\nX-Trailer: value\r\n\r\n"


def build_answers(body):
    """Return answers with a body that ends by itself, as (name, bytes)."""
    length = f"Content-Length: {len(body)}"
    chunked = "Transfer-Encoding: chunked"
    chunks = chunk(body[:10]) + b"5;extension=1\r\n" + body[10:15] + b"\r\n"
    chunks += chunk(body[15:]) + TRAILERS
    return [
        ("length", build_head("r1", EXTRA, length) + body),
        ("length first", build_head("r1", length, EXTRA) + body),
        ("chunks", build_head("r1", EXTRA, chunked) + chunks),
        ("after an interim answer", INTERIM + build_head("r1", length) + body),
        ("bare line feeds", build_head("r1", length).replace(b"\r", b"") + body),
    ]


def list_cuts(body, *, every=1):
    """Return proper beginnings of all answers, with all ends, as steps.

    One without a length may be cut in its head only: the end of the connection is
    the end of its body.

    Parameters
    ----------
    body : bytes
        Body of the answers.
    every : int, optional
        Distance of the cuts; resets are tried at a fifth of them.
    """
    answers = [(data, len(data)) for _, data in build_answers(body)]
    head = build_head("r1", EXTRA)
    cuts = [
        data[:size]
        for data, end in [*answers, (head, len(head))]
        for size in range(0, end, every)
    ]
    closed = [(data, End.CLOSE) for data in cuts]
    return closed + [(data, RESET_SECONDS, End.RESET) for data in cuts[::5]]


class CutAnswerTest(AnswerTestCase):
    async def check_cut(self, path, *, every=1):
        for steps in list_cuts(STREAM, every=every):
            with self.subTest(steps):
                await self.answer(*steps, path=path)
                self.assertFalse(self.complete and self.reply.status == 200)
                self.assertEqual(self.runtime.history.turns, [])

    async def test_cut_answer_of_a_service_does_not_look_complete(self):
        await self.check_cut("/book/1")

    async def test_cut_answer_of_an_engine_does_not_look_complete(self):
        await self.check_cut("/chat/1", every=3)

    async def test_whole_answer_looks_complete(self):
        """The connection may be closed, or reset, after the last byte."""
        for path in ("/book/1", "/chat/1"):
            for name, data in build_answers(STREAM):
                for steps in [(End.CLOSE,), (RESET_SECONDS, End.RESET)]:
                    with self.subTest(path=path, name=name, steps=steps):
                        await self.asyncSetUp()
                        await self.answer(data, *steps, path=path)
                        self.assertTrue(self.complete)
                        self.assertEqual(self.reply.status, 200)

    async def test_switch_of_protocols_is_no_answer(self):
        for path in ("/book/1", "/chat/1"):
            with self.subTest(path):
                head = build_head("r1", "Connection: upgrade", "Upgrade: x", status=101)
                await self.answer(head + STREAM, End.CLOSE, path=path)
                self.assertEqual(self.reply.status, 502)


class CutAnswerOnOwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstreams = Upstreams(SimpleNamespace(clock=Clock()))
        await self.upstreams.on_start()
        self.addAsyncCleanup(self.upstreams.on_stop)
        self.server = ScriptedUpstream()
        self.address = await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def test_cut_answer_of_a_service_is_a_failure(self):
        for steps in list_cuts(b'{"text": "some answer"}', every=5):
            with self.subTest(steps):
                self.server.steps = steps
                with self.assertRaises(UpstreamError):
                    await self.upstreams.call_service(
                        self.address, "book", "{}", idempotency_key="", repeatable=False
                    )

    async def test_cut_stream_is_a_failure(self):
        """A stream ends with its last event, whatever follows."""
        stream = b'data: {"some": "text"}\n\ndata: [DONE]\n\n'
        for steps in list_cuts(stream, every=5):
            with self.subTest(steps):
                self.server.steps = steps
                if stream.partition(b"[DONE]")[0][-10:] in steps[0]:
                    continue
                with self.assertRaises(UpstreamError):
                    events = self.upstreams.stream_completion(
                        self.address, "{}", program=""
                    )
                    async for _ in events:
                        pass
