"""Tests how the ends of upstreams' answers are told apart."""

import asyncio
import random
import socket
import threading
import time
from collections import Counter

from sapphireyard.answers import (
    BROKEN,
    CHUNKED,
    CLOSED,
    COMPLETE,
    CONNECTION,
    LENGTH,
    RESET,
)
from standins.scripted_upstream import End, build_head
from tests.answer_case import (
    CHUNKED_HEAD,
    HEAD,
    LAST_CHUNK,
    LENGTH_HEAD,
    AnswerTestCase,
    chunk,
)
from tests.exchange_case import EVENTS

PAUSE_SECONDS = 0.02
RANDOM_CASES = 200


def answer_once(server, data, accepted):
    """Answer one request and close its connection; go on listening."""
    connection, _ = server.accept()
    with connection:
        connection.recv(65536)
        accepted.set()
        time.sleep(PAUSE_SECONDS * 10)
        connection.sendall(data)


class LogTest(AnswerTestCase):
    async def test_log_and_metrics_tell_how_an_answer_ended(self):
        """Cases are the answer, its framing and ending, events, and bytes after them.

        No answer at all has none of these.
        """
        one, two = EVENTS
        cases = [
            ((LENGTH_HEAD, one, two, End.STAY), LENGTH, COMPLETE, 2, 0),
            ((LENGTH_HEAD, one, End.CLOSE), LENGTH, BROKEN, 1, 0),
            ((CHUNKED_HEAD, chunk(one), LAST_CHUNK, End.STAY), CHUNKED, COMPLETE, 1, 0),
            ((CHUNKED_HEAD, chunk(one), End.CLOSE), CHUNKED, BROKEN, 1, 0),
            ((HEAD, one, two, End.CLOSE), CONNECTION, CLOSED, 2, 0),
            ((HEAD, one, b"id: 2\n", End.CLOSE), CONNECTION, CLOSED, 1, 6),
            ((HEAD, one, PAUSE_SECONDS, End.RESET), CONNECTION, RESET, 1, 0),
            ((End.CLOSE,), None, None, None, None),
        ]
        for steps, framing, ending, events, trailing in cases:
            with self.subTest(steps):
                self.counts.clear()
                line = vars(await self.answer(*steps))
                self.assertEqual(line.get("framing"), framing)
                self.assertEqual(line.get("ending"), ending)
                self.assertEqual(line.get("events"), events)
                self.assertEqual(line.get("trailing_bytes"), trailing)
                counted = self.counts["answers", framing, ending]
                self.assertEqual(counted, int(framing is not None))

    async def test_plain_answers_have_no_events(self):
        line = vars(await self.answer(HEAD, b"body", End.CLOSE, path="/view/1"))
        self.assertEqual((line["framing"], line["ending"]), (CONNECTION, CLOSED))
        self.assertNotIn("events", line)


