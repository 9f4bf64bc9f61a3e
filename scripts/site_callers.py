"""Callers of the platform's deployment that keep their connections open."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from time import monotonic

from tests.platform_site import KEY

PATIENCE_SECONDS = 3.0
"""Time that callers wait for an answer."""
CONNECT_SECONDS = 1.0
RESOLVE_SECONDS = 1.0
MAX_TRIES = 4
MAX_TURN_TRIES = 3
PAUSE_SECONDS = 0.15
LONG_KEEP_FACTOR = 3
"""Some callers keep an answer of the directory that many times as long."""
REFUSED = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
REPEATABLE = "view"
TURN = "chat"
KINDS = (REPEATABLE, "book", "live")


@dataclass
class Attempt:
    """One attempt of a caller, as seen on its socket.

    Attributes
    ----------
    sent_at, ended_at : float
        Monotonic seconds at which its last byte was written and its answer ended.
    complete, gave_up : bool
        Whether the answer ended as complete; whether the caller ended the wait.
    expected : bytes
        Body that an upstream has to receive.
    after : str
        The turn that it continues.
    """

    request_id: str
    kind: str
    ip: str
    method: str
    target: str
    body: bytes = b""
    expected: bytes = b""
    after: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    headers: dict = field(default_factory=dict)
    answer: bytes = b""
    complete: bool = False
    gave_up: bool = False

    @property
    def served(self):
        """bool: Whether the answer is a complete success."""
        return self.complete and self.status == 200

    @property
    def output(self):
        """bytes: The data of the events of a stream, each followed by a line feed."""
        lines = self.answer.split(b"\n")
        return b"".join(line[6:] + b"\n" for line in lines if line[:6] == b"data: ")


class Channel:
    """One connection of a caller to an entry host."""

    def __init__(self, ip, reader, writer):
        self.ip = ip
        self._reader = reader
        self._writer = writer
        self.usable = True

    @classmethod
    async def open(cls, ip, port):
        async with asyncio.timeout(CONNECT_SECONDS):
            return cls(ip, *await asyncio.open_connection(ip, port, limit=2**20))

    async def exchange(self, attempt, headers, *, seconds=PATIENCE_SECONDS):
        """Send a request and receive its answer."""
        lines = [f"{attempt.method} {attempt.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(attempt.body)}")
        attempt.sent_at = monotonic()
        try:
            async with asyncio.timeout(seconds):
                self._writer.write("\r\n".join([*lines, "", ""]).encode())
                self._writer.write(attempt.body)
                await self._receive(attempt)
        except TimeoutError:
            attempt.gave_up = True
        except (OSError, EOFError, ValueError):
            pass  # the connection ended, and the attempt is not complete
        attempt.ended_at = monotonic()
        closing = attempt.headers.get("connection", "").lower() == "close"
        if closing or not attempt.complete:
            self.close()

    async def _receive(self, attempt):
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        attempt.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            attempt.headers[name.strip().lower()] = value.strip()
        if "chunked" in attempt.headers.get("transfer-encoding", ""):
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                attempt.answer += await self._reader.readexactly(size)
                await self._reader.readexactly(2)
            await self._reader.readexactly(2)
        else:
            length = int(attempt.headers["content-length"])
            attempt.answer = await self._reader.readexactly(length)
        attempt.complete = True

    def close(self):
        self.usable = False
        self._writer.close()


class Traffic:
    """All callers of a run, and their attempts in the order in which they ended.

    Parameters
    ----------
    site : PlatformSite
        The deployment.
    ips : list of str
        Addresses of the entry hosts.
    seed : int
        Fixes what callers do.

    Attributes
    ----------
    probes : set of str
        Ids of the requests that `probe` has sent.
    """

    def __init__(self, site, ips, *, seed):
        self.site = site
        self.ips = ips
        self.attempts = []
        self.probes = set()
        self.stopping = False
        self._seed = seed
        self._tasks = []

    def start(self, callers):
        """Start callers; one half keeps its connections until they are closed."""
        for number in range(callers):
            caller = Caller(self, random.Random(f"caller {self._seed} {number}"))
            caller.keeps_connections = number % 2 == 0
            caller.keep_factor = LONG_KEEP_FACTOR if number % 3 == 0 else 1
            self._tasks.append(asyncio.ensure_future(caller.run()))

    async def stop(self):
        """Stop once the attempts under way have ended."""
        self.stopping = True
        await asyncio.gather(*self._tasks)

    def build_attempt(self, kind, ip, **fields):
        """Return an `Attempt` with an id of its own."""
        self.site.request_count += 1
        request_id = f"{self.site.request_count:016x}"
        method = "GET" if kind == REPEATABLE else "POST"
        target = f"/{kind}/{request_id}"
        return Attempt(request_id, kind, ip, method, target, **fields)

    async def probe(self, ip, path):
        """Send a request to one host on a connection of its own."""
        return await self._get(ip, self.site.caller_port, path, PATIENCE_SECONDS)

    async def resolve(self, ip):
        """Return the answer of a host's directory; empty if there is none."""
        path = "/v1/resolve?name=site.example"
        port = self.site.directory_port
        attempt = await self._get(ip, port, path, RESOLVE_SECONDS)
        return json.loads(attempt.answer) if attempt.served else {}

    async def _get(self, ip, port, path, seconds):
        attempt = self.build_attempt(REPEATABLE, ip)
        attempt.target = path
        self.probes.add(attempt.request_id)
        try:
            channel = await Channel.open(ip, port)
        except (OSError, TimeoutError):
            return attempt
        await channel.exchange(attempt, build_headers(attempt), seconds=seconds)
        channel.close()
        return attempt

    def describe(self):
        """Return the counts of answers in one line."""
        counts = {}
        for attempt in self.attempts:
            status = attempt.status if attempt.complete else "none"
            counts[status] = counts.get(status, 0) + 1
        return ", ".join(f"{status}: {n}" for status, n in counts.items())


