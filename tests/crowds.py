"""Crowds of callers that do not behave, and the memory that a process keeps for them.

The callers run in a thread of their own, so that a test can be an ordinary caller
meanwhile. All traffic stays on loopback addresses.
"""

import itertools
import os
import re
import selectors
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path

SAMPLE_SECONDS = 0.1
READ_PAUSE_SECONDS = 0.05
POLL_SECONDS = 0.02
RECEIVE_BUFFER_BYTES = 4096
"""Receive buffer of a caller; answers that it does not read stay at their sender."""
MEGABYTE = 1_000_000
KILOBYTE = 1024
LISTENING = "0A"
"""State of a listening socket in ``/proc/net/tcp``."""


@dataclass(frozen=True)
class Crowd:
    """Callers that all do the same, and keep their connections open.

    Parameters
    ----------
    name : str
        For the messages of a test.
    count : int
        Number of callers.
    script : callable
        Returns an iterator of the bytes that a caller sends, given its number.
    read_bytes : int, optional
        Bytes of answers that each caller reads at a time, twenty times a second.
    again : bool, optional
        Whether a caller whose connection was closed begins anew.
    """

    name: str
    count: int
    script: object
    read_bytes: int = 0
    again: bool = False


class _Caller:
    """One caller of a crowd."""

    def __init__(self, address, pieces):
        self._pieces = pieces
        self._unsent = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self):
        """Send what the connection takes; return whether there is more to send."""
        while True:
            if not self._unsent:
                piece = next(self._pieces, None)
                if piece is None:
                    return False
                self._unsent = memoryview(piece)
            sent = self.socket.send(self._unsent)
            self._unsent = self._unsent[sent:]
            if self._unsent:
                return True


class RunningCrowd:
    """Runs a crowd in a thread, as a context manager.

    Parameters
    ----------
    crowd : Crowd
        What the callers do.
    address : (str, int)
        Where they connect to.
    """

    def __init__(self, crowd, address):
        self._crowd = crowd
        self._address = address
        self._selector = selectors.DefaultSelector()
        self._callers = set()
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=crowd.name)
        self.closed = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        for _ in range(self._crowd.count):
            self._open()
        read_at = time.monotonic()
        while not self._stopped.is_set():
            for key, _ in self._selector.select(timeout=POLL_SECONDS):
                self._step(key.data, self._send)
            if self._crowd.read_bytes and time.monotonic() > read_at:
                read_at = time.monotonic() + READ_PAUSE_SECONDS
                for caller in list(self._callers):
                    self._step(caller, self._read)
        for caller in self._callers:
            caller.socket.close()
        self._selector.close()

    def _open(self):
        number = next(self._numbers)
        caller = _Caller(self._address, iter(self._crowd.script(number)))
        self._callers.add(caller)
        self._selector.register(caller.socket, selectors.EVENT_WRITE, caller)

    def _step(self, caller, action):
        try:
            action(caller)
        except BlockingIOError:
            return
        except OSError:
            self._close(caller)

    def _send(self, caller):
        if not caller.send():
            self._selector.unregister(caller.socket)

    def _read(self, caller):
        if not caller.socket.recv(self._crowd.read_bytes):
            raise ConnectionResetError("the other end has closed the connection")

    def _close(self, caller):
        self.closed += 1
        self._callers.discard(caller)
        if caller.socket in self._selector.get_map():
            self._selector.unregister(caller.socket)
        caller.socket.close()
        if self._crowd.again:
            self._open()


class Watch:
    """Samples what a process keeps, as a context manager.

    Parameters
    ----------
    pid : int
        The process.
    ip : str
        Address on which it listens; connections that wait to be accepted count too.

    Attributes
    ----------
    memory : float
        Most memory of the process at a time, with the bytes that had arrived for it
        and were not read, in MB.
    unread : float
        Most of these bytes at a time, in MB.
    descriptors : int
        Most open file descriptors at a time.
    """

    def __init__(self, pid, ip):
        self._pid = pid
        self._ip = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watch")
        self.memory = self.unread = 0.0
        self.descriptors = 0

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(SAMPLE_SECONDS):
            try:
                self._sample()
            except FileNotFoundError:  # the process has ended
                return

    def _sample(self):
        folder = Path(f"/proc/{self._pid}")
        inodes, descriptors = set(), 0
        for entry in os.scandir(folder / "fd"):
            descriptors += 1
            try:
                inodes.add(os.readlink(entry.path)[len("socket:[") : -1])
            except FileNotFoundError:
                continue
        unread = self._count_unread(inodes) / MEGABYTE
        status = (folder / "status").read_text()
        held = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * KILOBYTE / MEGABYTE
        self.memory = max(self.memory, held + unread)
        self.unread = max(self.unread, unread)
        self.descriptors = max(self.descriptors, descriptors)

    def _count_unread(self, inodes):
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            local, state, queues, inode = fields[1], fields[3], fields[4], fields[9]
            is_pending = inode == "0" and local.startswith(self._ip)
            if state != LISTENING and (inode in inodes or is_pending):
                total += int(queues.partition(":")[2], 16)
        return total
