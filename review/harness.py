"""A small deployment on loopback: the deployed programs, and stand-ins around them.

Each case uses it for its own traffic, disruption and check. The stand-ins behave as the
users' pages say: the platform's store is `standins.site_store`, upstreams and callers
are below.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins.site_store import SiteStore

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_SECONDS = 115
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
HOST_NAME = "review.example"
KEY = "key-of-the-first"
PORTS = ("peer", "front", "ready", "directory")
STORE_IP = "127.0.4.1"


class CannotRun(Exception):
    """The case could not be set up."""


def find_ports(count):
    """Return a base port so that it and the next ones are free on all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 32000)
        probes = []
        try:
            for port in range(base, base + count):
                probe = socket.socket()
                probes.append(probe)
                probe.bind(("", port))
            return base
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free ports")


def build_route(name, kind, service, **changes):
    """Return a route as an operator writes it."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
        "session-affinity": kind == "streaming",
        **changes,
    }


def build_state(routes, *, version=1):
    """Return a desired state with an engine service and a plain one."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engine",
                "max-conns": 140,
                "engine": {
                    "slots": 8,
                    "kv-capacity-tokens": 90000,
                    "tokens-per-event": 14,
                    "pin-ms": 4000.0,
                },
            },
            {"name": "plain", "max-conns": 100},
        ],
        "tenants": [
            {"name": "first", "api-keys": [KEY], "rate-per-s": 400, "burst": 400}
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 60000,
        },
    }


class Record:
    """The lines of `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_at = time.monotonic()

    @property
    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


@dataclass
class Run:
    """A request that an upstream began to work on."""

    request_id: str
    at: float
    method: str
    target: str
    headers: dict
    body: bytes
    ended: str = ""
    arrived_at: float = 0.0


@dataclass
class Upstream:
    """A server of a service: it queues, runs and answers requests.

    It drops a request whose channel closes, checks `Expect-Instance`, echoes
    `Request-Id` and signs its answers. A faulty one sends a share of its answers again,
    some time later.
    """

    name: str
    service: str
    record: Record
    zone: str
    slots: int = 8
    queue: int = 24
    work_seconds: float = 0.05
    events: tuple = ()
    gap_seconds: float = 0.02
    shed_share: float = 0.0
    framed: bool = True
    state: str = "ready"
    extra_share: float = 0.0
    extra_seconds: float = 0.0
    arrived: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    address: str = ""
    ended: bool = False
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)

    async def start(self, ip):
        self._free = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._writers = set()
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=2**20)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self):
        self._server.close()

    def end(self):
        """Close everything in order, as the system does for a process that ends."""
        self.stop()
        self.ended = True
        for writer in self._writers:
            writer.close()

    def describe(self, sequence):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": sequence,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        method, target, headers, body = request
        request_id = headers.get("request-id", "")
        echo = f"Request-Id: {request_id}\r\n"
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{echo}Instance-Id: {self.name}"
                "\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        now = self.record.now
        run = Run(request_id, now, method, target, headers, body, arrived_at=now)
        self.arrived.append(run)
        if self._waiting >= self.queue or random.random() < self.shed_share:
            self.record.write(f"{self.name} sheds {request_id}")
            self._send(
                writer,
                request_id,
                f"HTTP/1.1 503 Service Unavailable\r\n{echo}Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode(),
            )
            return True
        work = asyncio.ensure_future(self._work(run, echo, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        is_done = work.done()
        for task in (work, gone):
            task.cancel()
        await asyncio.wait({work, gone})
        gone.cancelled() or gone.exception()
        if is_done:
            work.result()
            return True
        work.cancelled() or work.exception()
        run.ended = run.ended or "channel closed"
        self.record.write(f"{self.name} drops {request_id}: its channel was closed")
        return False

    async def _work(self, run, echo, writer):
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run.at = self.record.now
            self.runs.append(run)
            self.record.write(
                f"{self.name} runs {run.request_id} {run.method} {run.target}"
                f" body {len(run.body)} bytes"
            )
            signature = f"{echo}Response-Signature: signed-{self.name}\r\n"
            if self.events:
                await self._stream(signature, writer)
            else:
                await asyncio.sleep(self.work_seconds)
                body = f"{self.name} has run {run.request_id}".encode()
                writer.write(
                    f"HTTP/1.1 200 OK\r\n{signature}"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
            run.ended = "answered"
        finally:
            self._free.release()

    def _send(self, writer, request_id, answer):
        """Send an answer, and perhaps a second copy of it later."""
        writer.write(answer)
        if random.random() < self.extra_share:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.extra_seconds, self._repeat, writer, request_id, answer
            )

    def _repeat(self, writer, request_id, answer):
        if not writer.is_closing():
            self.record.write(f"{self.name} sends its answer to {request_id} again")
            writer.write(answer)

    async def _stream(self, signature, writer):
        await asyncio.sleep(self.work_seconds)
        framing = "Transfer-Encoding: chunked\r\n" if self.framed else ""
        writer.write(
            f"HTTP/1.1 200 OK\r\n{signature}Content-Type: text/event-stream\r\n"
            f"{framing}\r\n".encode()
        )
        for number, data in enumerate(self.events, 1):
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if writer.is_closing():
                raise ConnectionError("the server has ended")
            if self.framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self.gap_seconds)
        if self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()


async def read_request(reader):
    """Return method, target, headers and body; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


