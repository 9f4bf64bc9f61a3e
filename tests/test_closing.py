"""What a host that stops takes, and how its open requests end."""

import asyncio
import unittest

from sapphireyard.exchange.closing import ELSEWHERE_SECONDS, Closing
from tests.exchange_case import ExchangeTestCase, RecordingReply


class ClosingTest(unittest.TestCase):
    def test_what_is_taken(self):
        """Cases are the time of a request, its deadline, and whether it is taken."""
        closing = Closing(finish_at=7.0, accept_until=3.0)
        cases = [
            ("callers may not know yet", 2.9, 12.9, True),
            ("ends before the host", 5.0, 7.0, True),
            ("may end after the host", 5.0, 7.1, False),
        ]
        for name, now, deadline, taken in cases:
            with self.subTest(name):
                self.assertEqual(closing.takes(deadline, now), taken)
        closing.ended = True
        self.assertFalse(closing.takes(2.0, 1.0))

    def test_refused_callers_are_told_when_a_host_serves_them(self):
        for others, seconds in ((True, ELSEWHERE_SECONDS), (False, 3.0)):
            with self.subTest(others=others):
                closing = Closing(7.0, has_others=lambda: others)
                error = closing.build_refusal(5.0)
                self.assertEqual((error.code, error.status), ("draining", 503))
                self.assertEqual(error.retry_after, seconds)


class LastRequestsTest(ExchangeTestCase):
    def close(self, *, seconds):
        now = self.runtime.clock.monotonic()
        self.exchange.closing = Closing(now + seconds)

    async def test_request_that_may_outlast_the_host_is_refused_unsent(self):
        for path in ("/view/1", "/book/1", "/chat/1"):
            with self.subTest(path):
                self.reply = RecordingReply()
                self.close(seconds=1.0)
                self.assertEqual(await self.serve(path, timeout=1.5), 503)
                self.assertEqual(self.reply.log, [("refuse", "draining")])
                self.assertGreater(self.reply.retry_after, 1.0)
                self.assertEqual(self.sender.sent, [])
                self.reply = RecordingReply()
                self.assertEqual(await self.serve(path, timeout=0.8), 200)
                self.sender.sent.clear()

    async def test_request_that_gets_its_slot_too_late_is_refused_unsent(self):
        """An upstream that got it would run it when the host cuts it off.

        Cases are the seconds to the end of the host, the time limit of the request,
        and whether it is sent. Answers are expected in 0.2 s.
        """
        cases = [(0.1, 1.0, False), (1.0, 1.5, True), (0.1, 0.09, True)]
        for path in ("/view/1", "/book/1", "/chat/1"):
            for seconds, limit, is_sent in cases:
                with self.subTest((path, seconds, limit)):
                    self.reply = RecordingReply()
                    self.sender.sent.clear()
                    now = self.runtime.clock.monotonic()
                    closing = Closing(now + seconds, accept_until=now + 1.0)
                    self.exchange.closing = closing
                    status = await self.serve(path, timeout=limit)
                    self.assertEqual(status, 200 if is_sent else 503)
                    self.assertEqual(bool(self.sender.sent), is_sent)
                    if not is_sent:
                        self.assertEqual(self.reply.log, [("refuse", "draining")])
                        self.assertGreater(self.reply.retry_after, 0.0)

    async def test_open_request_is_answered_when_the_host_stops(self):
        """Cases are the path, the upstream's step, and what its caller sees."""
        cases = [
            ("/view/1", "hang", [("refuse", "deadline_exceeded")]),
            ("/book/1", "hang", [("refuse", "deadline_exceeded")]),
            ("/chat/1", "hang", [("refuse", "deadline_exceeded")]),
            ("/book/1", None, [("refuse", "draining")]),
        ]
        for path, step, seen in cases:
            with self.subTest(path, step=step):
                self.reply = RecordingReply()
                self.exchange.closing = None
                self.sender.script = [step]
                body_read = asyncio.Event()

                async def wait_body(limit):
                    body_read.set()
                    if step is None:
                        await asyncio.Event().wait()
                    return b"body"

                serving = asyncio.ensure_future(self.serve(path, read_body=wait_body))
                await body_read.wait()
                await asyncio.sleep(0.02)
                self.close(seconds=0.0)
                (ended,) = self.exchange.end_open()
                self.assertEqual(ended.route.name, path.split("/")[1])
                await serving
                self.assertEqual(self.reply.log, seen)
                self.assertEqual(self.exchange.taken, [])

    async def test_nothing_is_taken_once_open_requests_were_ended(self):
        self.close(seconds=9.0)
        self.exchange.end_open()
        self.assertEqual(await self.serve("/view/1", timeout=0.1), 503)
        self.assertEqual(self.sender.sent, [])
