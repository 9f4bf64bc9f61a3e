"""The deployed processes on loopback addresses, before stand-ins of the platform."""

import asyncio
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from aiohttp import web
from yarl import URL

from standins.site_store import SiteStore

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))
STORE_IP = "127.0.0.1"
WAIT_SECONDS = 20.0
END_LINES = 8
END_CHARACTERS = 500
KEY = "key-of-the-first"
SECOND_KEY = "key-of-the-second"


def find_port():
    """Return a port that is free on all loopback addresses used."""
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
    """What a caller got."""

    status: int
    headers: object
    body: bytes
    whole: bool = True


class PlatformSite:
    """Processes of the product on loopback, and the platform around them."""

    def __init__(self):
        self.store = SiteStore()
        self._runner = None
        self._processes = {}
        self._folder = tempfile.TemporaryDirectory()
        self._port = find_port()
        self._session = None
        self._store_port = 0
        self.number = 0

    async def start(self):
        """Start the store and the callers' client."""
        self._runner = web.AppRunner(self.store.app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, STORE_IP, 0).start()
        self._store_port = self._runner.addresses[0][1]
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def stop(self):
        """End all that was started."""
        for name in list(self._processes):
            self.kill(name)
        await self._session.close()
        await self._runner.cleanup()
        self._folder.cleanup()

    def start_process(self, name, role, ip, *, domain="a", bootstrap=True):
        """Start a process; it may be one that was killed."""
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        path = folder / "settings.conf"
        listen = self._port
        lines = [
            f"node={name}",
            f"role={role}",
            f"ip={ip}",
            f"zone={domain}",
            f"listen.front={ip}:{listen + 1}",
            f"listen.ready={ip}:{listen + 2}",
            f"listen.directory={ip}:{listen + 3}",
            f"port-range={listen},{listen}",
            f"seeds=127.0.1.1:{listen}",
            f"bootstrap={str(bootstrap).lower()}",
            f"data-dir={folder / 'data'}",
            "fault-tolerance.machines=1",
            "bounds.grace-s=8",
            "bounds.revoke-ms=5000",
            f"provider.address={STORE_IP}:{self._store_port}",
        ]
        path.write_text("\n".join(lines) + "\n")
        environ = {**os.environ, "SAPPHIREYARD_NODE_FILE": str(path)}
        with open(folder / "log", "ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "serve.py"), role],
                cwd=ROOT,
                env=environ,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def read_log(self, name):
        """Return what a process has written."""
        return (Path(self._folder.name) / name / "log").read_text()

    def kill(self, name):
        """Kill a process and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name, number):
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def process(self, name):
        """Return the `subprocess.Popen` of a process."""
        return self._processes[name]

    async def wait_ready(self, *ips):
        """Wait until entry hosts are ready."""
        for ip in ips:
            await self.wait_until(lambda ip=ip: self._is_ready(ip))

    async def wait_until(self, condition):
        """Wait until a condition, which may be a coroutine, holds."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            holds = condition()
            if asyncio.iscoroutine(holds):
                holds = await holds
            if holds:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"the condition does not hold; {self._read_ends()}")

    def _read_ends(self):
        """Return the last lines of all logs, for a test that fails once."""
        lines = []
        for folder in sorted(Path(self._folder.name).iterdir()):
            ends = (folder / "log").read_text().splitlines()[-END_LINES:]
            lines += [f"{folder.name}: {line[:END_CHARACTERS]}" for line in ends]
        return "\n".join(["logs end with", *lines])

    async def _is_ready(self, ip):
        try:
            url = f"http://{ip}:{self._port + 2}/v1/ready"
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def resolve(self, ip):
        """Return status and addresses of a directory's answer."""
        url = f"http://{ip}:{self._port + 3}/v1/resolve"
        async with self._session.get(url, params={"name": "site.example"}) as response:
            if response.status != 200:
                return response.status, []
            return 200, (await response.json())["addresses"]

    async def send(
        self, ip, method, target, *, key=KEY, body=b"", headers=(), milliseconds=3000
    ):
        """Send a request as a caller; return its `Answer`."""
        self.number += 1
        sent = {
            "Host": "site.example",
            "Request-Id": f"{self.number:016x}",
            "Deadline-Ms": str(milliseconds),
            **dict(headers),
        }
        if key:
            sent["Credential"] = key
        url = URL(f"http://{ip}:{self._port + 1}{target}", encoded=True)
        async with self._session.request(
            method, url, headers=sent, data=body or None
        ) as response:
            parts = []
            try:
                async for chunk in response.content.iter_any():
                    parts.append(chunk)
            except aiohttp.ClientPayloadError:
                return Answer(response.status, response.headers, b"".join(parts), False)
            return Answer(response.status, response.headers, b"".join(parts))

    async def send_raw(self, ip, *parts, until=None):
        """Send bytes as they are; return what comes until the connection ends.

        Parameters
        ----------
        ip : str
            The entry host.
        *parts : bytes
            Sent one by one.
        until : bytes, optional
            Return as soon as this has come.
        """
        reader, writer = await asyncio.open_connection(ip, self._port + 1)
        got = b""
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                while until is None or until not in got:
                    chunk = await reader.read(4096)
                    if not chunk:
                        break
                    got += chunk
        except ConnectionError:
            pass  # a reset is one way to end a connection
        finally:
            writer.close()
        return got

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
        answer = await self.send(
            ip, "POST", "/chat/x", body=text, headers=headers, **options
        )
        return f"{self.number:016x}", answer
