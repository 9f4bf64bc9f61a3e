"""Request targets reach upstreams as their callers wrote them."""

from standins.scripted_upstream import End, build_head
from tests.answer_case import AnswerTestCase

TARGETS = (
    "/view/x",
    "/view/x?",
    "/view/x??",
    "/view/x?a",
    "/view/x?a=",
    "/view/x?a=%20+b&&c",
    "/view/x?a?b",
    "/view/a%2Fb/../c;d=e",
    "/view/%41%zz",
    "/view//x/",
)


class TargetTest(AnswerTestCase):
    async def test_targets_are_sent_unchanged(self):
        whole = build_head("r1", "Content-Length: 4") + b"done"
        for target in TARGETS:
            for method in ("GET", "POST"):
                with self.subTest(target=target, method=method):
                    await self.answer(whole, End.STAY, path=target, method=method)
                    self.assertEqual(self.reply.status, 200)
                    line = self.upstream.heads[-1].split(b"\r\n")[0]
                    self.assertEqual(line.decode(), f"{method} {target} HTTP/1.1")


del AnswerTestCase  # otherwise the loader would run it here as well