class BrokenOffAnswerTest(AnswerTestCase):
    """Answers of plain services, which are forwarded once they are complete."""

    async def test_answers_without_a_length(self):
        """Cases are the end of the connection, and the status that the caller gets.

        The booking may not be repeated.
        """
        cases = [
            (End.CLOSE, "/book/1", 200),
            (End.CRASH, "/book/1", 502),
            (End.RESET, "/book/1", 502),
        ]
        for end, path, status in cases:
            with self.subTest((end, path)):
                await self.asyncSetUp()
                await self.answer(HEAD, b"body", PAUSE_SECONDS, end, path=path)
                self.assertEqual(self.reply.status, status)

    async def test_silent_upstream_has_not_ended_its_answer(self):
        """Guards against a machine that failed and answers nothing (review/12).

        Cases are the path, the seconds for which the upstream is silent after its
        answer, and whether that counts as whole.
        """
        cases = [
            ("/book/1", 0.0, True),
            ("/book/1", 1.0, True),
            ("/book/1", 60.0, False),
            ("/chat/1", 1.0, True),
            ("/chat/1", 60.0, False),
        ]
        loop = asyncio.get_running_loop()
        for path, seconds, is_whole in cases:
            with self.subTest((path, seconds)):
                await self.asyncSetUp()
                silent_until = loop.time() + seconds

                async def is_listening(upstream, silent_until=silent_until):
                    return None if loop.time() < silent_until else True

                self.sender.is_listening = is_listening
                body = EVENTS if path == "/chat/1" else [b"body"]
                await self.answer(HEAD, *body, End.CLOSE, path=path)
                is_complete = self.complete and self.reply.status == 200
                self.assertEqual(is_complete, is_whole)
                self.assertEqual(
                    bool(self.runtime.history.turns), path == "/chat/1" and is_whole
                )

    async def test_answer_that_ended_while_the_host_stood_still_is_not_whole(self):
        """Guards against a new run of an upstream that listens instead (review/15).

        Cases are the head, for how long the host stands still before it reads the end,
        and the status. The upstream runs in a thread, which goes on meanwhile.
        """
        cases = [(HEAD, 0.0, 200), (HEAD, 1.3, 502), (LENGTH_HEAD, 1.3, 200)]
        for head, seconds, status in cases:
            with self.subTest((head, seconds)):
                await self.asyncSetUp()
                body = b"".join(EVENTS)
                with socket.create_server(("127.0.0.1", 0)) as server:
                    self.set_upstreams("%s:%d" % server.getsockname())
                    accepted = threading.Event()
                    arguments = server, head + body, accepted
                    thread = threading.Thread(target=answer_once, args=arguments)
                    thread.start()
                    serving = asyncio.ensure_future(self.serve("/book/1"))
                    while not accepted.is_set():
                        await asyncio.sleep(0.01)
                    time.sleep(seconds)
                    await serving
                    thread.join()
                self.assertEqual(self.reply.status, status)

    async def test_answer_counts_though_other_bytes_follow_it_at_once(self):
        """The bytes belong to no request; the next one gets another connection."""
        body = b"answer"
        answers = [
            build_head("r1", "Content-Length: 6") + body,
            build_head("r1", "Content-Length: 0"),
            build_head("r1", "Transfer-Encoding: chunked") + chunk(body) + LAST_CHUNK,
            build_head("r1", status=204),
        ]
        for answer in answers:
            for extra in (b"\x00\x01noise\r\n\r\n", b"no answer", answer):
                with self.subTest(answer=answer, extra=extra):
                    await self.asyncSetUp()
                    for _ in range(2):
                        await self.answer(answer + extra, End.STAY, path="/book/1")
                        self.assertTrue(self.complete)
                        self.assertIn(self.reply.status, (200, 204))
                    self.assertEqual(self.upstream.connections, 2)

    async def test_answer_without_a_body_needs_no_second_connection(self):
        """Its end is certain, though it has neither a length nor chunks."""
        for status in (204, 304):
            with self.subTest(status):
                await self.asyncSetUp()
                head = build_head("r1", status=status)
                for _ in range(3):
                    await self.answer(head, End.STAY, path="/book/1")
                    self.assertEqual(self.reply.status, status)
                self.assertEqual(self.upstream.connections, 1)

    async def test_last_answer_of_a_leaving_upstream_counts_while_it_listens(self):
        """One that is gone may have broken it off, whatever its entry says by then.

        Cases are the upstream's entry, or its header, when the answer ends; the end of
        the connection; and the status that the caller gets.
        """
        leaving = build_head("r1", "Server-Leaving: 1")
        cases = [
            (head, changes, end, status)
            for head, changes in [
                (HEAD, {"leaving": True}),
                (HEAD, None),
                (leaving, {}),
            ]
            for end, status in [(End.CLOSE, 200), (End.CRASH, 502), (End.RESET, 502)]
        ]
        for head, changes, end, status in cases:
            with self.subTest(head=head, changes=changes, end=end):
                await self.asyncSetUp()
                loop = asyncio.get_running_loop()
                loop.call_later(
                    PAUSE_SECONDS, self.set_upstreams, self.upstream.address, changes
                )
                steps = (head, b"body", 2 * PAUSE_SECONDS, end)
                await self.answer(*steps, path="/book/1")
                self.assertEqual(self.reply.status, status)
                await asyncio.sleep(PAUSE_SECONDS)
                self.assertFalse(self.runtime.crashes, "counted as a crash")