def build_headers(attempt):
    """Return the headers that each request has."""
    return {
        "Host": "site.example",
        "Request-Id": attempt.request_id,
        "Deadline-Ms": str(int(PATIENCE_SECONDS * 1000)),
        "Credential": KEY,
    }


class Caller:
    """Runs programs of turns and calls, one request at a time."""

    def __init__(self, traffic, rng):
        self._traffic = traffic
        self._random = rng
        self._addresses = []
        self._resolve_at = 0.0
        self._failed = set()
        self._channel = None
        self.keeps_connections = False
        self.keep_factor = 1

    async def run(self):
        """Run one program after the other."""
        while not self._traffic.stopping:
            await self._run_program()
        if self._channel is not None:
            self._channel.close()

    async def _run_program(self):
        program = f"p{self._random.getrandbits(48):x}"
        turns = [("", b"")]
        for number in range(self._random.randint(2, 6)):
            # Usually the newest turn; some turns are continued twice.
            after, text = turns[-1 if self._random.random() < 0.8 else 0]
            turn = None
            for _ in range(MAX_TURN_TRIES):
                body = f"{program} input {number}\n".encode()
                turn = await self._ask(
                    TURN, program, body=body, expected=text + body, after=after
                )
                if turn is None or turn.served or self._traffic.stopping:
                    break
            if turn is None or not turn.served:
                return
            turns.append((turn.request_id, turn.expected + turn.output))
            for _ in range(self._random.randint(1, 3)):
                kind = self._random.choice(KINDS)
                body = b"" if kind == REPEATABLE else b"a call"
                await self._ask(kind, program, body=body, expected=body)
                await asyncio.sleep(self._random.uniform(0, PAUSE_SECONDS))

    async def _ask(self, kind, program, **fields):
        """Send a request until it is served or may not be repeated; return the last."""
        attempt = None
        for _ in range(MAX_TRIES):
            channel = await self._find_channel()
            if channel is None:
                await asyncio.sleep(PAUSE_SECONDS)
                if self._traffic.stopping:
                    break
                continue
            attempt = self._traffic.build_attempt(kind, channel.ip, **fields)
            headers = {**build_headers(attempt), "Program-Id": program}
            if kind == TURN:
                headers |= {
                    "Session-Id": program,
                    "Token-Budget": "1000000",
                    "Token-Count": "100,280",
                    "Program-Deadline-Ms": "30000",
                }
            if attempt.after:
                headers["Previous-Turn"] = attempt.after
            await channel.exchange(attempt, headers)
            self._traffic.attempts.append(attempt)
            if attempt.served or attempt.status in (402, 404, 410):
                return attempt
            if not attempt.complete:
                self._failed.add(attempt.ip)
            if attempt.status in REFUSED:
                seconds = float(attempt.headers.get("retry-after", "0.1"))
                await asyncio.sleep(min(seconds, PATIENCE_SECONDS / 3))
            elif kind != REPEATABLE:
                return attempt
            if self._channel is not None and not self.keeps_connections:
                self._channel.close()
        return attempt

    async def _find_channel(self):
        await self._resolve()
        if self._channel is not None and self._channel.usable:
            return self._channel
        usable = [ip for ip in self._addresses if ip not in self._failed]
        for ip in self._random.sample(usable, len(usable)):
            try:
                self._channel = await Channel.open(ip, self._traffic.site.caller_port)
                return self._channel
            except (OSError, TimeoutError):
                self._failed.add(ip)
        self._failed.clear()
        return None

    async def _resolve(self):
        """Ask up to three directories once the last answer is too old to be kept."""
        if monotonic() < self._resolve_at:
            return
        ips = self._traffic.ips
        for ip in self._random.sample(ips, min(3, len(ips))):
            found = await self._traffic.resolve(ip)
            if not found.get("addresses"):
                continue
            self._addresses = [each.rsplit(":", 1)[0] for each in found["addresses"]]
            self._failed.clear()
            self._resolve_at = monotonic() + found["ttl-s"] * self.keep_factor
            channel = self._channel
            if channel is not None and channel.ip not in self._addresses:
                if not self.keeps_connections:
                    channel.close()
            return
