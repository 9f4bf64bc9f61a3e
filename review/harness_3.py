"""A small installation on loopback addresses, for the scripts of cases 11 to 15.

Starts the project's programs with the commands of the deploy file, each with a settings
file of its own, before the project's stand-in of the platform's store and the servers
of servers_3.py. All clients, disturbances and checks are in the cases.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

REVIEW = Path(__file__).resolve().parent
ROOT = REVIEW.parent
sys.path.insert(0, str(ROOT))

from aiohttp import web  # noqa: E402

from standins.site_store import SiteStore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HOST = "site.example"
KEY = "key-of-the-tenant"
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4")
READY_SECONDS = 25.0
CONTACT_SECONDS = 3.0
CATCH_UP_SECONDS = 4.3


class CannotRun(Exception):
    """The installation did not start, so that nothing was tested."""


@dataclass
class Answer:
    """An answer as its client saw it; `complete` by the framing of HTTP."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    @property
    def served(self):
        """bool: Whether it is a whole success with the server's digest."""
        signed = bool(self.headers.get("response-signature"))
        return self.complete and self.status == 200 and signed


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.time()
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text, at=None):
        """Add a line with the seconds since the start."""
        at = time.time() if at is None else at
        self._file.write(f"{at - self._began:8.3f} {text}\n")
        self._file.flush()

    def note_servers(self, logs):
        """Add what servers have logged, in the order of time."""
        entries = []
        for log in logs:
            if log.exists():
                entries += map(json.loads, log.read_text().splitlines())
        self.note("what servers received, ran and sent:")
        for entry in sorted(entries, key=lambda each: each["at"]):
            at = entry.pop("at")
            self.note(json.dumps(entry), at)
        return entries


def find_ports(count):
    """Return the first of some ports in a row that are free on all addresses."""
    while True:
        first = 20000 + secrets.randbelow(10000)
        probes = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    probes.append(probe)
                    probe.bind(("", port))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()


