"""Splits the bytes of a connection into requests, each of which has a largest head.

The parser of the HTTP library reads heads without an end, keeps each chunk of a body
by itself, and parses further requests while one is being answered. It gets a head once
it is complete, chunks that are as large as what has arrived, and nothing of a request
before the one before it has been answered.
"""

import re
from functools import lru_cache

from sapphireyard.exceptions import SapphireyardError

END_OF_HEAD = re.compile(rb"\r?\n\r?\n")
"""Lines that end with a line feed alone are left to the parser, which refuses them."""
FIRST_LINE = re.compile(rb"[^\r\n]* HTTP/1\.[01]\r\n")
MAX_BLANK_BYTES = 16
"""Bytes of empty lines that may precede a request."""
MAX_CHUNK_LINE_BYTES = 1024
MAX_EXTENSION_BYTES = 16 * 1024
"""Largest extension of a chunk, and of all chunks of a body together."""
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})([ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
CHUNKS_AT_ONCE = 256
"""Chunks that are decoded without a pause: less than a millisecond."""
MAX_RUN_SIZE = 16
"""Largest size of chunks of which a run of equal ones is decoded at once."""
LAST_CHUNK = b"0\r\n\r\n"
CRLF = b"\r\n"

HEAD, LENGTH, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, COMPLETE = range(7)


class FramingError(SapphireyardError):
    """Bytes that cannot be part of a request, or too many of them.

    Parameters
    ----------
    status : int
        HTTP status that says so.
    detail : str
        Explanation.
    """

    code = "framing_error"

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


class RequestFraming:
    """The requests of one connection, in pieces for the parser.

    Parameters
    ----------
    max_head_bytes : int
        Largest head of a request, its first line included.
    """

    def __init__(self, max_head_bytes):
        self.max_head_bytes = max_head_bytes
        self._buffer = bytearray()
        self._state = HEAD
        self._left = 0
        self._searched = 0
        self._blank_bytes = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0

    @property
    def pending(self):
        """int: Bytes that have been read and not been passed on."""
        return len(self._buffer)

    @property
    def in_head(self):
        """bool: Whether the next bytes belong to a head."""
        return self._state == HEAD

    @property
    def begun(self):
        """bool: Whether a part of a head has arrived."""
        return self._state == HEAD and bool(self._buffer or self._blank_bytes)

    @property
    def complete(self):
        """bool: Whether the request has been passed on to its end."""
        return self._state == COMPLETE

    @property
    def in_chunks(self):
        """bool: Whether the next bytes belong to a body in chunks."""
        return self._state in (CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS)

    def feed(self, data):
        """Add bytes that have arrived."""
        self._buffer += data

    def drop(self):
        """Forget the bytes that have not been passed on."""
        self._buffer.clear()

    def begin_body(self, *, length=0, chunked=False):
        """Say how the body is delimited that follows the last head."""
        if chunked:
            self._state = CHUNK_SIZE
        else:
            self._state = LENGTH if length else COMPLETE
        self._left = length
        self._extension_bytes = self._trailer_bytes = 0

    def begin_next(self):
        """Say that the request has been answered."""
        self._state = HEAD
        self._searched = self._blank_bytes = 0

    def take(self):
        """Return the next piece for the parser; None if more bytes must arrive.

        Raises
        ------
        FramingError
            The bytes are no part of a request.
        """
        if self._state == HEAD:
            return self._take_head()
        if self._state == LENGTH:
            return self._take_length()
        if self.in_chunks:
            return self._take_chunks()
        return None

    def _take_head(self):
        buffer = self._buffer
        if not self._searched:
            text = buffer.lstrip(CRLF)
            self._blank_bytes += len(buffer) - len(text)
            if self._blank_bytes > MAX_BLANK_BYTES:
                raise FramingError(400, "empty lines instead of a request")
            del buffer[: len(buffer) - len(text)]
        end = END_OF_HEAD.search(buffer, max(0, self._searched - 3))
        self._searched = len(buffer)
        size = end.end() if end else len(buffer)
        if size > self.max_head_bytes:
            raise FramingError(431, f"head exceeds {self.max_head_bytes} bytes")
        if end is None:
            return None
        if not FIRST_LINE.match(buffer):
            raise FramingError(400, "not a request of HTTP/1")
        return self._cut(size)

    def _take_length(self):
        if not self._buffer:
            return None
        piece = self._cut(self._left)
        self._left -= len(piece)
        if not self._left:
            self._state = COMPLETE
        return piece

    def _take_chunks(self):
        """Return the data of the next chunks as one chunk."""
        parts = []
        position = 0
        for _ in range(CHUNKS_AT_ONCE):
            after = self._step(position, parts)
            if after is None:
                break
            position = after
            if self._state == COMPLETE:
                break
        del self._buffer[:position]
        data = b"".join(parts)
        piece = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
        if self._state == COMPLETE:
            piece += LAST_CHUNK
        return piece or (b"" if position else None)

    def _step(self, position, parts):
        """Decode one part of a chunk; return where the next one begins, or None."""
        if self._state == CHUNK_SIZE:
            return self._read_size(position, parts)
        if self._state == CHUNK_DATA:
            return self._read_data(position, parts)
        if self._state == CHUNK_END:
            return self._read_end(position)
        return self._read_trailer(position)

    def _read_size(self, position, parts):
        line, after = self._read_line(position, MAX_CHUNK_LINE_BYTES)
        if after is None:
            return None
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            raise FramingError(400, "invalid size of a chunk")
        extension = match[2]
        if extension:
            self._extension_bytes += len(extension)
            if self._extension_bytes > MAX_EXTENSION_BYTES:
                raise FramingError(400, "extensions of chunks are too large")
        size = int(match[1], 16)
        if not size:
            self._state = TRAILERS
            return after
        if size <= MAX_RUN_SIZE and not extension:
            run = _compile_run(bytes(line), size).match(self._buffer, position)
            if run:
                parts += _compile_chunk(bytes(line), size).findall(run[0])
                return run.end()
        self._left = size
        self._state = CHUNK_DATA
        return after

    def _read_data(self, position, parts):
        data = bytes(self._buffer[position : position + self._left])
        if not data:
            return None
        parts.append(data)
        self._left -= len(data)
        if not self._left:
            self._state = CHUNK_END
        return position + len(data)

    def _read_end(self, position):
        end = self._buffer[position : position + len(CRLF)]
        if not CRLF.startswith(end):
            raise FramingError(400, "a chunk is longer than its size")
        if len(end) < len(CRLF):
            return None
        self._state = CHUNK_SIZE
        return position + len(CRLF)

    def _read_trailer(self, position):
        """Pass over a line: trailers are not forwarded."""
        line, after = self._read_line(position, self.max_head_bytes)
        if after is None:
            return None
        self._trailer_bytes += after - position
        if self._trailer_bytes > self.max_head_bytes:
            raise FramingError(431, f"trailers exceed {self.max_head_bytes} bytes")
        if not line:
            self._state = COMPLETE
        return after

    def _read_line(self, position, limit):
        """Return a line without its end, and where the next begins; None before."""
        end = self._buffer.find(CRLF, position, position + limit + len(CRLF))
        if end < 0:
            if len(self._buffer) - position > limit + len(CRLF):
                raise FramingError(400, f"a line of a body exceeds {limit} bytes")
            return None, None
        return self._buffer[position:end], end + len(CRLF)

    def _cut(self, size):
        piece = bytes(self._buffer[:size])
        del self._buffer[:size]
        return piece


@lru_cache(maxsize=64)
def _compile_run(line, size):
    return re.compile(rb"(?:%s\r\n.{%d}\r\n)+" % (re.escape(line), size), re.DOTALL)


@lru_cache(maxsize=64)
def _compile_chunk(line, size):
    return re.compile(rb"%s\r\n(.{%d})\r\n" % (re.escape(line), size), re.DOTALL)
