"""Tests upstreams that say in their answers that they are leaving."""

from standins.scripted_upstream import End, build_head
from tests.answer_case import HEAD, AnswerTestCase
from tests.exchange_case import EVENTS

LEAVING = "Server-Leaving: 1"
EMPTY = "Content-Length: 0"
REFUSED = ("Not-Executed: 1", EMPTY)


def head(*lines, status=200):
    return build_head("r1", *lines, status=status)


class LeavingTest(AnswerTestCase):
    async def test_nothing_is_sent_to_it_after_any_of_its_answers(self):
        """Cases are the answer, the path, and whether its upstream is leaving.

        An answer with status 421 comes from another upstream at the same address.
        """
        stream = head(LEAVING)
        cases = [
            ("stream", (stream, *EVENTS, End.CLOSE), "/chat/1", True),
            ("broken stream", (stream, EVENTS[0], 0.01, End.RESET), "/chat/1", True),
            ("answer", (head(LEAVING, EMPTY), End.STAY), "/view/1", True),
            ("failure", (head(LEAVING, EMPTY, status=500), End.STAY), "/book/1", True),
            ("refusal", (head(LEAVING, *REFUSED, status=503),), "/book/1", True),
            ("other", (head(LEAVING, *REFUSED, status=421),), "/book/1", False),
            ("not leaving", (HEAD, *EVENTS, End.CLOSE), "/chat/1", False),
            ("value 0", (head("Server-Leaving: 0", EMPTY),), "/view/1", False),
        ]
        for name, steps, path, leaving in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                await self.answer(*steps, path=path)
                # The store still lists the upstream as one to use.
                self.set_upstreams(self.upstream.address)
                sent = self.upstream.requests
                await self.answer(head(EMPTY), path=path)
                self.assertEqual(self.upstream.requests - sent, int(not leaving))
                self.assertEqual(self.reply.status == 503, leaving)
                if leaving:
                    self.assertGreater(self.reply.retry_after, 0)
