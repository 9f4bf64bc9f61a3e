"""Runs the deployed processes on loopback against stand-ins of the platform."""

import asyncio
import os
import socket
import subprocess
import sys
import sysconfig
import tempfile
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from aiohttp import web
from yarl import URL

from standins.site_store import SiteStore

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))
SERVE = ROOT / "platform" / "serve.py"
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
INTERPRETER = (sys.executable, *DEPLOY["roles"]["entry"]["run"].split()[1:-2])
"""Command that runs a program, with the interpreter's options of the deploy file."""
LIBRARIES = {"PYTHONPATH": sysconfig.get_path("purelib")}
"""Environment of programs, which find their libraries as on the platform."""
STORE_IP = "127.0.0.1"
WAIT_TIMEOUT_SECONDS = 20.0
TAIL_LINES = 8
TAIL_CHARACTERS = 500
KEY = "key-of-the-first"
SECOND_KEY = "key-of-the-second"


def find_port():
    """Return a port that is free on all addresses of this machine."""
    with socket.socket() as probe:
        probe.bind(("", 0))
        return probe.getsockname()[1]


def build_configuration(version=1, **changes):
    """Return a configuration as an operator writes it."""
    common = {"hostname": "site.example", "public": False, "session-affinity": True}
    configuration = {
        "version": version,
        "routes": [
            {
                **common,
                "name": "chat",
                "path-prefix": "/chat/",
                "kind": "streaming",
                "timeout-ms": 3000,
                "target-latency-ms": 250,
                "priority": 1,
                "service": "engine",
                "max-attempts": 2,
                "retain": True,
                "retention-s": 60.0,
            },
            {
                **common,
                "name": "live",
                "path-prefix": "/live/",
                "kind": "streaming",
                "timeout-ms": 3000,
                "target-latency-ms": 250,
                "service": "engine",
                "max-attempts": 2,
            },
            {
                **common,
                "name": "view",
                "path-prefix": "/view/",
                "kind": "idempotent",
                "timeout-ms": 1500,
                "target-latency-ms": 250,
                "service": "plain",
                "max-attempts": 2,
            },
            {
                **common,
                "name": "book",
                "path-prefix": "/book/",
                "kind": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 600,
                "service": "plain",
                "max-attempts": 2,
            },
        ],
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
            {"name": "first", "api-keys": [KEY], "rate-per-s": 100, "burst": 100},
            {"name": "second", "api-keys": [SECOND_KEY], "rate-per-s": 0},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000},
    }
    return {**configuration, **changes}


@dataclass
class Answer:
    """An answer as received by a caller."""

    status: int
    headers: object
    body: bytes
    complete: bool = True