class Site:
    """Machines of the system, servers, and the platform's store."""

    def __init__(self, record, *, retention=60.0, timeout_ms=6000, gap_ms=150):
        self.record = record
        self.store = SiteStore()
        self.version = 1
        self.retention = retention
        self.timeout_ms = timeout_ms
        self.gap_ms = gap_ms
        self._folder = tempfile.TemporaryDirectory()
        self._port = find_ports(6)
        self._runner = None
        self._store_port = 0
        self._machines = {}
        self._processes = {}
        self._server_logs = []
        self._server_port = find_ports(20)

    async def start(self, *, entries=3, stores=4):
        """Start the platform's store and all machines, as at the very beginning."""
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self._store_port = self._runner.addresses[0][1]
        self.store.put("config", "main", self.build_configuration())
        for number in range(1, stores + 1):
            zone = ZONES[(number - 1) % 4]
            self._add(f"store-{number}", "history", f"127.61.{number}.1", zone)
        for number in range(1, entries + 1):
            zone = ZONES[(number - 1) % 4]
            self._add(f"front-{number}", "entry", f"127.62.{number}.1", zone)
        for name in self._machines:
            self.start_machine(name, bootstrap=True)

    def _add(self, name, role, ip, zone):
        self._machines[name] = (role, ip, zone)

    def start_machine(self, name, *, bootstrap=False):
        """Start the process of a machine with the command of the deploy file."""
        role, ip, zone = self._machines[name]
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        settings = folder / "settings.conf"
        settings.write_text(self._build_settings(name, role, ip, zone, bootstrap))
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["SAPPHIREYARD_NODE_FILE"] = str(settings)
        with open(folder / "log", "ab") as log:
            self._processes[name] = subprocess.Popen(
                DEPLOY["roles"][role]["run"].split(),
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _build_settings(self, name, role, ip, zone, bootstrap):
        port = self._port
        is_entry = role == "entry"
        lines = [
            f"node={name}",
            f"role={role}",
            f"machine-class={'front' if is_entry else 'store'}",
            f"serves={'front,directory' if is_entry else 'store'}",
            f"ip={ip}",
            f"zone={zone}",
            "region=region-1",
            *(f"zones.{each}=region-1" for each in ZONES),
            f"port-range={port + 3},{port + 5}",
            "seeds=",
            f"bootstrap={str(bootstrap).lower()}",
            f"in-tolerance={str(not is_entry).lower()}",
            "limits.cpu-share=1.0",
            "limits.cores=1",
            "limits.memory-mb=150",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "discovery=platform",
            "entry=directory",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota"
            ",platform",
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
            f"provider.address=127.0.0.1:{self._store_port}",
            "provider.form=objects",
            "provider.writes-per-s=400",
            "provider.reads-per-s=2000",
            "provider.history-s=20",
            "provider.value-bytes=1048576",
            "provider.ttl-min-ms=1000",
        ]
        if is_entry:
            lines += [
                f"listen.front={ip}:{port}",
                f"listen.ready={ip}:{port + 1}",
                f"listen.directory={ip}:{port + 2}",
                "limits.disk-mb=0",
            ]
        else:
            data = Path(self._folder.name) / name / "data"
            data.mkdir(exist_ok=True)
            lines += [f"data-dir={data}", "limits.disk-mb=340"]
        return "\n".join(lines) + "\n"

    def build_configuration(self):
        """Return the desired state."""
        common = {"hostname": HOST, "public": False, "target-latency-ms": 250}
        common |= {"timeout-ms": self.timeout_ms, "max-attempts": 2, "priority": 0}
        chat = {"retain": True, "retention-s": self.retention}
        chat |= {"gap-aim-ms": self.gap_ms, "session-affinity": True}
        engine = {"slots": 8, "kv-capacity-tokens": 97418, "tokens-per-event": 14}
        kinds = {"view": "idempotent", "book": "non_idempotent", "chat": "streaming"}
        routes = [
            {**common, "name": name, "path-prefix": f"/{name}/", "kind": kind}
            | {"service": "engine" if name == "chat" else "plain"}
            | (chat if name == "chat" else {})
            for name, kind in kinds.items()
        ]
        services = [{"name": "engine", "max-conns": 140, "engine": engine}]
        services.append({"name": "plain", "max-conns": 100})
        tenant = {"name": "tenant-1", "api-keys": [KEY], "rate-per-s": 0, "burst": 0}
        limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304}
        limits |= {"header-timeout-ms": 5000, "idle-timeout-ms": 60000}
        return {
            "version": self.version,
            "routes": routes,
            "services": services,
            "tenants": [tenant],
            "limits": limits,
        }

    def start_server(self, name, service, *, number, options=(), listed=True):
        """Start a boot of the server at an address, and list it."""
        ip, port = "127.63.0.1", self._server_port + number
        log = Path(self._folder.name) / f"{name}.log"
        self._server_logs.append(log)
        program = [sys.executable, str(REVIEW / "servers_3.py")]
        self._processes[name] = subprocess.Popen(
            [*program, name, ip, str(port), str(log), *options],
            stdin=subprocess.DEVNULL,
        )
        if listed:
            self.list_server(name, service, number=number)

    def list_server(self, name, service, *, number):
        """Write a server's entry into the platform's store."""
        entry = {
            "service": service,
            "address": f"127.63.0.1:{self._server_port + number}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", name, entry)

    def signal(self, name, number):
        """Send a signal to a process that this site started."""
        self.record.note(f"{signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process, and wait for its end."""
        self.record.note(f"SIGKILL to {name}")
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    async def wait_exit(self, name, seconds):
        """Return the exit status of a process; raise `CannotRun` without one."""
        process = self._processes[name]
        deadline = time.monotonic() + seconds
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise CannotRun(f"{name} does not end")
            await asyncio.sleep(0.05)
        del self._processes[name]
        self.record.note(f"{name} has ended with status {process.returncode}")
        return process.returncode

    def address(self, name, offset=0):
        """Return IP and port of a front machine's interface for clients."""
        return self._machines[name][1], self._port + offset

    async def is_ready(self, name):
        """Return whether a front machine answers the platform's check with 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.address(name, 1))
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, *names):
        """Wait until front machines are ready."""
        deadline = time.monotonic() + READY_SECONDS
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.note(f"ready: {', '.join(names)}")

    async def wait_copies(self, count):
        """Wait until the set of history hosts in the store has its members."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            found = self.store.read("copies", "main")
            if found and len(json.loads(found["spec"])["members"]) >= count:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("history hosts do not form their set")

    async def send(
        self, name, method, target, *, body=b"", headers=(), deadline_ms=6000
    ):
        """Send one request on a new channel; return its id and `Answer`."""
        request_id = secrets.token_hex(8)
        fields = {"Host": HOST, "Request-Id": request_id, "Credential": KEY}
        fields |= {"Deadline-Ms": str(deadline_ms), **dict(headers)}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in fields.items()]
        self.record.note(f"client sends {request_id} to {name}: {method} {target}")
        answer = Answer()
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(*self.address(name))
                writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await _read_answer(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
        finally:
            if writer is not None:
                writer.close()
        text = f"{len(answer.body)} bytes, {'' if answer.complete else 'not '}complete"
        self.record.note(
            f"client has for {request_id} from {name}: status {answer.status}, {text}"
            f" {answer.error} {answer.body.decode() if answer.status >= 400 else ''}"
        )
        return request_id, answer

    async def send_turn(self, name, target, text, *, previous="", program, left_ms, **kw):
        """Send a turn of a program; return its id and `Answer`."""
        headers = {
            "Program-Id": program,
            "Session-Id": f"{program}-line",
            "Program-Deadline-Ms": str(int(left_ms)),
            "Token-Budget": "100000",
            "Token-Count": "1000,700",
            "Model": "m",
        }
        if previous:
            headers["Previous-Turn"] = previous
        return await self.send(
            name, "POST", target, body=text.encode(), headers=headers, **kw
        )

    async def stop(self):
        """End all processes that were started here; record what servers saw."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        entries = self.record.note_servers(self._server_logs)
        if folder := os.environ.get("CASE_LOGS"):
            subprocess.run(["cp", "-r", self._folder.name, folder], check=True)
        if self._runner is not None:
            await self._runner.cleanup()
        self._folder.cleanup()
        return entries


async def _read_answer(reader, answer):
    """Read an answer by its framing; leave what has arrived if it breaks off."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        left = int(answer.headers["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                raise asyncio.IncompleteReadError(answer.body, left)
            answer.body += data
            left -= len(data)
    answer.complete = True


def run_case(path, case, **options):
    """Run a case with its site; exit with its result."""

    async def run():
        record = Record(path)
        site = Site(record, **options)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        result = NOT_RUN
        try:
            async with asyncio.timeout(115):
                result = await case(site, record)
        except CannotRun as error:
            record.note(f"cannot run: {error}")
        except TimeoutError:
            record.note("cannot run: it takes too long")
        except asyncio.CancelledError:
            record.note("cannot run: it was stopped")
        finally:
            await site.stop()
        text = {HELD: "the rule held", BROKEN: "the rule is BROKEN", NOT_RUN: "not run"}
        record.note(f"result {result}: {text[result]}")
        print(f"{Path(path).parent.name}: TROUBLE={int(TROUBLE)} {text[result]}")
        return result

    sys.exit(asyncio.run(run()))
