"""Tests bytes of earlier exchanges on connections that are used again."""

import asyncio
import time

from sapphireyard.exchange.answers import NOT_RUN_STATUSES
from sapphireyard.exchange.calls import Upstream
from standins.scripted_upstream import End, ScriptedUpstream, build_head
from tests.answer_case import HEAD, AnswerTestCase
from tests.exchange_case import EVENTS

EMPTY = "Content-Length: 0"
NOT_EXECUTED = "Not-Executed: 1"
ARRIVAL_SECONDS = 0.02
"""Time in which bytes arrive after an answer."""


def refuse(status=503, request_id="r1"):
    """Return a refusal; without an id if `request_id` is None."""
    head = build_head(request_id, NOT_EXECUTED, EMPTY, status=status)
    return head.replace(b"Request-Id: None\r\n", b"")


def answer(request_id="r1"):
    """Return a complete answer of a plain service."""
    return build_head(request_id, "Content-Length: 6") + b"answer"


class LateAnswerTest(AnswerTestCase):
    async def check_second_request(self, path="/book/1"):
        """Fail if the second request on a connection is refused, or sent twice."""
        await self.answer(answer("r2"), End.STAY, path=path, request_id="r2")
        self.assertEqual(self.upstream.requests, 2, self.upstream.heads)
        self.assertNotIn(self.reply.status, NOT_RUN_STATUSES)

    async def test_late_refusal_does_not_answer_the_next_send(self):
        """An upstream refuses a request, runs it, and sends the refusal once more.

        Cases are the path, and the first refusal, which also comes late.
        """
        stream = (HEAD, *EVENTS, End.CLOSE)
        cases = [
            (path, refuse(status, request_id))
            for path in ("/book/1", "/view/1", "/chat/1")
            for status in (400, 421, 429, 503)
            for request_id in ("r1", None)
        ]
        for path, refusal in cases:
            with self.subTest(path=path, refusal=refusal):
                await self.asyncSetUp()
                self.upstream.late = refusal
                self.upstream.first_answers = [(refusal, End.STAY)]
                whole = stream if path == "/chat/1" else (answer(), End.STAY)
                await self.answer(*whole, path=path)
                self.assertEqual(self.upstream.requests, 2)
                self.assertEqual(self.reply.status, 200)

    async def test_late_refusal_without_an_id_is_no_promise(self):
        """It arrives after another request was sent on the same connection."""
        for path in ("/book/1", "/chat/1"):
            for status in (400, 421, 429, 503):
                with self.subTest(path=path, status=status):
                    await self.asyncSetUp()
                    await self.answer(answer(), End.STAY, path="/book/1")
                    self.upstream.late = refuse(status, None)
                    await self.check_second_request(path)
                    self.assertEqual(self.upstream.connections, 1)

    async def test_answer_that_is_due_is_not_taken_for_that_of_the_next_request(self):
        """An answer of the first request comes late, when the second one is sent.

        The second one's own answer is still due when the late one is rejected.
        """
        await self.answer(answer(), End.STAY, path="/book/1")
        self.upstream.late = build_head("r1", EMPTY)
        self.upstream.first_answers = [(0.1, answer("r2"), End.STAY)]
        await self.answer(path="/book/1", request_id="r2")
        self.assertEqual(self.reply.status, 502)
        self.upstream.late = b""
        await asyncio.sleep(2 * ARRIVAL_SECONDS)  # its own answer is still due
        await self.answer(answer("r3"), End.STAY, path="/book/1", request_id="r3")
        self.assertEqual(self.reply.status, 200)

    async def test_refusal_without_an_id_counts_on_a_new_connection(self):
        self.upstream.first_answers = [(refuse(503, None), End.STAY)]
        await self.answer(answer(), End.STAY, path="/book/1")
        self.assertEqual(self.reply.status, 200)

    async def test_refusal_that_runs_into_an_answer_is_no_promise(self):
        """A late refusal is cut at each position; the real answer follows."""
        refusal = build_head(None, NOT_EXECUTED, "Via: upstream", status=421)
        refusal = refusal.replace(b"Request-Id: None\r\n", b"")
        for cut in range(1, len(refusal)):
            with self.subTest(refusal[:cut]):
                await self.asyncSetUp()
                await self.answer(answer(), End.STAY, path="/book/1")
                self.upstream.late = refusal[:cut]
                await self.check_second_request()
                self.assertEqual(self.upstream.connections, 1)

    async def test_bytes_after_an_answer_spoil_its_connection(self):
        """The next request is served on another one.

        Cases are the part of a later answer that follows, at once or a moment later.
        The rest of it comes when a further request has been sent.
        """
        extra = refuse(503, "r2")
        for size in (0, 1, 9, 20, 40, 70, len(extra) - 1, len(extra)):
            first, rest = extra[:size], extra[size:]
            for pause in (0.0, ARRIVAL_SECONDS / 2):
                with self.subTest(first=first, pause=pause):
                    await self.asyncSetUp()
                    self.upstream.late = rest if size else b""
                    steps = (answer(), pause, first) if pause else (answer() + first,)
                    await self.answer(*steps, End.STAY, path="/book/1")
                    await asyncio.sleep(ARRIVAL_SECONDS)
                    await self.check_second_request()
                    self.assertEqual(self.reply.status, 200)

    async def test_bytes_that_the_loop_has_not_read_spoil_a_connection(self):
        """They arrive while the loop is busy, just before the next request is sent."""
        await self.answer(answer(), End.STAY, path="/book/1")
        (writer,) = self.upstream.writers
        writer.write(refuse(503, "r2"))
        time.sleep(ARRIVAL_SECONDS)
        await self.check_second_request()
        self.assertEqual(self.reply.status, 200)

    async def test_connection_is_not_reused_when_its_upstream_may_close_it(self):
        """A request that meets the close may have run.

        Cases are the header that states the idle time in seconds, the pause before the
        next request, and whether that gets another connection.
        """
        cases = [
            ("Keep-Alive: timeout=1", 0.1, False),
            ("Keep-Alive: timeout=1", 0.6, True),
            ("Keep-Alive: max=9, timeout=1", 0.6, True),
            ("Keep-Alive: timeout=0", 0.1, True),
            ("Keep-Alive: timeout=5", 0.6, False),
            ("Keep-Alive: timeout=soon", 0.6, False),
            ("X-Y: z", 0.6, False),
        ]
        for header, seconds, is_new in cases:
            with self.subTest(header=header, seconds=seconds):
                await self.asyncSetUp()
                for pause in (seconds, 0.0):
                    answer = build_head("r1", EMPTY, header)
                    await self.answer(answer, End.STAY, path="/book/1")
                    await asyncio.sleep(pause)
                self.assertEqual(self.upstream.connections, 1 + is_new)

    async def test_refused_requests_leave_a_connection_to_others(self):
        """A shedding upstream takes few connections; another one gets the retries."""
        other = ScriptedUpstream(first_answers=self.upstream.first_answers)
        address = await other.start()
        self.addAsyncCleanup(other.stop)
        upstreams = [
            Upstream(f"plain-{number}", "plain", each, slots=8)
            for number, each in enumerate((self.upstream.address, address))
        ]
        self.runtime.pools.set_upstreams(upstreams)
        for number in range(10):
            request_id = f"r{number}"
            self.upstream.first_answers.append((refuse(503, request_id), End.STAY))
            self.upstream.first_answers.append((answer(request_id), End.STAY))
            await self.answer(path="/book/1", request_id=request_id)
            self.assertEqual(self.reply.status, 200)
        self.assertEqual(self.upstream.requests, other.requests)
        self.assertEqual((self.upstream.connections, other.connections), (1, 1))