class PlatformSite:
    """Processes of this project on loopback addresses, and the platform's stand-ins."""

    def __init__(self):
        self.store = SiteStore()
        self._runner = None
        self._processes = {}
        self._folder = tempfile.TemporaryDirectory()
        self._port = find_port()
        self._session = None
        self._store_port = 0
        self.request_count = 0

    async def start(self):
        """Start the store and the callers' client."""
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, STORE_IP, 0).start()
        self._store_port = self._runner.addresses[0][1]
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def stop(self):
        """Kill all processes and close everything that was opened."""
        for name in list(self._processes):
            self.kill(name)
        await self._session.close()
        await self._runner.cleanup()
        self._folder.cleanup()

    @property
    def caller_port(self):
        """int: Port of the entry hosts' interface for callers."""
        return self._port + 1

    @property
    def directory_port(self):
        """int: Port of the entry hosts' directory."""
        return self._port + 3

    @property
    def folder(self):
        """Path: Folder of the processes' settings and logs."""
        return Path(self._folder.name)

    def start_hosts(self, kind, role, ips, **options):
        """Start a process for each address, each in a failure domain of its own.

        They are called `kind` and their number; `options` as for `start_process`.
        """
        for number, ip in enumerate(ips, 1):
            self.start_process(
                f"{kind}-{number}", role, ip, failure_domain=f"d{number}", **options
            )

    def start_process(
        self,
        name,
        role,
        ip,
        *,
        failure_domain="a",
        bootstrap=True,
        script=SERVE,
        environ=(),
        settings=(),
        unread=False,
    ):
        """Start a process, or restart one that was killed.

        `settings` are further lines of its settings file. If `unread`, nobody reads
        what it prints.
        """
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        path = folder / "settings.conf"
        port = self._port
        lines = [
            f"node={name}",
            f"role={role}",
            f"ip={ip}",
            f"zone={failure_domain}",
            f"listen.front={ip}:{port + 1}",
            f"listen.ready={ip}:{port + 2}",
            f"listen.directory={ip}:{port + 3}",
            f"port-range={port},{port}",
            f"seeds=127.0.1.1:{port}",
            f"bootstrap={str(bootstrap).lower()}",
            f"data-dir={folder / 'data'}",
            "fault-tolerance.machines=1",
            "bounds.grace-s=8",
            "bounds.revoke-ms=5000",
            f"provider.address={STORE_IP}:{self._store_port}",
            *settings,
        ]
        path.write_text("\n".join(lines) + "\n")
        environ = {
            **os.environ,
            **LIBRARIES,
            "SAPPHIREYARD_NODE_FILE": str(path),
            **dict(environ),
        }
        with open(folder / "log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                [*INTERPRETER, str(script), role],
                cwd=ROOT,
                env=environ,
                stdout=subprocess.PIPE if unread else output,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, name):
        """Return the log of a process."""
        return (Path(self._folder.name) / name / "log").read_text()

    def kill(self, name):
        """Kill a process and wait until it has exited."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()

    def signal(self, name, signal_number):
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    def process(self, name):
        """Return the `subprocess.Popen` of a process."""
        return self._processes[name]

    async def wait_ready(self, *ips):
        """Wait until entry hosts are ready."""
        for ip in ips:
            await self.wait_until(lambda ip=ip: self._is_ready(ip))

    async def wait_until(self, condition):
        """Wait until a function, which may be a coroutine function, returns true."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            holds = condition()
            if asyncio.iscoroutine(holds):
                holds = await holds
            if holds:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"timed out waiting for a condition; {self._read_log_tails()}"
        )

    def _read_log_tails(self):
        """Return the last lines of all logs, to diagnose failures that do not recur."""
        lines = []
        for folder in sorted(p for p in self.folder.iterdir() if p.is_dir()):
            tail = (folder / "log").read_text().splitlines()[-TAIL_LINES:]
            lines += [f"{folder.name}: {line[:TAIL_CHARACTERS]}" for line in tail]
        return "\n".join(["last log lines", *lines])

    async def _is_ready(self, ip):
        try:
            url = f"http://{ip}:{self._port + 2}/v1/ready"
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def resolve(self, ip):
        """Return the status and addresses of an answer from a host's directory."""
        url = f"http://{ip}:{self._port + 3}/v1/resolve"
        async with self._session.get(url, params={"name": "site.example"}) as response:
            if response.status != 200:
                return response.status, []
            return 200, (await response.json())["addresses"]

    async def send(
        self, ip, method, target, *, key=KEY, body=b"", headers=(), milliseconds=3000
    ):
        """Send a request as a caller; return its `Answer`."""
        self.request_count += 1
        sent_headers = {
            "Host": "site.example",
            "Request-Id": f"{self.request_count:016x}",
            "Deadline-Ms": str(milliseconds),
            **dict(headers),
        }
        if key:
            sent_headers["Credential"] = key
        url = URL(f"http://{ip}:{self._port + 1}{target}", encoded=True)
        async with self._session.request(
            method, url, headers=sent_headers, data=body or None
        ) as response:
            parts = []
            try:
                async for chunk in response.content.iter_any():
                    parts.append(chunk)
            except aiohttp.ClientPayloadError:
                return Answer(response.status, response.headers, b"".join(parts), False)
            return Answer(response.status, response.headers, b"".join(parts))

    async def send_raw(self, ip, *parts, until=None):
        """Send raw bytes; return the bytes received until the connection ends.

        Parameters
        ----------
        ip : str
            Address of the entry host.
        *parts : bytes
            Written separately, one after the other.
        until : bytes, optional
            Return as soon as these bytes have been received.
        """
        reader, writer = await asyncio.open_connection(ip, self._port + 1)
        received = b""
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                while until is None or until not in received:
                    chunk = await reader.read(4096)
                    if not chunk:
                        break
                    received += chunk
        except ConnectionError:
            pass  # a reset also ends the connection
        finally:
            writer.close()
        return received

    async def send_turn(
        self, ip, text, *, previous="", program="p", budget=10_000, **options
    ):
        """Send a turn; return its id and `Answer`."""
        headers = {
            "Program-Id": program,
            "Session-Id": f"{program}-line",
            "Program-Deadline-Ms": "9000",
            "Token-Budget": str(budget),
            "Token-Count": "100,280",
        }
        if previous:
            headers["Previous-Turn"] = previous
        turn = f"{self.request_count + 1:016x}"  # others may be sent meanwhile
        answer = await self.send(
            ip, "POST", "/chat/x", body=text, headers=headers, **options
        )
        return turn, answer
