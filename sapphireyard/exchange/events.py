"""Parses the events of a stream while its bytes are forwarded."""

DATA_FIELD = b"data:"
COMMENT = b":"


class EventReader:
    """Collects the data of complete events of a ``text/event-stream`` body.

    An event begins with its first field, whichever it is, and ends with an empty line;
    lines end with LF or CRLF. Comments belong to no event.
    """

    def __init__(self):
        self._incomplete_line = b""
        self._data = []
        self._open_bytes = 0
        self.total_bytes = 0
        self.events = 0
        self.output = bytearray()

    def feed(self, chunk):
        """Parse a chunk; return the number of events that it completes."""
        before = self.events
        self.total_bytes += len(chunk)
        lines = (self._incomplete_line + chunk).split(b"\n")
        self._incomplete_line = lines.pop()
        for line in lines:
            self._process_line(line.removesuffix(b"\r"))
        return self.events - before

    @property
    def trailing_bytes(self):
        """int: Bytes of an event that has not ended; a line end counts as one."""
        return self._open_bytes + len(self._incomplete_line)

    @property
    def partial(self):
        """bool: Whether the bytes so far end inside an event."""
        return self.trailing_bytes > 0

    def release(self):
        """Keep the counts only."""
        self._open_bytes = self.trailing_bytes
        self._incomplete_line = b""
        self._data = []
        self.output = bytearray()

    def _process_line(self, line):
        if line.startswith(COMMENT):
            return
        if line:
            self._open_bytes += len(line) + 1
            if line.startswith(DATA_FIELD):
                self._data.append(line[len(DATA_FIELD) :].removeprefix(b" "))
            return
        self._open_bytes = 0
        if not self._data:
            return
        self.output += b"\n".join(self._data) + b"\n"
        self._data = []
        self.events += 1
