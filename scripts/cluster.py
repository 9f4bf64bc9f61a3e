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
STOP_SECONDS = 30.0
LISTENING = "listening on "


@dataclass
class LocalProcess:
    """A process that this program started.

    Attributes
    ----------
    address : str
        IP:PORT that it printed.
    log : Path
        Its standard error.
    """

    name: str
    process: asyncio.subprocess.Process
    address: str
    log: Path
    drained: asyncio.Task = None

    @property
    def alive(self):
        """bool: Whether the process has not ended."""
        return self.process.returncode is None

    def send_signal(self, number):
        """Send a signal to just this process."""
        if self.alive:
            self.process.send_signal(number)

    async def stop(self):
        """End the process as planned; return its exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self):
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        return await self.process.wait()


@dataclass
class LocalCluster:
    """A small site on loopback addresses.

    Use it as an async context; leaving it ends every process it started.
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
        """Start ``python -m module`` and wait until it says where it listens."""
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
        local.drained = asyncio.ensure_future(self._drain(process.stdout))
        return local

    async def _read_address(self, local):
        while line := await local.process.stdout.readline():
            text = line.decode().strip()
            if text.startswith(LISTENING):
                return text[len(LISTENING) :].split()[0]
        raise RuntimeError(f"{local.name} ended:\n{local.log.read_text()[-4000:]}")

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
        """Run the operators' command; return its standard output.

        Raises
        ------
        RuntimeError
            It exits with another status than 0.
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
        """Apply tables given as a plain dict."""
        path = self.folder / "tables.yaml"
        path.write_text(yaml.safe_dump(tables))
        return await self.run_operator("apply", str(path))

    async def set_faults(self, name, **faults):
        """Set faults of a stand-in."""
        url = f"http://{self[name].address}/faults"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=faults) as response:
                response.raise_for_status()
                return await response.json()

    async def fetch(self, name, path):
        """Return the JSON that a process answers on `path`."""
        url = f"http://{self[name].address}{path}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return await response.json()
