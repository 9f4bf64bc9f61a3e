"""Runs the deployed programs on loopback addresses, with a store, servers and clients.

The programs are separate processes, started with the commands of the deploy file. The
store is the project's stand-in; servers and clients are the small ones below.
"""

import asyncio
import contextlib
import itertools
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from aiohttp import web  # noqa: E402

from standins.site_store import SiteStore  # noqa: E402

DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses: the rule held, it was broken, the case could not run."""
LIMIT_SECONDS = 110
"""A case ends by itself before the 120 s that a script may take."""
BEAT_SECONDS = 1.2
START_SECONDS = 25.0
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "config-apply-ms": 2000,
    "strict-revocation": "true",
    "revoke-ms": 5000,
    "quota-window-s": 5,
    "quota-overage": 0.1,
    "quota-slack": 20,
    "recover-s": 12,
    "ttl_max_s": 5,
}
HOST_NAME = "site.example"
KEY = "key-of-the-tenant"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case takes place."""


class CaseFailed(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to the ``record.txt`` of a case."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Received:
    """A request as a server received it."""

    server: str
    method: str
    target: str
    headers: dict
    body: bytes
    at: float
    ran: bool = False
    state: str = ""


@dataclass
class Answer:
    """An answer as a client received it; status 0 if the channel ended before."""

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    at: float = 0.0

    @property
    def events(self):
        """int: Complete events in the body."""
        return self.body.count(b"\n\n")


class Server:
    """A server of a service: plain, or one that streams events.

    Parameters
    ----------
    site : Site
        The site, in whose store it registers.
    service, name, ip : str
        Its service, its id and its address.
    events : int
        Events of an answer; 0 for a plain service.
    gap, work : float
        Seconds before each event, and before the head of an answer.
    slots : int
        Requests that run at once; further ones wait.
    framed : bool
        Answers have a length or chunks; others end with their channel.
    """

    def __init__(
        self,
        site,
        service,
        name,
        ip,
        *,
        events=0,
        gap=0.05,
        work=0.02,
        slots=8,
        framed=True,
    ):
        self._site = site
        self._ip = ip
        self._server = None
        self._beat = None
        self._writers = set()
        self._slots = asyncio.Semaphore(slots)
        self._starts = itertools.count(1)
        self.service, self.base_name, self.name = service, name, name
        self.events, self.gap, self.work, self.slots = events, gap, work, slots
        self.framed = framed
        self.port = 0
        self.state = "ready"
        self.received = []

    async def start(self):
        """Listen and register, as a new run with an id of its own."""
        number = next(self._starts)
        self.name = f"{self.base_name}-{number}"
        self.state = "ready"
        self._server = await asyncio.start_server(self._serve, self._ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self._beat = asyncio.ensure_future(self._register())
        self._site.record(f"server {self.name} of {self.service} starts")

    async def crash(self):
        """End like a killed process: all sockets are closed, the entry lapses."""
        self._site.record(f"server {self.name} crashes")
        self._server.close()
        self._beat.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        name = self.name
        loop = asyncio.get_running_loop()
        loop.call_later(3 * BEAT_SECONDS, self._site.remove_server, name)

    async def leave(self, *, serve_seconds):
        """End as planned: report it, go on serving, stop accepting, end all answers."""
        self.state = "draining"
        self._put_entry()
        self._site.record(f"server {self.name} reports that it is draining")
        await asyncio.sleep(serve_seconds)
        self._server.close()
        self._site.record(f"server {self.name} accepts no more channels")
        while any(each.ran and not each.state for each in self.received):
            await asyncio.sleep(0.01)
        self._beat.cancel()
        self._site.remove_server(self.name)
        for writer in list(self._writers):
            writer.close()
        self._site.record(f"server {self.name} has ended")

    async def _register(self):
        while True:
            self._put_entry()
            await asyncio.sleep(BEAT_SECONDS)

    def _put_entry(self):
        self._sequence += 1
        self._site.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self._ip}:{self.port}",
                "zone": "z1",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        first, headers = parse_head(head)
        method, target, _ = first.split(" ", 2)
        body = await read_body(reader, headers)
        request = Received(self.name, method, target, headers, body, time.monotonic())
        self.received.append(request)
        self._site.runs.append(request)
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        async with self._slots:
            request.ran = True
            self._site.record(f"{self.name} runs {request_id} {method} {target}")
            await asyncio.sleep(self.work)
            return await self._answer(request, request_id, writer)

    async def _answer(self, request, request_id, writer):
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.name}.{request_id}",
        ]
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        if not self.framed:
            lines.append("Connection: close")
        if not self.events:
            body = f"answer of {self.name} to {request_id}\n".encode()
            if self.framed:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await self._end(request, writer)
        lines.append("Content-Type: text/event-stream")
        if self.framed:
            lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.gap)
            if writer.transport.is_closing():
                request.state = f"cut after {number - 1} events"
                return False
            event = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
            if self.framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
        if self.framed:
            writer.write(b"0\r\n\r\n")
        return await self._end(request, writer)

    async def _end(self, request, writer):
        """End an answer; return whether the channel is kept."""
        await writer.drain()
        if not self.framed:
            writer.close()
            await writer.wait_closed()
        request.state = "answered"
        request_id = request.headers.get("request-id", "")
        self._site.record(f"{self.name} has answered {request_id} whole")
        return self.framed


