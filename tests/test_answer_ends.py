"""Tests how the ends of upstreams' answers are told apart."""

from sapphireyard.exchange.calls import (
    BROKEN,
    CHUNKED,
    CLOSED,
    COMPLETE,
    CONNECTION,
    LENGTH,
    RESET,
)
from standins.scripted_upstream import End
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
