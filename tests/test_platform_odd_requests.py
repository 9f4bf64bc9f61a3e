"""Tests the deployed processes with odd header values of callers and upstreams."""

import re

from standins.scripted_upstream import End, ScriptedUpstream
from tests.platform_site import KEY
from tests.test_platform_processes import ENTRY_IPS, PlatformTestCase

HEADERS = {
    b"Host": b"site.example",
    b"Request-Id": b"00000000000000aa",
    b"Deadline-Ms": b"1500",
    b"Credential": KEY.encode(),
    b"Program-Id": b"p",
    b"Session-Id": b"s",
    b"Program-Deadline-Ms": b"9000",
    b"Token-Budget": b"10000",
    b"Token-Count": b"100,280",
    b"Prompt-Prefix": b"a:10,b:20",
    b"Length-Hint": b"7",
    b"Affinity-Key": b"k",
    b"X-Other": b"x",
}
ODD_HEADER_VALUES = (
    b"",
    b"nan",
    b"inf",
    b"-inf",
    b"1e400",
    b"-1",
    b"1_0",
    b"1" * 19,
    b"1" * 401,
    b"1" * 6000,
    b"\xff\xfe",
    b"\xed\xa0\x80",
    b"\xc3\xa4",
    b"\xd9\xa3",
    b"a:" + b"1" * 400 + b",b:nan,:,::",
    b"\xff:10,\xed\xa0\x80:20",
    b"," * 5000,
    b"1,2,3",
    b'"',
    b"x" * 7000,
)
ECHO = b"Request-Id: 00000000000000aa\r\nResponse-Signature: s\r\n"
UNEXPECTED = re.compile(
    "Crashed|internal error|Unicode|OverflowError|RecursionError|TypeError"
    "|AttributeError|KeyError"
)
"""Log lines of errors that nothing declares."""
LENGTH = ECHO + b"Content-Length: 2\r\n\r\nok"
CHUNKED = ECHO + b"Transfer-Encoding: chunked\r\n\r\n"
LIMIT = b"Server-Limit: "
ODD_ANSWERS = (
    b"HTTP/1.1 200 \xff\xfe\r\n" + LENGTH,
    b"HTTP/1.1 999 odd\r\n" + LENGTH,
    b"HTTP/1.1 2x0 OK\r\n" + LENGTH,
    b"HTTP/1.1 20000000000000000000 OK\r\n\r\n",
    b"HTTP/1.1 000 OK\r\n" + LENGTH,
    b"HTTP/9.9 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 400 + b"\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 6000 + b"\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nContent-Length: nan\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"zz\r\nok\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"f" * 400 + b"\r\nok",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"-2\r\nok\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-\xff: \xfe\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\nX-Text: \xed\xa0\x80\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\nX-Text: a\x00b\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\nContent-Type: \xff;charset=\xfe\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=nan\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + b"9" * 400 + b"\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\n" + LIMIT + b"nan\r\n" + LENGTH,
    b"HTTP/1.1 200 OK\r\n" + LIMIT + b"9" * 400 + b"\r\n" + LENGTH,
    b"HTTP/1.1 503 \r\nNot-Executed: \xff\r\nRetry-After: nan\r\n" + LENGTH,
    b"HTTP/1.1 429 \r\nNot-Executed: 1\r\nRetry-After: 1e400\r\n" + LENGTH,
    b"\x00\xff" * 100,
    b"\r\n\r\n\r\n",
)


def build_request(target, changes):
    """Return the bytes of a request with changed header values."""
    lines = [name + b": " + changes.get(name, value) for name, value in HEADERS.items()]
    head = b"POST " + target + b" HTTP/1.1\r\n" + b"\r\n".join(lines)
    return head + b"\r\nConnection: close\r\nContent-Length: 1\r\n\r\nA"


class OddHeadersTest(PlatformTestCase):
    async def check_processes(self):
        answer = await self.site.send(ENTRY_IPS[0], "GET", "/view/1")
        self.assertEqual(answer.status, 200)
        self.assertTrue(await self.turns_are_served())
        for name in ("entry-1", "entry-2", "copy-1", "copy-2", "copy-3", "copy-4"):
            self.assertIsNone(self.site.process(name).poll(), name)
            self.assertNotRegex(self.site.read_log(name), UNEXPECTED)

    async def test_odd_values_of_callers_cost_their_request_alone(self):
        """Each is answered, or the connection ends, and never with status 500."""
        for name in HEADERS:
            for value in ODD_HEADER_VALUES:
                for target in (b"/chat/x", b"/book/x"):
                    request = build_request(target, {name: value})
                    answer = await self.site.send_raw(ENTRY_IPS[0], request)
                    with self.subTest(name, value=value[:20], target=target):
                        self.assertNotEqual(answer[9:12], b"500", answer[:400])
        for target in (b"/book/\xff", b"/book/\xed\xa0\x80", b"/book/x?\xff", b"\xff"):
            request = build_request(target, {})
            answer = await self.site.send_raw(ENTRY_IPS[0], request)
            with self.subTest(target):
                self.assertNotEqual(answer[9:12], b"500", answer[:400])
        await self.check_processes()

    async def test_odd_answers_of_upstreams_cost_their_request_alone(self):
        upstream = ScriptedUpstream()
        address = await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        entry = {**self.plain.describe("plain"), "address": address}
        self.site.store.put("servers", "i-odd", entry)
        self.site.store.remove("servers", self.plain.name)
        for answer in ODD_ANSWERS:
            upstream.steps = (answer, End.CLOSE)
            upstream.requests = 0
            while not upstream.requests:
                received = await self.site.send_raw(
                    ENTRY_IPS[0], build_request(b"/book/x", {})
                )
                with self.subTest(answer[:60]):
                    self.assertNotEqual(received[9:12], b"500", received[:400])
        self.site.store.put("servers", self.plain.name, self.plain.describe("plain"))
        self.site.store.remove("servers", "i-odd")
        await self.site.wait_until(self.is_plain_asked)
        await self.check_processes()

    async def is_plain_asked(self):
        answer = await self.site.send(ENTRY_IPS[0], "GET", "/view/1")
        return answer.status == 200


del PlatformTestCase  # otherwise the loader would run it here as well