async def read_chunked(reader):
    """Return the body of a chunked message."""
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


@dataclass
class Answer:
    """How a request ended for its caller; `status` 0 if there was no head."""

    request_id: str
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    connected: bool = True
    sent_at: float = 0.0
    ended_at: float = 0.0


class Channel:
    """One channel of a caller to a front machine."""

    def __init__(self, address, reader, writer):
        self.address = address
        self.reader = reader
        self.writer = writer
        self.usable = True

    @classmethod
    async def open(cls, address):
        ip, port = address.rsplit(":", 1)
        async with asyncio.timeout(1.0):
            return cls(
                address, *await asyncio.open_connection(ip, int(port), limit=2**20)
            )

    async def send(self, record, method, target, headers, body, *, seconds):
        """Send a request; return its `Answer`."""
        answer = Answer(headers["Request-Id"], sent_at=record.now)
        head = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(seconds):
                self.writer.write("\r\n".join([*head, "", ""]).encode() + body)
                await self._receive(answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self.usable = False
        if answer.headers.get("connection", "").lower() == "close":
            self.usable = False
        if not self.usable:
            self.close()
        answer.ended_at = record.now
        return answer

    async def _receive(self, answer):
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            answer.body = await read_chunked(self.reader)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.complete = True

    def close(self):
        self.usable = False
        self.writer.close()


class Site:
    """The processes of a small deployment and its stand-ins.

    Parameters
    ----------
    record_path : Path
        File of the record.
    fronts, stores : int
        Machines with the roles `entry` and `history`, each in a zone of its own.
    """

    def __init__(self, record_path, *, fronts=2, stores=4):
        self.record = Record(record_path)
        self.store = SiteStore()
        self.fronts = {f"front-{n}": f"127.0.1.{n}" for n in range(1, fronts + 1)}
        self.stores = {f"store-{n}": f"127.0.2.{n}" for n in range(1, stores + 1)}
        self.upstreams = []
        self._base = find_ports(len(PORTS))
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._processes = {}
        self._tasks = []
        self._ids = random.Random()
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def port(self, name):
        return self._base + PORTS.index(name)

    def address(self, front, name="front"):
        return f"{self.fronts[front]}:{self.port(name)}"

    async def __aenter__(self):
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, STORE_IP, 0).start()
        self._store_port = self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *error):
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        for upstream in self.upstreams:
            upstream.stop()
        await self._runner.cleanup()
        self._folder.cleanup()

    async def add_upstream(self, service, **options):
        number = len(self.upstreams) + 1
        upstream = Upstream(
            f"i-{number:04x}", service, self.record, f"zone-{number % 4 + 1}", **options
        )
        await upstream.start(f"127.0.3.{number}")
        self.upstreams.append(upstream)
        self._tasks.append(asyncio.ensure_future(self._check_in(upstream)))
        return upstream

    async def _check_in(self, upstream):
        sequence = 0
        while not upstream.ended:
            sequence += 1
            self.store.put("servers", upstream.name, upstream.describe(sequence))
            await asyncio.sleep(1.2)

    def start(self, name, *, bootstrap=False):
        """Start a process with the command of the deploy file."""
        role = "entry" if name in self.fronts else "history"
        ip = (self.fronts | self.stores)[name]
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        path = folder / "settings.conf"
        path.write_text(self._write_settings(name, role, ip, folder, bootstrap))
        command = shlex.split(self._roles[role]["run"])
        command[0] = sys.executable
        environ = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SAPPHIREYARD_NODE_FILE": str(path),
        }
        with open(folder / "log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=output, stderr=output
            )
        self.record.write(f"{name} started")

    def _write_settings(self, name, role, ip, folder, bootstrap):
        zone = name.rsplit("-", 1)[1]
        is_front = role == "entry"
        lines = [
            f"node={name}",
            f"role={role}",
            f"machine-class={'front' if is_front else 'store'}",
            f"serves={'front,directory' if is_front else 'store'}",
            f"ip={ip}",
            f"zone=zone-{zone}",
            "region=here",
            *(f"zones.zone-{n}=here" for n in range(1, 5)),
            f"port-range={self._base},{self._base}",
            f"seeds=127.0.1.1:{self._base}",
            f"bootstrap={str(bootstrap).lower()}",
            f"in-tolerance={str(not is_front).lower()}",
            "limits.cpu-share=1.0",
            "limits.cores=1",
            "limits.memory-mb=150",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            f"limits.disk-mb={0 if is_front else 340}",
            "discovery=platform",
            "entry=directory",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,"
            "quota,platform",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=0",
            "fault-tolerance.regions=0",
            "bounds.seed-lag-s=3",
            "bounds.reuse-after-s=2",
            "bounds.contact-ms=3000",
            "bounds.ack-ms=4000",
            "bounds.catch-up-s=4.3",
            "bounds.drain-ms=2000",
            "bounds.grace-s=8",
            "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=2000",
            "bounds.rollback-slack-ms=250",
            "bounds.max-skew-ms=5000",
            "bounds.strict-revocation=true",
            "bounds.revoke-ms=5000",
            "bounds.quota-window-s=5",
            "bounds.quota-overage=0.1",
            "bounds.quota-slack=20",
            "bounds.recover-s=12",
            "bounds.pass-ms=120",
            "bounds.retry-after-s=0",
            "bounds.deadline-s=10",
            "bounds.settle-ms=1000",
            "bounds.ttl_max_s=5",
            f"provider.address={STORE_IP}:{self._store_port}",
            "provider.form=objects",
            "provider.writes-per-s=400",
            "provider.reads-per-s=2000",
            "provider.history-s=20",
            "provider.value-bytes=1048576",
            "provider.ttl-min-ms=1000",
        ]
        if is_front:
            lines += [f"listen.{each}={ip}:{self.port(each)}" for each in PORTS[1:]]
        else:
            lines.append(f"data-dir={folder / 'data'}")
        return "\n".join(lines) + "\n"

    async def start_all(self):
        """Start all machines for the first time; wait until turns can be served."""
        for name in [*self.fronts, *self.stores]:
            self.start(name, bootstrap=True)
        await self.wait_until(self._all_ready, 25, "the machines are not ready")
        await asyncio.sleep(3.0)

    async def _all_ready(self):
        copies = self.store.read("copies", "main")
        members = json.loads(copies["spec"])["members"] if copies else {}
        if len(members) < len(self.stores):
            return False
        return all([await self.is_ready(front) for front in self.fronts])

    async def is_ready(self, front):
        status, _ = await self.get(self.address(front, "ready"), "/v1/ready")
        return status == 200

    async def get(self, address, path):
        """Return status and body of a GET; status 0 if there is no answer."""
        try:
            channel = await Channel.open(address)
        except (OSError, TimeoutError):
            return 0, b""
        headers = {"Request-Id": "-", "Connection": "close"}
        answer = await channel.send(self.record, "GET", path, headers, b"", seconds=1.0)
        channel.close()
        return (answer.status if answer.complete else 0), answer.body

    async def resolve(self, front):
        """Return the addresses that a front machine's directory tells, or None."""
        path = f"/v1/resolve?name={HOST_NAME}&region=here&zone=zone-1"
        status, body = await self.get(self.address(front, "directory"), path)
        return json.loads(body)["addresses"] if status == 200 else None

    async def wait_until(self, condition, seconds, reason):
        deadline = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > deadline:
                raise CannotRun(reason)
            await asyncio.sleep(0.1)

    def signal(self, name, number):
        self._processes[name].send_signal(number)
        self.record.write(f"{name} gets {signal.Signals(number).name}")

    def kill(self, *names):
        """Kill processes at the same moment."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self._processes[name].wait()

    def process(self, name):
        return self._processes[name]

    def read_log(self, name):
        return (Path(self._folder.name) / name / "log").read_text()

    def new_id(self):
        return f"{self._ids.getrandbits(64):016x}"

    async def send(self, front, method, target, *, body=b"", seconds=3.0, **headers):
        """Send a request on a new channel, as callers do when they retry."""
        fields = self.build_headers(seconds, **headers)
        try:
            channel = await Channel.open(self.address(front))
        except (OSError, TimeoutError):
            return Answer(fields["Request-Id"], connected=False)
        answer = await channel.send(
            self.record, method, target, fields, body, seconds=seconds
        )
        channel.close()
        self.record.write(
            f"{fields['Request-Id']} {method} {target} at {front}: status"
            f" {answer.status}, {'whole' if answer.complete else 'not whole'},"
            f" {answer.ended_at - answer.sent_at:.3f} s"
            + (f" {answer.body[:160]!r}" if answer.status >= 400 else "")
        )
        return answer

    def build_headers(self, seconds, **headers):
        return {
            "Request-Id": self.new_id(),
            "Credential": KEY,
            "Deadline-Ms": str(int(seconds * 1000)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }

    def build_turn_headers(
        self, *, previous="", program="", program_ms=9000, tokens=200
    ):
        program = program or self.new_id()[:6]
        headers = {
            "Model": "m",
            "Program-Id": program,
            "Session-Id": f"{program}1",
            "Program-Deadline-Ms": str(int(program_ms)),
            "Token-Budget": "100000",
            "Token-Count": f"{tokens},280",
            "Prompt-Prefix": f"{self.new_id()[:8]}:{tokens}",
        }
        if previous:
            headers["Previous-Turn"] = previous
        return headers

    async def send_turn(self, front, text, **options):
        """Send a turn of a program on a new channel."""
        headers = self.build_turn_headers(**options)
        return await self.send(front, "POST", "/chat/x", body=text, **headers)


def main(folder, case):
    """Run a case, a coroutine function of the folder; exit with its result."""
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_run_limited(folder, case))
    except CannotRun as error:
        print(f"could not run: {error}")
    except TimeoutError:
        print("could not run: out of time")
    print({BROKEN: "broken", HELD: "held", COULD_NOT_RUN: "not run"}[code])
    sys.exit(code)


async def _run_limited(folder, case):
    async with asyncio.timeout(LIMIT_SECONDS):
        return await case(Path(folder))