class StoppedHostTest(AnswerTestCase):
    """Answers that are under way when their host closes its connections."""

    async def test_answer_that_a_stop_cuts_off_does_not_look_complete(self):
        """Cases are the head, which gives the framing, and the beginning of the body.

        The upstream goes on listening.
        """
        event = EVENTS[0]
        cases = [(HEAD, event), (LENGTH_HEAD, event), (CHUNKED_HEAD, chunk(event))]
        for path in ("/chat/1", "/book/1"):
            for head, body in cases:
                with self.subTest(path=path, head=head):
                    await self.asyncSetUp()
                    steps = (head, body, 4 * PAUSE_SECONDS, End.STAY)
                    answering = asyncio.ensure_future(self.answer(*steps, path=path))
                    await asyncio.sleep(2 * PAUSE_SECONDS)
                    await self.sender.on_stop()
                    await answering
                    self.assertFalse(self.complete and self.reply.status == 200)
                    self.assertEqual(self.runtime.history.turns, [])


class BrokenOffStreamTest(AnswerTestCase):
    """Streams that end with their connection and are broken off."""

    async def check(self, *steps, complete=False):
        line = await self.answer(HEAD, *steps)
        self.assertEqual(self.complete, complete, vars(line))
        self.assertEqual(len(self.runtime.history.turns), int(complete))

    async def test_stream_cut_inside_an_event_does_not_look_complete(self):
        """An event may be cut after a line that holds no data yet."""
        events = [
            b"id: 2\ndata: two\n\n",
            b"id: 2\r\ndata: two\r\n\r\n",
            b"weight-versions: 4\nid: 2\nevent: token\ndata: two\n\n",
        ]
        for event in events:
            for size in range(1, len(event)):
                with self.subTest(cut=event[:size]):
                    await self.check(EVENTS[0] + event[:size], End.CLOSE)
            with self.subTest(whole=event):
                await self.check(EVENTS[0] + event, End.CLOSE, complete=True)

    async def test_stream_cut_before_its_first_event_does_not_look_complete(self):
        """A comment may come first, and fields without data are no event."""
        for stream in (b"", b": comment\n", b": comment\n\n", b"id: 1\n\n"):
            with self.subTest(stream):
                await self.check(stream, End.CLOSE)

    async def test_stream_cut_by_a_crash_between_events_does_not_look_complete(self):
        """The connection ends in order; the upstream accepts no other one."""
        await self.check(EVENTS[0], End.CRASH)

    async def test_stream_of_a_leaving_upstream_that_is_gone_does_not_look_complete(
        self,
    ):
        """Cases are the upstream's entry, or its header, when the stream ends."""
        leaving = build_head("r1", "Server-Leaving: 1", "Connection: close")
        for head, changes in [(HEAD, {"leaving": True}), (HEAD, None), (leaving, {})]:
            for end, whole in [(End.CLOSE, True), (End.CRASH, False)]:
                with self.subTest(head=head, changes=changes, end=end):
                    await self.asyncSetUp()
                    loop = asyncio.get_running_loop()
                    loop.call_later(
                        PAUSE_SECONDS,
                        self.set_upstreams,
                        self.upstream.address,
                        changes,
                    )
                    await self.answer(head, EVENTS[0], 2 * PAUSE_SECONDS, end)
                    self.assertEqual(self.complete, whole)
                    self.assertEqual(len(self.runtime.history.turns), int(whole))

    async def test_stream_cut_by_a_reset_does_not_look_complete(self):
        """Cases are the pauses before the first event and before the reset."""
        cases = [(0.0, 0.0), (PAUSE_SECONDS, 0.0), (0.0, PAUSE_SECONDS)]
        for before_event, before_reset in cases:
            with self.subTest((before_event, before_reset)):
                await self.check(before_event, EVENTS[0], before_reset, End.RESET)

    async def test_reset_after_the_end_of_a_framed_stream_changes_nothing(self):
        """The reset arrives while the first event waits for its reservation."""
        stream = b"".join(EVENTS)
        chunks = CHUNKED_HEAD + chunk(stream) + LAST_CHUNK
        for answer in (LENGTH_HEAD + stream, chunks):
            with self.subTest(answer):
                await self.asyncSetUp()
                synced = self.runtime.history.synced
                synced.clear()
                loop = asyncio.get_running_loop()
                loop.call_later(4 * PAUSE_SECONDS, synced.set)
                await self.answer(answer, PAUSE_SECONDS, End.RESET, token_budget=100)
                self.assertTrue(self.complete)

    async def test_whole_stream_looks_complete(self):
        await self.check(*EVENTS, End.CLOSE, complete=True)


