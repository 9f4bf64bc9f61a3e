"""Starts stand-ins and entry hosts as processes on loopback, for demo and tests."""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import yaml

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 30.0
"""Longest time until a process prints its address."""

STOP_SECONDS = 30.0
"""Longest time between SIGTERM and exit; then the process is killed."""

LISTENING_PREFIX = "listening on "


@dataclass
class LocalProcess:
    """A child process.

    Attributes
    ----------
    address : str
        IP:PORT that it printed.
    log : Path
        File of its standard error.
    drain_task : asyncio.Task
        Reads and discards the rest of its standard output.
    """

    name: str
    process: asyncio.subprocess.Process
    address: str
    log: Path
    drain_task: asyncio.Task = None

    @property
    def alive(self):
        """bool: Whether the process has not exited."""
        return self.process.returncode is None

    def send_signal(self, number):
        """Send a signal to this process only, unless it has exited."""
        if self.alive:
            self.process.send_signal(number)

    async def stop(self):
        """Stop the process with SIGTERM, or kill it; return its exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self):
        """Kill the process; return its exit status."""
        self.send_signal(signal.SIGKILL)
        return await self.process.wait()


@dataclass
class LocalCluster:
    """Processes of a small site on loopback addresses.

    An async context manager; leaving it kills every process still running.
    """

    folder: Path = None
    processes: dict = field(default_factory=dict)
    _stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)

    async def __aenter__(self):
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        return self

    async def __aexit__(self, *error):
        await asyncio.gather(
            *(each.kill() for each in self.processes.values() if each.alive)
        )
        self._stack.close()

    def __getitem__(self, name):
        return self.processes[name]

    async def start(self, name, module, *arguments, environ=()):
        """Start ``python -m module`` and wait until it prints its address."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                cwd=ROOT,
                env={**os.environ, **dict(environ)},
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        local = LocalProcess(name, process, "", log)
        self.processes[name] = local
        async with asyncio.timeout(READY_SECONDS):
            local.address = await self._read_address(local)
        local.drain_task = asyncio.ensure_future(self._drain(process.stdout))
        return local

    async def _read_address(self, local):
        while line := await local.process.stdout.readline():
            text = line.decode().strip()
            if text.startswith(LISTENING_PREFIX):
                return text[len(LISTENING_PREFIX) :].split()[0]
        raise RuntimeError(
            f"{local.name} did not start:\n{local.log.read_text()[-4000:]}"
        )

    async def _drain(self, stream):
        while await stream.read(65536):
            pass

    async def start_store(self):
        """Start the object API stand-in."""
        return await self.start("store", "standins.objects", "--port", "0")

    async def start_engine(self, name, *arguments):
        """Start a model engine stand-in."""
        return await self.start(name, "standins.engine", "--port", "0", *arguments)

    async def start_service(self, name, *arguments):
        """Start a plain service stand-in."""
        return await self.start(name, "standins.service", "--port", "0", *arguments)

    async def start_entry(self, number, *arguments, module="sapphireyard.entry"):
        """Start the entry host ``entry-NUMBER`` on 127.0.0.(10 + number)."""
        ip = f"127.0.0.{10 + number}"
        return await self.start(
            f"entry-{number}",
            module,
            "--host",
            f"entry-{number}",
            "--failure-domain",
            "abcd"[number % 4],
            "--caller-address",
            f"{ip}:0",
            "--peer-address",
            f"{ip}:0",
            "--store",
            f"http://{self['store'].address}",
            *arguments,
        )

    async def run_operator(self, *arguments):
        """Run the operator command; return its standard output.

        Raises
        ------
        RuntimeError
            Its exit status is not 0.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphireyard.operators.operator",
            *arguments,
            cwd=ROOT,
            env={
                **os.environ,
                "SAPPHIREYARD_STORE": f"http://{self['store'].address}",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, errors = await process.communicate()
        if process.returncode:
            raise RuntimeError(f"{arguments}: {out.decode()}{errors.decode()}")
        return out.decode()

    async def apply_tables(self, tables):
        """Write tables, given as a dict, to a file and apply it."""
        path = self.folder / "tables.yaml"
        path.write_text(yaml.safe_dump(tables))
        return await self.run_operator("apply", str(path))

    async def set_faults(self, name, **faults):
        """Set faults of a stand-in; return its answer."""
        url = f"http://{self[name].address}/faults"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=faults) as response:
                response.raise_for_status()
                return await response.json()

    async def fetch(self, name, path):
        """Get `path` from a process; return its JSON answer."""
        url = f"http://{self[name].address}{path}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return await response.json()
