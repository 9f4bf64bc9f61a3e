"""Tests invalid input on the callers' interface: framing, targets, slow senders."""

import re
import time

from tests.platform_site import KEY, build_configuration
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase

HEAD = (
    b"Host: site.example\r\nRequest-Id: 00000000000000aa\r\n"
    b"Deadline-Ms: 3000\r\nCredential: " + KEY.encode() + b"\r\n"
)
INNER = b"GET /view/inner HTTP/1.1\r\n" + HEAD + b"\r\n"
HEADER_SECONDS = 1.0
IDLE_SECONDS = 3.0


def post(*lines, body=b""):
    """Return the bytes of a request with additional header lines."""
    extra = b"".join(line + b"\r\n" for line in lines)
    return b"POST /book/outer HTTP/1.1\r\n" + HEAD + extra + b"\r\n" + body


CHUNKED = b"Transfer-Encoding: chunked"
SMUGGLED = b"0\r\n\r\n" + INNER
"""A request behind the last chunk, which ends the body for a parser of chunks."""


class PlatformInputTest(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": HEADER_SECONDS * 1000,
            "idle-timeout-ms": IDLE_SECONDS * 1000,
        }
        self.site.store.put("config", "main", build_configuration(2, limits=limits))
        for name in ("entry-1", "entry-2"):
            await self.site.wait_until(
                lambda name=name: '"version": 2' in self.site.read_log(name)
            )

    async def test_request_id_that_is_no_text_gets_a_whole_answer(self):
        head = HEAD.replace(b"00000000000000aa", b"caf\xe9")
        request = b"GET /view/x HTTP/1.1\r\n" + head + b"Connection: close\r\n\r\n"
        answer = await self.site.send_raw(ENTRY_IPS[0], request)
        self.assertRegex(answer, rb"^HTTP/1.1 400 ")
        length = int(re.search(rb"Content-Length: (\d+)", answer)[1])
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), length)

    async def test_ambiguous_framing_reaches_no_upstream(self):
        """Each is answered with 400 or a closed connection; no upstream receives it."""
        length = b"Content-Length: %d" % len(SMUGGLED)
        cases = [
            ("both framings", post(length, CHUNKED, body=SMUGGLED)),
            ("both, other order", post(CHUNKED, length, body=SMUGGLED)),
            ("two lengths", post(b"Content-Length: 0", length, body=SMUGGLED)),
            ("list of lengths", post(b"Content-Length: 5, 5", body=b"abcde")),
            ("signed length", post(b"Content-Length: +5", body=b"abcde")),
            ("negative length", post(b"Content-Length: -5", body=b"abcde")),
            ("length with a word", post(b"Content-Length: 5x", body=b"abcde")),
            ("space before colon", post(b"Transfer-Encoding : chunked", body=SMUGGLED)),
            ("unknown coding", post(b"Transfer-Encoding: xchunked", body=SMUGGLED)),
            ("chunked not last", post(CHUNKED + b", identity", body=SMUGGLED)),
            ("chunked twice", post(CHUNKED, CHUNKED, body=SMUGGLED)),
            ("folded line", post(b"X-A: 1\r\n " + CHUNKED, body=SMUGGLED)),
            ("line without a colon", post(b"Nonsense", body=b"")),
            ("bare LF", post(b"X-A: 1\n" + CHUNKED, body=SMUGGLED)),
            ("bare CR", post(b"X-A: 1\rX-B: 2", body=b"")),
            ("NUL", post(b"X-A: 1\x00", body=b"")),
            ("chunk size signed", post(CHUNKED, body=b"+5\r\nabcde\r\n0\r\n\r\n")),
            ("chunk size hex sign", post(CHUNKED, body=b"0x5\r\nabcde\r\n0\r\n\r\n")),
            ("chunk too long", post(CHUNKED, body=b"2\r\nabcde\r\n" + SMUGGLED)),
            ("no version", b"GET /view/outer\r\n\r\n" + INNER),
            ("version 9", b"GET /view/outer HTTP/9.1\r\n" + HEAD + b"\r\n" + INNER),
            ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
        ]
        for name, data in cases:
            with self.subTest(name):
                answer = await self.site.send_raw(ENTRY_IPS[0], data)
                self.assertIn(answer[:12], (b"", b"HTTP/1.1 400", b"HTTP/1.0 400"))
                answers = re.findall(rb"HTTP/1\.[01] \d{3}", answer)
                self.assertEqual(len(answers), int(bool(answer)), answer)
        self.assertEqual(self.plain.received, [])
        answer = await self.site.send(ENTRY_IPS[0], "GET", "/view/1")
        self.assertEqual(answer.status, 200)

    async def test_body_is_not_parsed_as_a_request(self):
        """A request inside a body is forwarded as part of the body."""
        length = b"Content-Length: %d" % len(INNER)
        chunk = b"%x\r\n" % len(INNER) + INNER + b"\r\n0\r\n\r\n"
        for name, data in (
            ("length", post(length, body=INNER)),
            ("chunks", post(CHUNKED, body=chunk)),
        ):
            with self.subTest(name):
                self.plain.received.clear()
                answer = await self.site.send_raw(ENTRY_IPS[0], data, until=b"/book")
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                (received,) = self.plain.received
                self.assertEqual(
                    (received.target, received.body), ("/book/outer", INNER)
                )
                self.assertNotIn("transfer-encoding", received.headers)

    async def test_repeated_headers_are_rejected(self):
        for line in (
            b"Request-Id: 00000000000000bb",
            b"Credential: another",
            b"Host: other.example",
            b"Deadline-Ms: 9000",
            b"Previous-Turn: a\r\nPrevious-Turn: b",
            b"Token-Budget: 1\r\nToken-Budget: 999",
        ):
            with self.subTest(line):
                answer = await self.site.send_raw(
                    ENTRY_IPS[0], post(line), until=b"\r\n\r\n"
                )
                self.assertIn(answer[:12], (b"HTTP/1.1 400", b"HTTP/1.0 400"))
        self.assertEqual(self.plain.received, [])

    async def test_expect_100_continue(self):
        data = post(b"Content-Length: 4", b"Expect: 100-continue")
        answer = await self.site.send_raw(ENTRY_IPS[0], data, until=b"\r\n\r\n")
        self.assertEqual(answer, b"HTTP/1.1 100 Continue\r\n\r\n")
        request = data + b"body"
        answer = await self.site.send_raw(ENTRY_IPS[0], request, until=b"/book")
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(self.plain.received[-1].body, b"body")
        self.assertNotIn("expect", self.plain.received[-1].headers)

    async def test_targets(self):
        """Cases are target, status, and the target that the upstream receives."""
        cases = [
            (b"/view/1?a=b&c", 200, "/view/1?a=b&c"),
            (b"/view/%2e%2e/1", 200, "/view/%2e%2e/1"),
            (b"http://other.example/view/1", 404, None),
            (b"*", 404, None),
            (b"view/1", 404, None),
            (b"//view/1", 404, None),
        ]
        for target, status, forwarded in cases:
            with self.subTest(target):
                self.plain.received.clear()
                data = b"GET " + target + b" HTTP/1.1\r\n" + HEAD + b"\r\n"
                answer = await self.site.send_raw(ENTRY_IPS[0], data, until=b"\r\n\r\n")
                actual = int(answer[9:12])
                self.assertIn(actual, (status, 400) if forwarded is None else (status,))
                self.assertEqual(
                    [each.target for each in self.plain.received],
                    [] if forwarded is None else [forwarded],
                )

    async def test_slow_and_idle_connections_are_closed(self):
        """Cases are name, data, and minimum and maximum seconds until the close."""
        request = b"GET /view/1 HTTP/1.1\r\n" + HEAD + b"\r\n"
        cases = [
            ("nothing", b"", IDLE_SECONDS, IDLE_SECONDS + 2.0),
            ("half a head", request[:40], HEADER_SECONDS, IDLE_SECONDS),
            ("a complete request", request, IDLE_SECONDS, IDLE_SECONDS + 2.0),
        ]
        for name, data, minimum, maximum in cases:
            with self.subTest(name):
                started_at = time.monotonic()
                await self.site.send_raw(ENTRY_IPS[0], data)
                seconds = time.monotonic() - started_at
                self.assertGreaterEqual(seconds, minimum)
                self.assertLess(seconds, maximum)

    async def test_answer_to_a_body_that_is_not_read_closes_its_connection(self):
        """Otherwise the caller uses it again, and the next request gets no answer."""
        cases = [
            ("too long", post(b"Content-Length: 200000", body=bytes(1000)), 413),
            ("no chunk", post(CHUNKED, body=b"zz\r\n"), 400),
        ]
        for name, data, status in cases:
            with self.subTest(name):
                answer = await self.site.send_raw(ENTRY_IPS[0], data)
                head, _, body = answer.partition(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 %d" % status), answer)
                self.assertIn(b"Connection: close", head)
                self.assertTrue(body.endswith(b"}"), answer)

    async def test_incomplete_body_times_out(self):
        """The request ends at the caller's deadline; no upstream receives it."""
        data = post(b"Content-Length: 5", body=b"ab").replace(b"3000", b"500")
        answer = await self.site.send_raw(ENTRY_IPS[0], data, until=b"\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer)
        self.assertEqual(self.plain.received, [])


del PlatformTestCase  # otherwise the loader would run it here as well