class RandomEndsTest(AnswerTestCase):
    """Random streams and ends, compared with what a plain reading of them says."""

    async def test_only_whole_streams_look_complete(self):
        outcomes = Counter()
        for seed in range(RANDOM_CASES):
            with self.subTest(seed=seed):
                await self.asyncSetUp()
                case = RandomAnswer(random.Random(seed))
                line = await self.answer(*case.steps)
                self.assertEqual(self.complete, case.whole, (case.steps, vars(line)))
                self.assertEqual(len(self.runtime.history.turns), int(case.whole))
                outcomes[case.framing, case.whole] += 1
                await self.upstream.stop()
        for framing in (LENGTH, CHUNKED, CONNECTION):
            for whole in (True, False):
                self.assertGreater(outcomes[framing, whole], RANDOM_CASES // 20)


class RandomAnswer:
    """A random stream, perhaps cut, and whether it is whole.

    Parameters
    ----------
    rng : random.Random
        Source of all choices.
    """

    def __init__(self, rng):
        self.framing = rng.choice((LENGTH, CHUNKED, CONNECTION))
        end = rng.choice((End.CLOSE, End.CLOSE, End.CRASH, End.RESET))
        stream = b"".join(build_event(rng, n) for n in range(1, rng.randint(2, 5)))
        stream = stream.replace(b"\n", rng.choice((b"\n", b"\r\n")))
        head, body = HEAD, stream
        if self.framing == LENGTH:
            head = build_head("r1", f"Content-Length: {len(stream)}")
        elif self.framing == CHUNKED:
            head = CHUNKED_HEAD
            body = chunk(stream) + LAST_CHUNK
        sent = body
        if rng.random() < 0.6:
            sent = body[
                : rng.choice((0, *find_borders(body), rng.randrange(len(body))))
            ]
        parts = split(rng, sent)
        self.steps = (head, *parts, PAUSE_SECONDS, end)
        self.whole = sent == body
        if self.framing == CONNECTION:
            self.whole = end is End.CLOSE and is_at_border(sent)


def build_event(rng, number):
    """Return an event with its fields in a random order, perhaps with comments."""
    lines = [b"id: %d" % number, b"data: " + bytes([97 + number]) * rng.randint(0, 9)]
    lines += rng.sample([b"event: token", b"weight-versions: 7", b": comment"], 2)
    rng.shuffle(lines)
    return b"\n".join(lines) + b"\n\n"


def find_borders(data):
    """Return the positions after the line ends in some bytes."""
    return [position + 1 for position, byte in enumerate(data) if byte == 10]


def split(rng, data):
    """Return the bytes in up to three parts with pauses between them."""
    cuts = sorted(rng.randint(0, len(data)) for _ in range(rng.randint(0, 2)))
    parts = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)])]
    return [step for part in parts for step in (part, 0.001)]


def is_at_border(data):
    """Return whether a stream has an event, and ends after the last one it has."""
    lines = data.replace(b"\r\n", b"\n").split(b"\n")
    if lines.pop():
        return False
    fields = [line for line in lines if not line.startswith(b":")]
    return b"" in fields and not fields[-1]
