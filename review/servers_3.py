"""A server of a service, as a process of its own: plain answers or streams of events.

Usage: servers_3.py ID IP PORT LOG [unframed]

The request target says what is answered, as in ``/chat/5x200/name`` (five events, one
every 200 ms) or ``/view/5x200/name`` (a body in five parts). An answer has chunks, or,
if ``unframed``, neither a length nor chunks: it ends with its channel. Each line of LOG
is a JSON object that says what was received, run and sent.

SIGUSR1 plays a machine that goes down: the system closes the channels of the server's
process in order, and from then on the machine answers no packet of a new channel.
"""

import asyncio
import hashlib
import json
import signal
import socket
import sys
import time

PART_BYTES = 120


def build_parts(target, server):
    """Return the parts of the body for a target, and the pause before each."""
    words = target.split("/")
    count, pause = words[2].split("x")
    if words[1] == "chat":
        parts = [
            f"id: {n}\ndata: event {n} of {words[3]}\n\n".encode()
            for n in range(1, int(count) + 1)
        ]
    else:
        parts = [
            f"part {n} of {count} of {words[3]} by {server};".ljust(PART_BYTES).encode()
            for n in range(1, int(count) + 1)
        ]
    return parts, int(pause) / 1000


class Server:
    """One boot of a server."""

    def __init__(self, name, log, *, framed):
        self._name = name
        self._log = log
        self._framed = framed
        self._writers = set()

    def close_channels(self):
        """Close all channels in order, in the middle of their answers."""
        self._note("goes dark", "")
        for writer in self._writers:
            writer.close()

    def _note(self, what, request_id, **fields):
        entry = {"at": time.time(), "server": self._name, "what": what}
        entry.update(id=request_id, **fields)
        self._log.write(json.dumps(entry) + "\n")
        self._log.flush()

    async def serve(self, reader, writer):
        """Serve the requests of one channel."""
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
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("request-id", "")
        fields = [f"Request-Id: {request_id}"]
        if headers.get("expect-instance", self._name) != self._name:
            self._note("refused", request_id, expected=headers["expect-instance"])
            fields += ["Not-Executed: 1", "Content-Length: 0"]
            self._write_head(writer, "421 Other Server", fields)
            return True
        self._note(
            "run",
            request_id,
            method=method,
            target=target,
            tenant=headers.get("tenant"),
            deadline=headers.get("deadline-ms"),
            body=body.decode("latin-1"),
        )
        parts, pause = build_parts(target, self._name)
        digest = hashlib.sha256(b"".join(parts)).hexdigest()[:16]
        fields.append(f"Response-Signature: {self._name}.{digest}")
        streaming = target.startswith("/chat/")
        fields.append(f"Content-Type: text/{'event-stream' if streaming else 'plain'}")
        if self._framed:
            fields.append("Transfer-Encoding: chunked")
        self._write_head(writer, "200 OK", fields)
        for part in parts:
            await asyncio.sleep(pause)
            if reader.at_eof() or writer.is_closing():
                self._note("dropped", request_id)
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if self._framed else part)
            await writer.drain()
        if self._framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self._note("answered", request_id)
        return self._framed

    @staticmethod
    def _write_head(writer, status, fields):
        writer.write("\r\n".join([f"HTTP/1.1 {status}", *fields, "", ""]).encode())


class Listener:
    """A listening socket that can be made to drop the packets of new channels."""

    def __init__(self, ip, port):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self._address = ip, port
        self._fillers = []

    async def serve(self, handler):
        """Serve until the process is killed."""
        server = await asyncio.start_server(handler, sock=self._socket)
        await server.serve_forever()

    def go_silent(self):
        """Accept nothing more, and fill the queue of new channels."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.listen(0)
        while True:
            filler = socket.socket()
            filler.settimeout(0.05)
            self._fillers.append(filler)
            try:
                filler.connect(self._address)
            except TimeoutError:
                return


async def main(name, ip, port, log, *options):
    """Serve until the process is killed."""
    with open(log, "a") as output:
        server = Server(name, output, framed="unframed" not in options)
        listener = Listener(ip, int(port))

        def go_dark():
            listener.go_silent()
            server.close_channels()

        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, go_dark)
        await listener.serve(server.serve)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
