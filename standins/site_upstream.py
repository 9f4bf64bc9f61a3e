"""An upstream of the users' platform that can give faulty answers."""

import asyncio
import socket
import struct
import time
from dataclasses import dataclass, field

COMPLETE = "whole"
TRUNCATED = "cut"
"""The body is shorter than its declared length."""
UNFRAMED = "unframed"
"""No length; closing the connection ends the body."""
UNFRAMED_RESET = "unframed_reset"
"""No length; a reset ends the body."""
UNFRAMED_CUT = "unframed_cut"
"""No length; the connection ends in order after the first line of the last event."""
UNFRAMED_CRASH = "unframed_crash"
"""No length; the connection ends in order before the last event, and the upstream
stops accepting connections."""
EXTRA_ANSWER = "extra"
"""A second answer with the same request id follows the complete one."""
FOREIGN_ID = "foreign"
"""The answer has the id of another request."""
MALFORMED = "garbage"
UNSIGNED = "unsigned"
ENCODED = "encoded"
NO_CAPACITY = "full"
"""Status 503 with a header saying that the request was not executed."""
RESET = "reset"
"""The request is executed, then the connection is reset without an answer."""
CRASH = "crash"
"""Like `RESET`, and the upstream stops accepting connections."""


RESET_DELAY_SECONDS = 0.05
"""Time for the peer to read, since a reset discards data it has not read."""


def reset(writer):
    """Close a connection so that the peer sees a reset."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclass
class ReceivedRequest:
    """A request as received by the upstream.

    Attributes
    ----------
    at, finished_at : float
        Monotonic seconds at which it arrived and at which its answer had been sent.
    answer : str
        Kind of its answer if it was executed.
    """

    method: str
    target: str
    headers: dict
    body: bytes
    reader: asyncio.StreamReader = field(repr=False, default=None)
    cancelled: bool = False
    at: float = field(default_factory=time.monotonic)
    answer: str = ""
    finished_at: float = None


@dataclass
class SiteUpstream:
    """One upstream.

    Parameters
    ----------
    name : str
        Its identity, compared with the instance that a request expects.
    events : sequence of str, optional
        Data of the events of a stream; empty for a plain service.
    answers : list of str, optional
        Answer kinds for the next requests; the last one is used repeatedly.
    delay_seconds : float, optional
        Delay before the first byte.
    gap_seconds : float, optional
        Delay before each event.
    headers : list of str, optional
        Further lines of the head of each answer.
    body : bytes, optional
        Body of the answers of a plain service; names the request by default.

    Attributes
    ----------
    received, executed : list of ReceivedRequest
        All requests so far, and those that were executed.
    connections : int
        Number of connections accepted so far.
    """

    name: str
    events: tuple = ()
    answers: list = field(default_factory=lambda: [COMPLETE])
    delay_seconds: float = 0.0
    gap_seconds: float = 0.0
    headers: list = field(default_factory=list)
    body: bytes = b""
    received: list = field(default_factory=list)
    executed: list = field(default_factory=list)
    connections: int = 0
    address: str = ""
    _server: object = None

    async def start(self, *, ip="127.0.0.1", port=0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self.address

    async def stop(self):
        """Close the listening socket."""
        self._server.close()

    def describe(self, service, *, state="ready", slots=8, born=1):
        """Return the registration entry that the upstream writes for itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": born,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        request = await self._read(reader)
        if request is None:
            return False
        self.received.append(request)
        if request.headers.get("expect-instance") != self.name:
            self._write_head(writer, request, 421, 0, signed=False)
            return True
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer == NO_CAPACITY:
            head = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return True
        request.answer = answer
        self.executed.append(request)
        await asyncio.sleep(self.delay_seconds)
        goes_on = await self._answer(answer, request, writer)
        request.finished_at = time.monotonic()
        return goes_on

    async def _answer(self, answer, request, writer):
        if answer in (RESET, CRASH):
            if answer == CRASH:
                self._server.close()
            reset(writer)
            return False
        if answer == MALFORMED:
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            return False
        if self.events:
            return await self._stream(answer, request, writer)
        body = self.body or f"answer of {self.name} to {request.target}".encode()
        if answer in (UNFRAMED, UNFRAMED_RESET):
            self._write_head(writer, request, 200, None)
            writer.write(body)
            await writer.drain()
            if answer == UNFRAMED_RESET:
                await asyncio.sleep(RESET_DELAY_SECONDS)
                reset(writer)
            return False
        self._write_head(
            writer,
            request,
            200,
            len(body),
            signed=answer != UNSIGNED,
            foreign=answer == FOREIGN_ID,
            encoded=answer == ENCODED,
        )
        if answer == TRUNCATED:
            writer.write(body[:-3])
            await writer.drain()
            return False
        writer.write(body)
        if answer == EXTRA_ANSWER:
            self._write_head(writer, request, 200, len(body))
            writer.write(body)
        await writer.drain()
        return True

    async def _stream(self, answer, request, writer):
        if answer.startswith(UNFRAMED):
            return await self._stream_unframed(answer, request, writer)
        self._write_head(writer, request, 200, "chunked")
        for number, data in enumerate(self.events, 1):
            await asyncio.sleep(self.gap_seconds)
            if writer.is_closing() or request.reader.at_eof():
                request.cancelled = True
                return False
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if answer == TRUNCATED and number == len(self.events):
                writer.write(b"%x\r\n%s" % (len(event), event[: len(event) // 2]))
                await writer.drain()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _stream_unframed(self, answer, request, writer):
        """Send the events without chunks; the end of the connection is their end."""
        self._write_head(writer, request, 200, None)
        events = [f"id: {n}\ndata: {d}\n\n" for n, d in enumerate(self.events, 1)]
        if answer != UNFRAMED:
            last = events.pop()
            if answer == UNFRAMED_CUT:
                events.append(last.splitlines(keepends=True)[0])
        writer.write("".join(events).encode())
        await writer.drain()
        if answer == UNFRAMED_RESET:
            await asyncio.sleep(RESET_DELAY_SECONDS)
            reset(writer)
        elif answer == UNFRAMED_CRASH:
            self._server.close()
        return False

    def _write_head(
        self,
        writer,
        request,
        status,
        length,
        *,
        signed=True,
        foreign=False,
        encoded=False,
    ):
        request_id = request.headers.get("request-id", "")
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request_id}"]
        if foreign:
            lines[1] = "Request-Id: another"
        if signed:
            lines.append(f"Response-Signature: signed-by-{self.name}")
        if encoded:
            lines.append("Content-Encoding: gzip")
        if length == "chunked":
            lines.append("Transfer-Encoding: chunked")
            lines.append("Content-Type: text/event-stream")
        elif length is not None:
            lines.append(f"Content-Length: {length}")
        lines += self.headers
        writer.write("\r\n".join([*lines, "", ""]).encode())

    @staticmethod
    async def _read(reader):
        """Return the next request, or None at the end of the connection."""
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
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
        return ReceivedRequest(method, target, headers, body, reader)