class Site:
    """The programs of a small deployment, the store, servers and a client.

    Parameters
    ----------
    record_path : str or Path
        File for the record of the case.
    settings : dict of str to str, optional
        Further lines of all settings files.
    """

    def __init__(self, record_path, *, settings=()):
        self.record = Record(record_path)
        self.store = SiteStore()
        self.servers = []
        self.runs = []
        self.processes = {}
        self.hosts = {}
        self._settings = dict(settings)
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._port = find_ports(f"{self._net}.1", 4)
        self._ids = itertools.count(1)
        self._run_id = random.getrandbits(32)
        self._runner = None
        self._version = 0

    async def start(self, *, entries, histories, configuration):
        """Start the store, the programs; wait until all entry hosts are ready."""
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, f"{self._net}.200", 0)
        await site.start()
        self._store_address = "{}:{}".format(*self._runner.addresses[0])
        self.configure(configuration)
        for number in range(1, histories + 1):
            self.start_host(f"history-{number}", "history", number + 100, number)
        for number in range(1, entries + 1):
            self.start_host(f"entry-{number}", "entry", number, number)
        await self.wait_ready()

    def configure(self, configuration):
        """Write a new version of the desired state."""
        self._version += 3
        spec = {"version": self._version, **configuration}
        self.store.put("config", "main", spec)
        self.record(f"desired state {self._version} is acknowledged")

    def remove_server(self, name):
        """Remove the entry of a server that has been silent."""
        if self.store.read("servers", name) is not None:
            self.store.remove("servers", name)

    async def add_server(self, service, number, **options):
        """Start a server; return it."""
        ip = f"{self._net}.{210 + number % 40}"
        server = Server(self, service, f"{service}-{number}", ip, **options)
        self.servers.append(server)
        await server.start()
        return server

    def start_host(self, name, role, address, zone, *, bootstrap=True):
        """Start a program, or start it again."""
        ip = f"{self._net}.{address}"
        self.hosts[name] = ip
        folder = self._folder / name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        port = self._port
        fields = {
            "node": name,
            "role": role,
            "machine-class": "front" if role == "entry" else "store",
            "ip": ip,
            "zone": f"z{zone}",
            "region": "r1",
            **{f"zones.z{each}": "r1" for each in range(1, 5)},
            "port-range": f"{port},{port}",
            "seeds": f"{self._net}.1:{port}",
            "bootstrap": str(bootstrap).lower(),
            "in-tolerance": str(role == "history").lower(),
            "limits.cpu-share": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "150",
            "limits.max-fds": "4100",
            "heartbeat-ms": str(int(BEAT_SECONDS * 1000)),
            "fault-tolerance.machines": "1",
            "fault-tolerance.zones": "0",
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
            "provider.address": self._store_address,
            "provider.form": "objects",
            **self._settings,
        }
        if role == "entry":
            fields["listen.front"] = f"{ip}:{port + 1}"
            fields["listen.ready"] = f"{ip}:{port + 2}"
            fields["listen.directory"] = f"{ip}:{port + 3}"
        else:
            fields["data-dir"] = str(folder / "data")
        path = folder / "settings.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))
        environ = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["SAPPHIREYARD_NODE_FILE"] = str(path)
        with open(folder / "log", "ab") as output:
            self.processes[name] = subprocess.Popen(
                DEPLOY["roles"][role]["run"].split(),
                cwd=ROOT,
                env=environ,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record(f"{name} starts")

    def read_log(self, name):
        """Return what a program has written."""
        return (self._folder / name / "log").read_text()

    def signal(self, name, number):
        """Send a signal to a program."""
        self.record(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a program."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def list_ended(self):
        """Return the programs that are not running."""
        return [n for n, each in self.processes.items() if each.poll() is not None]

    async def wait_ready(self, *names):
        """Wait until entry hosts are ready; all of them by default."""
        names = names or [name for name in self.hosts if name.startswith("entry")]
        deadline = time.monotonic() + START_SECONDS
        for name in names:
            while not await self._is_ready(self.hosts[name]):
                if time.monotonic() > deadline:
                    raise CaseFailed(
                        f"{name} is not ready: {self.read_log(name)[-800:]}"
                    )
                await asyncio.sleep(0.1)
        self.record("entry hosts are ready")

    async def _is_ready(self, ip):
        with contextlib.suppress(OSError):
            answer = await send(ip, self._port + 2, "GET", "/v1/ready", {"Host": ip})
            return answer.status == 200
        return False

    def has_run(self, request_id):
        """Return whether a server has begun to run an attempt."""
        return any(
            r.ran and r.headers.get("request-id") == request_id for r in self.runs
        )

    async def wait_running(self, count, servers=None):
        """Wait until servers, all of them by default, run so many requests."""
        deadline = time.monotonic() + START_SECONDS
        while True:
            names = {each.name for each in servers or self.servers}
            runs = [r for r in self.runs if r.ran and not r.state and r.server in names]
            if len(runs) >= count:
                return
            if time.monotonic() > deadline:
                raise CaseFailed(f"{len(runs)} requests run, {count} are needed")
            await asyncio.sleep(0.02)

    def next_id(self):
        """Return a new id of a client's attempt."""
        return f"{self._run_id:08x}{next(self._ids):08x}"

    async def request(
        self, name, method, target, *, body=b"", key=KEY, milliseconds=3000, **headers
    ):
        """Send one attempt to an entry host on a new channel.

        `headers` are named with underscores. Returns the id and the `Answer`.
        """
        request_id = self.next_id()
        sent = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(milliseconds),
            **{k.replace("_", "-"): str(v) for k, v in headers.items() if v != ""},
        }
        if key:
            sent["Credential"] = key
        self.record(f"client sends {request_id} {method} {target} to {name}")
        ip = self.hosts[name]
        try:
            async with asyncio.timeout(milliseconds / 1000 + 1):
                answer = await send(ip, self._port + 1, method, target, sent, body)
        except (OSError, TimeoutError) as error:
            answer = Answer(0, at=time.monotonic())
            self.record(f"client: {request_id} failed: {error!r}")
        text = "complete" if answer.complete else "broken off"
        self.record(
            f"client got {answer.status} for {request_id}, {text},"
            f" {len(answer.body)} bytes"
            + ("" if answer.status == 200 else f" {answer.body[:160]!r}")
        )
        return request_id, answer

    async def open_channel(self, name):
        """Return reader and writer of a new channel to an entry host."""
        return await asyncio.open_connection(self.hosts[name], self._port + 1)

    async def stop(self):
        """Kill all programs and remove what they have written."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            server._beat.cancel()
            server._server.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if os.environ.get("KEEP"):
            print(f"logs in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def find_ports(ip, count):
    """Return the first of several free ports in a row."""
    while True:
        first = random.randint(20000, 28000)
        sockets = []
        try:
            for port in range(first, first + count):
                each = socket.socket()
                sockets.append(each)
                each.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


def parse_head(head):
    """Return the first line of a head and its headers in lower case."""
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length or comes in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return b"".join(parts)


def build_request(method, target, headers, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def receive(reader):
    """Return the next `Answer` on a channel."""
    answer = Answer(0)
    try:
        first, answer.headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    answer.at = time.monotonic()
    return answer


async def send(ip, port, method, target, headers, body=b""):
    """Send a request on a new channel; return the `Answer`."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(build_request(method, target, headers, body))
        await writer.drain()
        return await receive(reader)
    finally:
        writer.close()


def build_configuration(**changes):
    """Return a desired state without its version: a small deployment."""
    common = {"hostname": HOST_NAME, "public": False, "session-affinity": True}
    turns = {
        **common,
        "kind": "streaming",
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "gap-aim-ms": 150,
        "priority": 1,
        "service": "engine",
        "max-attempts": 2,
        "retain": True,
        "retention-s": 60.0,
        "resumable": False,
    }
    plain = {
        **common,
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        "priority": 2,
        "service": "plain",
        "max-attempts": 2,
        "retain": False,
    }
    configuration = {
        "routes": [
            {**turns, "name": "chat", "path-prefix": "/chat/"},
            {**plain, "name": "view", "path-prefix": "/view/", "kind": "idempotent"},
            {
                **plain,
                "name": "book",
                "path-prefix": "/book/",
                "kind": "non_idempotent",
            },
        ],
        "services": [
            {
                "name": "engine",
                "health-path": "/health",
                "max-conns": 140,
                "engine": {
                    "slots": 8,
                    "kv-capacity-tokens": 97418,
                    "tokens-per-event": 14,
                },
            },
            {"name": "plain", "health-path": "/health", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "tenant", "api-keys": [KEY], "priority": 1, "rate-per-s": 0}
        ],
    }
    return {**configuration, **changes}


def run_case(case, record_path, **options):
    """Run ``await case(site)``, which returns whether the rule held; exit."""
    try:
        status = asyncio.run(_run_case(case, record_path, options))
    except BaseException as error:  # a failed start or end says nothing of the rule
        print(f"the case could not run: {error!r}")
        status = NOT_RUN
    sys.exit(status)


async def _run_case(case, record_path, options):
    site = Site(record_path, **options)
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            held = await case(site)
        text = "the rule held" if held else "THE RULE IS BROKEN"
        status = HELD if held else BROKEN
    except (Exception, asyncio.CancelledError) as error:
        text, status = f"the case could not run: {error!r}", NOT_RUN
    finally:
        await site.stop()
    site.record(text)
    print(text)
    return status
