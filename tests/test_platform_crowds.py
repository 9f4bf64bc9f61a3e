"""Callers that do not behave, at a host with little memory, as real processes.

Nothing enforces the limits of the host here: the tests compare what it keeps with them.
"""

import asyncio
import itertools

from sapphireyard.streams.frames import HEADER, MAX_FRAME_BYTES, FrameKind, encode_frame
from sapphireyard.streams.generated_messages import Hello
from standins.site_upstream import SiteUpstream
from tests.crowds import Crowd, RunningCrowd, Watch
from tests.platform_site import KEY, build_configuration
from tests.test_platform_processes import COPY_IPS, ENTRY_IPS, PlatformTestCase

MEMORY_MB = 110
"""Memory of the hosts; one that serves nobody takes about half of it."""
BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16384
LIMITS = {"max-header-bytes": HEADER_BYTES, "max-body-bytes": BODY_BYTES}
CROWD_SECONDS = 5.0
PAUSE_SECONDS = 0.1
ORDINARY_BODY_BYTES = 1_000_000
ANSWER_BYTES = 3_000_000
PIECE_BYTES = 64 * 1024
CALLERS = 100
MANY_CALLERS = 700
FEW_DESCRIPTORS = 500


def build_head(number, method="POST", target="/book/x", *, key=KEY, fields=()):
    """Return the head of a request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: site.example",
        f"Request-Id: {0xC0000 + number:016x}",
        "Deadline-Ms: 30000",
        f"Credential: {key}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def send_unfinished(size, **options):
    """Return a script: a body with a length that ends a byte before its end."""

    def script(number):
        yield build_head(number, fields=[f"Content-Length: {size}"], **options)
        for start in range(0, size - 1, PIECE_BYTES):
            yield bytes(min(PIECE_BYTES, size - 1 - start))

    return script


def send_chunks(size, *, total=BODY_BYTES - 1, **options):
    """Return a script: a body in chunks of one size, without the last chunk."""

    def script(number):
        yield build_head(number, fields=["Transfer-Encoding: chunked"], **options)
        chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
        batch = max(1, PIECE_BYTES // len(chunk))
        for _ in range(total // size // batch):
            yield chunk * batch
        yield chunk * (total // size % batch)

    return script


def send_endless_chunks(number):
    """Send a body in chunks without end."""
    yield build_head(number, fields=["Transfer-Encoding: chunked"])
    yield from itertools.repeat(b"10000\r\n%s\r\n" % bytes(0x10000))


def send_endless_value(number):
    """Send a head whose last value has no end."""
    yield build_head(number)[:-2] + b"X-Value: "
    yield from itertools.repeat(b"v" * PIECE_BYTES)


def send_endless_lines(number):
    """Send empty lines without end before a request."""
    yield from itertools.repeat(b"\r\n" * (PIECE_BYTES // 2))


def send_line_feeds(number):
    """Send line feeds without end before a request."""
    yield from itertools.repeat(b"\n" * PIECE_BYTES)


def send_endless_extension(number):
    """Send a chunk whose extension has no end."""
    yield build_head(number, fields=["Transfer-Encoding: chunked"]) + b"1;"
    yield from itertools.repeat(b"e" * PIECE_BYTES)


def send_endless_trailers(number):
    """Send trailers without end after a body."""
    yield build_head(number, fields=["Transfer-Encoding: chunked"]) + b"0\r\n"
    yield from itertools.repeat(b"X-Trailer: t\r\n" * (PIECE_BYTES // 14))


def send_large_head(number):
    """Send a head of many fields without its last line."""
    head = build_head(number)[:-2]
    fields = b"".join(b"X-%04d: %s\r\n" % (each, b"v" * 200) for each in range(70))
    yield head + fields


def send_bodies(number):
    """Send requests with bodies one after the other, without end."""
    head = build_head(number, fields=["Content-Length: 100000"])
    yield from itertools.repeat(head + bytes(100_000))


def ask_large_answer(number):
    """Ask for a large answer."""
    yield build_head(number, "GET", "/large/x")


def stay_silent(number):
    """Send nothing."""
    return ()


def send_frames(*payloads, hello=True, endless=False):
    """Return a script of a link between hosts, as a host that nobody knows."""

    def script(number):
        if hello:
            fields = vars(Hello(f"stranger-{number}", 1, 1, 1, 0, 0))
            yield encode_frame(FrameKind.HELLO, 0, "Hello", fields)
        if endless:
            yield from itertools.repeat(payloads[0] * (PIECE_BYTES // len(payloads[0])))
        yield from payloads

    return script


UNFINISHED_FRAME = HEADER.pack(MAX_FRAME_BYTES) + bytes(MAX_FRAME_BYTES - 1)
PING = encode_frame(FrameKind.PING, 0)
REQUEST = encode_frame(FrameKind.REQUEST, 1, "Unknown", {}, 30.0)

BODIES = [
    Crowd("large chunks", CALLERS, send_chunks(BODY_BYTES // 4)),
    Crowd("length", CALLERS, send_unfinished(BODY_BYTES)),
    Crowd("length, again", CALLERS, send_unfinished(BODY_BYTES), again=True),
    Crowd("chunks of 2 bytes", CALLERS, send_chunks(2)),
    Crowd("chunks of a byte", CALLERS, send_chunks(1)),
    Crowd("no end", CALLERS, send_endless_chunks),
    Crowd("unknown key", CALLERS, send_chunks(BODY_BYTES // 4, key="unknown")),
    Crowd("extension", CALLERS, send_endless_extension),
    Crowd("trailers", CALLERS, send_endless_trailers),
]
HEADS = [
    Crowd("endless value", CALLERS, send_endless_value),
    Crowd("endless value, again", CALLERS, send_endless_value, again=True),
    Crowd("empty lines", CALLERS, send_endless_lines),
    Crowd("line feeds", CALLERS, send_line_feeds),
    Crowd("large heads", 3 * MANY_CALLERS, send_large_head),
]
ANSWERS = [
    Crowd("bodies, slow readers", CALLERS, send_bodies, read_bytes=2000),
    Crowd("large answers", CALLERS, ask_large_answer),
]
OTHER_LISTENERS = [
    Crowd("endless value", CALLERS, send_endless_value),
    Crowd("line feeds", CALLERS, send_line_feeds),
    Crowd("no end", CALLERS, send_endless_chunks),
]
SILENT = Crowd("silent", MANY_CALLERS, stay_silent)
LINKS = [
    Crowd("no hello", CALLERS, send_frames(UNFINISHED_FRAME, hello=False)),
    Crowd("unfinished frames", CALLERS, send_frames(UNFINISHED_FRAME)),
    Crowd("pings, no readers", 2 * CALLERS, send_frames(PING, endless=True)),
    Crowd("requests, no readers", CALLERS, send_frames(REQUEST, endless=True)),
]


class CrowdTestCase(PlatformTestCase):
    """Starts a host anew for each crowd.

    Attributes
    ----------
    settings : tuple of str
        Lines of the settings of the host.
    """

    settings = (f"limits.memory-mb={MEMORY_MB}",)

    async def asyncSetUp(self):
        self.entry_options = {"settings": self.settings}
        await super().asyncSetUp()
        large = SiteUpstream("i-large", body=bytes(ANSWER_BYTES))
        await large.start()
        self.site.store.put("servers", large.name, large.describe("large", slots=200))
        self.site.store.put("config", "main", self.build_version())
        await self.site.wait_until(self.large_answers_are_served)

    @staticmethod
    def build_version():
        configuration = build_configuration(2, limits=LIMITS)
        configuration["services"].append({"name": "large", "max-conns": 1000})
        view = configuration["routes"][2]
        large = {"name": "large", "path-prefix": "/large/", "service": "large"}
        configuration["routes"].append({**view, **large})
        configuration["tenants"][0]["rate-per-s"] = 0
        return configuration

    async def large_answers_are_served(self):
        return (await self.site.send(ENTRY_IPS[0], "GET", "/large/1")).status == 200

    async def check(self, crowd, *, name="entry-1", ip=ENTRY_IPS[0], port=None):
        """Check what a host keeps for a crowd, and that it serves others."""
        await self.restart(name, ip)
        process = self.site.process(name)
        address = ip, port or self.site.caller_port
        await self.site.wait_until(lambda: self.is_listening(address))
        with Watch(process.pid, ip) as watch:
            with RunningCrowd(crowd, address):
                await asyncio.sleep(CROWD_SECONDS)
                await self.site.wait_until(self.ordinary_requests_are_served)
            await self.site.wait_until(self.ordinary_requests_are_served)
        self.assertIs(process.poll(), None)
        self.assertLessEqual(watch.memory, MEMORY_MB)
        self.assertLessEqual(watch.descriptors, FEW_DESCRIPTORS + 2 * MANY_CALLERS)
        self.assertNotIn("MemoryError", self.site.read_log(name))
        return watch

    @staticmethod
    async def is_listening(address):
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            return False
        writer.close()
        return True

    async def restart(self, name, ip):
        self.site.kill(name)
        role = "entry" if name.startswith("entry") else "history"
        self.site.start_process(
            name,
            role,
            ip,
            failure_domain=f"d{name[-1]}",
            bootstrap=False,
            settings=self.settings,
        )
        await self.site.wait_ready(ENTRY_IPS[0])
        await self.site.wait_until(self.turns_are_served)
        await self.site.wait_until(self.ordinary_requests_are_served)

    async def ordinary_requests_are_served(self):
        """Return whether a request, one with a body and a turn are served."""
        ip = ENTRY_IPS[0]
        for method, target, body in (
            ("GET", "/view/1", b""),
            ("POST", "/book/1", bytes(ORDINARY_BODY_BYTES)),
        ):
            try:
                answer = await self.site.send(ip, method, target, body=body)
            except OSError:
                return False
            if answer.status != 200:
                await asyncio.sleep(PAUSE_SECONDS)
                return False
        return True


class BodiesTest(CrowdTestCase):
    async def test_bodies_stay_within_the_memory(self):
        for crowd in BODIES:
            with self.subTest(crowd.name):
                await self.check(crowd)


class HeadsTest(CrowdTestCase):
    async def test_heads_stay_within_the_memory(self):
        for crowd in HEADS:
            with self.subTest(crowd.name):
                await self.check(crowd)


class AnswersTest(CrowdTestCase):
    async def test_answers_that_are_not_taken_stay_within_the_memory(self):
        for crowd in ANSWERS:
            with self.subTest(crowd.name):
                await self.check(crowd)


class OtherListenersTest(CrowdTestCase):
    """The readiness checks, the directory and the metrics."""

    async def test_callers_of_other_listeners_stay_within_the_memory(self):
        ports = {
            "ready": self.site.caller_port + 1,
            "directory": self.site.directory_port,
            "metrics": 9464,
        }
        for name, port in ports.items():
            for crowd in OTHER_LISTENERS:
                with self.subTest(f"{name}: {crowd.name}"):
                    await self.check(crowd, port=port)


class DescriptorsTest(CrowdTestCase):
    """More connections than the host has descriptors, as the settings say."""

    settings = (
        f"limits.memory-mb={MEMORY_MB}",
        f"limits.max-fds={FEW_DESCRIPTORS}",
    )

    async def test_open_descriptors_stay_within_the_limit(self):
        ports = {
            "callers": self.site.caller_port,
            "ready": self.site.caller_port + 1,
            "directory": self.site.directory_port,
            "metrics": 9464,
            "links": self.site.caller_port - 1,
        }
        for name, port in ports.items():
            with self.subTest(name):
                watch = await self.check(SILENT, port=port)
                self.assertLessEqual(watch.descriptors, FEW_DESCRIPTORS)


class CalmTest(CrowdTestCase):
    """Single requests at the very limits, at a host that has nothing else to do."""

    async def send(self, *pieces, pause=0.0):
        """Send a request in pieces; return the status of its answer."""
        reader, writer = await asyncio.open_connection(
            ENTRY_IPS[0], self.site.caller_port
        )
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause)
            return int((await reader.readline()).split()[1])
        finally:
            writer.close()

    async def test_a_single_request_inside_the_limits_is_served(self):
        length = f"Content-Length: {BODY_BYTES}"
        chunked = "Transfer-Encoding: chunked"
        head = build_head(1, fields=["Content-Length: 0"])
        path = b"/book/x"
        overhead = len(b"POST  HTTP/1.1\r\n\r\n")
        room = HEADER_BYTES - (len(head) - overhead)
        many = b"a:b\r\n" * (room // 6)  # two bytes are for a space and a line end
        large = b"X-Large: %s\r\n" % (b"v" * (room - len(b"X-Large: \r\n")))
        piece = bytes(BODY_BYTES // 16)
        small = b"1\r\nc\r\n" * (BODY_BYTES // 64)
        cases = [
            ("a large field", (head[:-2] + large + b"\r\n",), 0),
            ("many fields", (head[:-2] + many + b"\r\n",), 0),
            ("a long path", (head.replace(path, path + b"p" * room),), 0),
            ("a large body", (build_head(1, fields=[length]), *[piece] * 16), 0),
            ("a slow body", (build_head(1, fields=[length]), *[piece] * 16), 0.1),
            (
                "chunks of a byte",
                (build_head(1, fields=[chunked]), *[small] * 64, b"0\r\n\r\n"),
                0,
            ),
        ]
        for name, pieces, pause in cases:
            with self.subTest(name):
                self.assertEqual(await self.send(*pieces, pause=pause), 200)


class LinksTest(CrowdTestCase):
    """Links between hosts, to which anyone can connect."""

    async def test_links_stay_within_the_memory(self):
        port = self.site.caller_port - 1
        for name, ip in (("entry-1", ENTRY_IPS[0]), ("copy-1", COPY_IPS[0])):
            for crowd in LINKS:
                with self.subTest(f"{name}: {crowd.name}"):
                    await self.check(crowd, name=name, ip=ip, port=port)
